// Stand-in for a network path: a TCP relay that can cut, freeze and delay what passes.
// Control: POST /control/set?mode=pass|freeze_open|freeze_all|cut&delay_ms=. freeze_open silences only the
// connections that are open at that moment; new ones work.
#include "chervilturn/core/address.hpp"
#include "chervilturn/transport/http.hpp"
#include "chervilturn/transport/socket_address.hpp"
#include "stand_ins/query.hpp"

#include <csignal>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <iostream>
#include <list>
#include <memory>
#include <netinet/tcp.h>
#include <tclap/CmdLine.h>

namespace chervilturn::stand_ins {

namespace {

class relay_stand_in;

struct relayed {
    relay_stand_in* owner = nullptr;
    bufferevent* inner = nullptr; // towards the side that connected
    bufferevent* outer = nullptr; // towards the target
    bool frozen = false;

    relayed() = default;
    relayed(const relayed&) = delete;
    relayed& operator=(const relayed&) = delete;
    ~relayed() {
        bufferevent_free(this->inner);
        bufferevent_free(this->outer);
    }
};

class relay_stand_in {
  public:
    relay_stand_in(event_loop& used, const address& to) : loop{&used}, target{to} {}

    void accept(int socket) {
        if (this->mode == "cut") {
            close(socket);
            return;
        }
        const int enabled = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        auto made = std::make_shared<relayed>();
        made->owner = this;
        made->frozen = this->mode == "freeze_all";
        made->inner = bufferevent_socket_new(this->loop->base(), socket, BEV_OPT_CLOSE_ON_FREE);
        made->outer = bufferevent_socket_new(this->loop->base(), -1, BEV_OPT_CLOSE_ON_FREE);
        for (auto* side : {made->inner, made->outer}) {
            bufferevent_setcb(side, on_read, nullptr, on_event, made.get());
            bufferevent_enable(side, EV_READ | EV_WRITE);
        }
        const auto where = internal::to_socket_address(this->target);
        bufferevent_socket_connect(made->outer, reinterpret_cast<const sockaddr*>(&where), sizeof(where));
        this->pairs.push_back(std::move(made));
    }

    void on_control(http_exchange& exchange) {
        const query asked{exchange.request().target};
        if (asked.has("delay_ms")) {
            this->delay = std::chrono::milliseconds{asked.number("delay_ms", 0)};
        }
        if (asked.has("mode")) {
            this->set_mode(asked.text("mode"));
        }
        exchange.respond({.status = 200, .headers = {}, .body = std::to_string(this->pairs.size())});
    }

  private:
    void set_mode(const std::string& wanted) {
        this->mode = wanted;
        if (wanted == "cut") {
            this->pairs.clear();
        }
        for (const auto& pair : this->pairs) {
            pair->frozen =
                wanted == "freeze_open" || wanted == "freeze_all" || (pair->frozen && wanted != "pass");
            if (!pair->frozen) {
                this->forward(*pair);
            }
        }
    }

    void forward(relayed& pair) {
        if (this->delay.count() == 0) {
            bufferevent_write_buffer(pair.outer, bufferevent_get_input(pair.inner));
            bufferevent_write_buffer(pair.inner, bufferevent_get_input(pair.outer));
            return;
        }
        this->forward_later(pair, pair.inner, pair.outer);
        this->forward_later(pair, pair.outer, pair.inner);
    }

    void forward_later(relayed& pair, bufferevent* from, bufferevent* to) {
        auto* input = bufferevent_get_input(from);
        auto bytes = std::make_shared<std::string>(evbuffer_get_length(input), '\0');
        if (bytes->empty()) {
            return;
        }
        evbuffer_remove(input, bytes->data(), bytes->size());
        const std::weak_ptr<relayed> held = this->find(pair);
        auto later = std::make_shared<std::unique_ptr<timer>>();
        *later = std::make_unique<timer>(*this->loop, [held, to, bytes, later] {
            const auto keep = std::move(*later);
            if (held.lock()) {
                bufferevent_write(to, bytes->data(), bytes->size());
            }
        });
        (*later)->start_once(this->delay);
    }

    [[nodiscard]] std::shared_ptr<relayed> find(const relayed& wanted) const {
        for (const auto& pair : this->pairs) {
            if (pair.get() == &wanted) {
                return pair;
            }
        }
        return nullptr;
    }

    static void on_read(bufferevent*, void* self) {
        auto& pair = *static_cast<relayed*>(self);
        if (!pair.frozen) {
            pair.owner->forward(pair);
        }
    }

    static void on_event(bufferevent*, short what, void* self) {
        auto& pair = *static_cast<relayed*>(self);
        if (!pair.frozen && (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            pair.owner->pairs.remove_if([&pair](const auto& held) { return held.get() == &pair; });
        }
    }

    event_loop* loop;
    address target;
    std::string mode = "pass";
    std::chrono::milliseconds delay{0};
    std::list<std::shared_ptr<relayed>> pairs;
};

int serve(const std::string& from, const std::string& to, const std::string& control) {
    event_loop loop;
    relay_stand_in relay{loop, parse_address(to).value()};
    const auto where = internal::to_socket_address(parse_address(from).value());
    const auto accepted = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        static_cast<relay_stand_in*>(self)->accept(socket);
    };
    const auto* listener =
        evconnlistener_new_bind(loop.base(), accepted, &relay, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                reinterpret_cast<const sockaddr*>(&where), sizeof(where));
    const auto server = http_server::listen(
        loop, parse_address(control).value(), {},
        [&relay](const std::shared_ptr<http_exchange>& exchange) { relay.on_control(*exchange); });
    if (listener == nullptr || !succeeded(server)) {
        std::cerr << "relay stand-in: cannot listen on " << from << " and " << control << '\n';
        return 1;
    }
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}

} // namespace

} // namespace chervilturn::stand_ins

int main(int count, char** values) {
    try {
        TCLAP::CmdLine line{"Stand-in for a network path: a TCP relay with faults.", ' '};
        TCLAP::ValueArg<std::string> listen{"", "listen", "Address", true, "", "IP:PORT", line};
        TCLAP::ValueArg<std::string> target{"", "target", "Address to relay to", true, "", "IP:PORT", line};
        TCLAP::ValueArg<std::string> control{"", "control", "Control address", true, "", "IP:PORT", line};
        line.parse(count, values);
        std::signal(SIGPIPE, SIG_IGN);
        return chervilturn::stand_ins::serve(listen.getValue(), target.getValue(), control.getValue());
    } catch (const std::exception& failure) {
        std::cerr << "relay stand-in: " << failure.what() << '\n';
        return 1;
    }
}
