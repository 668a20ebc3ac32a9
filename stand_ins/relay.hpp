// Stand-in for a network path: a TCP relay that can cut, freeze, delay and slow down connections.
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

/// @brief One direction of a link that all connections of a relay share. It has a rate and a queue without
/// limit, as a host's network card with large buffers.
class shared_link {
  public:
    /// @brief Sets the rate in bytes a second; 0 for a link without limit.
    void set_rate(std::uint64_t bytes_per_second) { this->rate = bytes_per_second; }

    [[nodiscard]] bool is_limited() const noexcept { return this->rate > 0; }

    /// @brief Queues bytes behind all earlier ones and returns when the link has carried them.
    [[nodiscard]] instant carry(std::size_t bytes, instant now) {
        this->free_at = std::max(this->free_at, now);
        if (this->rate > 0) {
            this->free_at += std::chrono::microseconds{bytes * 1'000'000 / this->rate};
        }
        return this->free_at;
    }

  private:
    std::uint64_t rate = 0; // bytes a second; 0 for no limit
    instant free_at{};      // when all bytes queued so far are carried
};

/// @brief One direction of a relayed connection. Delays bytes and keeps their order, also when the delay
/// changes.
class delayed_stream {
  public:
    explicit delayed_stream(event_loop& loop) : delivery_timer{loop, [this] { this->deliver(); }} {}

    /// @brief Sets both ends, once, before the first call of forward.
    void attach(bufferevent* from, bufferevent* to) {
        this->source = from;
        this->target = to;
    }

    /// @brief Takes the bytes that the source has received and writes them to the target after the link has
    /// carried them and the delay has passed.
    void forward(shared_link& link, microseconds delay) {
        auto* input = bufferevent_get_input(this->source);
        if (link.is_limited()) {
            while (evbuffer_get_length(input) > 0) {
                this->take_chunk(std::min(evbuffer_get_length(input), carried_at_once), link, delay);
            }
            return;
        }
        if (delay == microseconds::zero() && this->chunks.empty()) {
            bufferevent_write_buffer(this->target, input);
            return;
        }
        if (evbuffer_get_length(input) > 0) {
            this->take_chunk(evbuffer_get_length(input), link, delay);
        }
    }

  private:
    static constexpr std::size_t carried_at_once = 1460; // bytes, a TCP segment

    void take_chunk(std::size_t length, shared_link& link, microseconds delay) {
        std::string bytes(length, '\0');
        evbuffer_remove(bufferevent_get_input(this->source), bytes.data(), length);
        const auto carried_at = link.carry(length, monotonic_clock::now());
        const auto earliest = this->chunks.empty() ? carried_at : this->chunks.back().deliver_at;
        this->chunks.push_back({std::max(earliest, carried_at + delay), std::move(bytes)});
        this->schedule_delivery();
    }

    struct chunk {
        instant deliver_at;
        std::string bytes;
    };

    void schedule_delivery() {
        const auto remaining = elapsed(monotonic_clock::now(), this->chunks.front().deliver_at);
        this->delivery_timer.start_once(std::max(remaining, microseconds::zero()));
    }

    void deliver() {
        while (!this->chunks.empty() && this->chunks.front().deliver_at <= monotonic_clock::now()) {
            const auto& bytes = this->chunks.front().bytes;
            bufferevent_write(this->target, bytes.data(), bytes.size());
            this->chunks.pop_front();
        }
        if (!this->chunks.empty()) {
            this->schedule_delivery();
        }
    }

    bufferevent* source = nullptr;
    bufferevent* target = nullptr;
    std::deque<chunk> chunks;
    timer delivery_timer;
};

/// @brief A connection from a client and the connection to the target that belongs to it.
struct connection_pair {
    relay_stand_in* owner = nullptr;
    bufferevent* client_side = nullptr; // connection that the client opened
    bufferevent* target_side = nullptr; // connection to the target
    delayed_stream to_target;
    delayed_stream to_client;
    bool frozen = false; // forwards no further bytes and stays when either side closes

    explicit connection_pair(event_loop& loop) : to_target{loop}, to_client{loop} {}
    connection_pair(const connection_pair&) = delete;
    connection_pair& operator=(const connection_pair&) = delete;
    ~connection_pair() {
        bufferevent_free(this->client_side);
        bufferevent_free(this->target_side);
    }
};

/// @brief Relays TCP connections to a target. Modes: pass; cut (closes open connections and every new one);
/// freeze_open (the connections that are open at this moment stop forwarding, new ones work); freeze_all
/// (open and new connections stop forwarding); one_way (bytes from the client are held back until another
/// mode is set, bytes from the target are forwarded).
class relay_stand_in {
  public:
    relay_stand_in(event_loop& io_loop, const address& listen_address, const address& target_address)
        : loop{&io_loop}, target{target_address} {
        const auto native_address = internal::to_socket_address(listen_address);
        const auto on_accept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
            static_cast<relay_stand_in*>(self)->accept(socket);
        };
        this->listener = evconnlistener_new_bind(
            io_loop.base(), on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
            reinterpret_cast<const sockaddr*>(&native_address), sizeof(native_address));
        if (this->listener == nullptr) {
            throw std::runtime_error{"relay stand-in: cannot listen on " + to_string(listen_address)};
        }
    }
    relay_stand_in(const relay_stand_in&) = delete;
    relay_stand_in& operator=(const relay_stand_in&) = delete;
    ~relay_stand_in() { evconnlistener_free(this->listener); }

    void set_delay(microseconds new_delay) { this->delay = new_delay; }

    /// @brief Sets the rate of the links in both directions, in bytes a second; 0 for no limit.
    void set_rate(std::uint64_t bytes_per_second) {
        this->inbound.set_rate(bytes_per_second);
        this->outbound.set_rate(bytes_per_second);
    }

    /// @brief Sets the mode; an unknown name acts like pass, except that frozen connections stay frozen.
    void set_mode(const std::string& new_mode) {
        this->mode = new_mode;
        if (new_mode == "cut") {
            this->pairs.clear();
        }
        for (const auto& pair : this->pairs) {
            pair->frozen =
                new_mode == "freeze_open" || new_mode == "freeze_all" || (pair->frozen && new_mode != "pass");
            if (!pair->frozen) {
                this->forward(*pair);
            }
        }
    }

    [[nodiscard]] std::size_t connection_count() const noexcept { return this->pairs.size(); }

  private:
    void accept(int socket) {
        if (this->mode == "cut") {
            close(socket);
            return;
        }
        const int enabled = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        auto new_pair = std::make_shared<connection_pair>(*this->loop);
        new_pair->owner = this;
        new_pair->frozen = this->mode == "freeze_all";
        new_pair->client_side = bufferevent_socket_new(this->loop->base(), socket, BEV_OPT_CLOSE_ON_FREE);
        new_pair->target_side = bufferevent_socket_new(this->loop->base(), -1, BEV_OPT_CLOSE_ON_FREE);
        new_pair->to_target.attach(new_pair->client_side, new_pair->target_side);
        new_pair->to_client.attach(new_pair->target_side, new_pair->client_side);
        for (auto* side : {new_pair->client_side, new_pair->target_side}) {
            bufferevent_setcb(side, on_read, nullptr, on_event, new_pair.get());
            bufferevent_enable(side, EV_READ | EV_WRITE);
        }
        const auto native_address = internal::to_socket_address(this->target);
        bufferevent_socket_connect(new_pair->target_side, reinterpret_cast<const sockaddr*>(&native_address),
                                   sizeof(native_address));
        this->pairs.push_back(std::move(new_pair));
    }

    void forward(connection_pair& pair) {
        if (this->mode != "one_way") {
            pair.to_target.forward(this->inbound, this->delay);
        }
        pair.to_client.forward(this->outbound, this->delay);
    }

    static void on_read(bufferevent*, void* self) {
        auto& pair = *static_cast<connection_pair*>(self);
        if (!pair.frozen) {
            pair.owner->forward(pair);
        }
    }

    static void on_event(bufferevent*, short events, void* self) {
        auto& pair = *static_cast<connection_pair*>(self);
        if (!pair.frozen && (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            pair.owner->pairs.remove_if([&pair](const auto& candidate) { return candidate.get() == &pair; });
        }
    }

    event_loop* loop;
    address target;
    evconnlistener* listener = nullptr;
    std::string mode = "pass";
    microseconds delay{0};
    shared_link inbound;  // to the target
    shared_link outbound; // to the clients
    std::list<std::shared_ptr<connection_pair>> pairs;
};

} // namespace chervilturn::stand_ins
