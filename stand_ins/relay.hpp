// Stand-in for a network path: a TCP relay that can cut, freeze and delay what passes.
#pragma once

#include "chervilturn/core/address.hpp"
#include "chervilturn/transport/event_loop.hpp"
#include "chervilturn/transport/socket_address.hpp"

#include <algorithm>
#include <deque>
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

/// @brief Bytes on their way in one direction. They never overtake each other, also when the delay changes.
class delayed_way {
  public:
    explicit delayed_way(event_loop& loop) : due{loop, [this] { this->deliver(); }} {}

    void open(bufferevent* from, bufferevent* to) {
        this->source = from;
        this->target = to;
    }

    void forward(microseconds delay) {
        auto* input = bufferevent_get_input(this->source);
        if (delay == microseconds::zero() && this->held.empty()) {
            bufferevent_write_buffer(this->target, input);
            return;
        }
        std::string bytes(evbuffer_get_length(input), '\0');
        if (bytes.empty()) {
            return;
        }
        evbuffer_remove(input, bytes.data(), bytes.size());
        const auto now = monotonic_clock::now();
        const auto earliest = this->held.empty() ? now : this->held.back().at;
        this->held.push_back({std::max(earliest, now + delay), std::move(bytes)});
        this->wait();
    }

  private:
    struct part {
        instant at;
        std::string bytes;
    };

    void wait() {
        const auto left = elapsed(monotonic_clock::now(), this->held.front().at);
        this->due.start_once(std::max(left, microseconds::zero()));
    }

    void deliver() {
        while (!this->held.empty() && this->held.front().at <= monotonic_clock::now()) {
            const auto& bytes = this->held.front().bytes;
            bufferevent_write(this->target, bytes.data(), bytes.size());
            this->held.pop_front();
        }
        if (!this->held.empty()) {
            this->wait();
        }
    }

    bufferevent* source = nullptr;
    bufferevent* target = nullptr;
    std::deque<part> held;
    timer due;
};

struct relayed {
    relay_stand_in* owner = nullptr;
    bufferevent* inner = nullptr; // towards the side that connected
    bufferevent* outer = nullptr; // towards the target
    delayed_way inward;           // from the side that connected
    delayed_way outward;
    bool frozen = false;

    explicit relayed(event_loop& loop) : inward{loop}, outward{loop} {}
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
        auto made = std::make_shared<relayed>(*this->loop);
        made->owner = this;
        made->frozen = this->mode == "freeze_all";
        made->inner = bufferevent_socket_new(this->loop->base(), socket, BEV_OPT_CLOSE_ON_FREE);
        made->outer = bufferevent_socket_new(this->loop->base(), -1, BEV_OPT_CLOSE_ON_FREE);
        made->inward.open(made->inner, made->outer);
        made->outward.open(made->outer, made->inner);
        for (auto* side : {made->inner, made->outer}) {
            bufferevent_setcb(side, on_read, nullptr, on_event, made.get());
            bufferevent_enable(side, EV_READ | EV_WRITE);
        }
        const auto where = internal::to_socket_address(this->target);
        bufferevent_socket_connect(made->outer, reinterpret_cast<const sockaddr*>(&where), sizeof(where));
        this->pairs.push_back(std::move(made));
    }

    void forward(relayed& pair) {
        if (this->mode != "one_way") {
            pair.inward.forward(this->delay);
        }
        pair.outward.forward(this->delay);
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
