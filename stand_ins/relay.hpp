// Stand-in for a network path: a TCP relay that can cut, freeze and delay what passes.
#pragma once

#include "chervilturn/core/address.hpp"
#include "chervilturn/transport/event_loop.hpp"
#include "chervilturn/transport/socket_address.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <list>
#include <memory>
#include <netinet/tcp.h>
#include <stdexcept>
#include <string>
#include <unistd.h>

namespace chervilturn::stand_ins {

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

/// @brief Passes connections on to a target. Modes: pass; cut (open connections end, new ones are refused);
/// freeze_open (only the connections that are open now go silent); freeze_all; one_way (what the connecting
/// side sends is held, answers pass).
class relay_stand_in {
  public:
    relay_stand_in(event_loop& used, const address& from, const address& to) : loop{&used}, target{to} {
        const auto where = internal::to_socket_address(from);
        const auto accepted = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
            static_cast<relay_stand_in*>(self)->accept(socket);
        };
        this->listener =
            evconnlistener_new_bind(used.base(), accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                    -1, reinterpret_cast<const sockaddr*>(&where), sizeof(where));
        if (this->listener == nullptr) {
            throw std::runtime_error{"relay stand-in: cannot listen on " + to_string(from)};
        }
    }
    relay_stand_in(const relay_stand_in&) = delete;
    relay_stand_in& operator=(const relay_stand_in&) = delete;
    ~relay_stand_in() { evconnlistener_free(this->listener); }

    void set_delay(microseconds wanted) { this->delay = wanted; }

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

    [[nodiscard]] std::size_t connections() const noexcept { return this->pairs.size(); }

  private:
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

    void forward(relayed& pair) {
        const bool held = this->mode == "one_way";
        if (this->delay.count() == 0) {
            if (!held) {
                bufferevent_write_buffer(pair.outer, bufferevent_get_input(pair.inner));
            }
            bufferevent_write_buffer(pair.inner, bufferevent_get_input(pair.outer));
            return;
        }
        if (!held) {
            this->forward_later(pair, pair.inner, pair.outer);
        }
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
    evconnlistener* listener = nullptr;
    std::string mode = "pass";
    microseconds delay{0};
    std::list<std::shared_ptr<relayed>> pairs;
};

} // namespace chervilturn::stand_ins
