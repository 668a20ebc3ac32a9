// Framed messages over libevent bufferevents.
#include "chervilturn/transport/peer_connection.hpp"

#include "chervilturn/transport/output_bytes.hpp"
#include "chervilturn/transport/socket_address.hpp"

#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <new>

namespace chervilturn {

namespace {

constexpr std::size_t max_backlog_bytes = 96ULL << 20; // unsent bytes of one connection
constexpr std::size_t max_first_frame_bytes = 4096;    // a hello; its sender is not known before it

void disable_nagle(evutil_socket_t socket) {
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

[[nodiscard]] bufferevent* make_stream(event_loop& loop, int socket) {
    auto* new_stream =
        bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    if (new_stream == nullptr) {
        throw std::bad_alloc{};
    }
    return new_stream;
}

} // namespace

peer_connection::peer_connection(bufferevent* new_stream) : stream{new_stream} {
    const auto on_input = [](bufferevent*, void* self) {
        static_cast<peer_connection*>(self)->on_readable();
    };
    const auto on_stream_event = [](bufferevent*, short event_flags, void* self) {
        static_cast<peer_connection*>(self)->on_event(event_flags);
    };
    bufferevent_setcb(new_stream, on_input, nullptr, on_stream_event, this);
    bufferevent_enable(new_stream, EV_READ | EV_WRITE);
}

peer_connection::~peer_connection() {
    this->close();
}

std::shared_ptr<peer_connection> peer_connection::open(event_loop& loop, const address& peer) {
    std::shared_ptr<peer_connection> connection{new peer_connection{make_stream(loop, -1)}};
    const auto socket_address = internal::to_socket_address(peer);
    bufferevent_socket_connect(connection->stream, reinterpret_cast<const sockaddr*>(&socket_address),
                               sizeof(socket_address));
    return connection;
}

std::shared_ptr<peer_connection> peer_connection::accept(event_loop& loop, int socket) {
    disable_nagle(socket);
    std::shared_ptr<peer_connection> connection{new peer_connection{make_stream(loop, socket)}};
    connection->connected = true;
    return connection;
}

std::size_t peer_connection::send(const message& outgoing) {
    if (this->stream == nullptr) {
        return 0;
    }
    auto frame = encode(outgoing);
    const auto size = frame.size();
    auto* output = bufferevent_get_output(this->stream);
    if (evbuffer_get_length(output) + size > max_backlog_bytes) {
        return 0;
    }
    const auto* ended = std::get_if<answer>(&outgoing);
    return internal::add_without_copy(output, std::move(frame), ended == nullptr ? nullptr : ended->held)
               ? size
               : 0;
}

std::size_t peer_connection::backlog() const noexcept {
    return this->stream == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(this->stream));
}

void peer_connection::close() noexcept {
    if (this->stream == nullptr) {
        return;
    }
    bufferevent_free(this->stream);
    this->stream = nullptr;
}

void peer_connection::on_readable() {
    const auto guard = this->shared_from_this();
    while (this->stream != nullptr && this->deliver_frame()) {
        this->frame_started_at.reset();
    }
    if (this->stream == nullptr || evbuffer_get_length(bufferevent_get_input(this->stream)) == 0) {
        this->frame_started_at.reset();
        return;
    }
    if (!this->frame_started_at) {
        this->frame_started_at = monotonic_clock::now();
    }
    if (this->events.progressed) {
        this->events.progressed();
    }
}

bool peer_connection::deliver_frame() {
    auto* input = bufferevent_get_input(this->stream);
    std::uint32_t length = 0;
    if (evbuffer_copyout(input, &length, frame_header_bytes) < static_cast<ev_ssize_t>(frame_header_bytes)) {
        return false;
    }
    if (length > (this->received_frame ? max_frame_bytes : max_first_frame_bytes)) {
        this->fail(close_cause::malformed_frame);
        return false;
    }
    const auto total = frame_header_bytes + length;
    if (evbuffer_get_length(input) < total) {
        return false;
    }
    const auto* bytes = evbuffer_pullup(input, static_cast<ev_ssize_t>(total));
    auto decoded = decode(std::as_bytes(std::span{bytes + frame_header_bytes, length}));
    evbuffer_drain(input, total);
    if (!succeeded(decoded)) {
        this->fail(close_cause::malformed_frame);
        return false;
    }
    this->received_frame = true;
    const auto now = monotonic_clock::now();
    this->events.received(
        value_of(std::move(decoded)),
        {.bytes = total, .transfer_time = elapsed(this->frame_started_at.value_or(now), now)});
    return true;
}

void peer_connection::on_event(short event_flags) {
    const auto guard = this->shared_from_this();
    if ((event_flags & BEV_EVENT_CONNECTED) != 0) {
        this->connected = true;
        disable_nagle(bufferevent_getfd(this->stream));
        if (this->events.opened) {
            this->events.opened();
        }
        return;
    }
    if ((event_flags & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        this->fail(this->connected ? close_cause::ended_by_peer : close_cause::refused);
    }
}

void peer_connection::fail(close_cause cause) {
    this->close();
    if (this->events.closed) {
        this->events.closed(cause);
    }
}

peer_listener::peer_listener(event_loop& io_loop, accept_handler callback)
    : loop{&io_loop}, handler{std::move(callback)} {}

peer_listener::~peer_listener() {
    if (this->socket != nullptr) {
        evconnlistener_free(this->socket);
    }
}

result<std::unique_ptr<peer_listener>, transport_error>
peer_listener::listen(event_loop& loop, const address& bind_address, accept_handler handler) {
    constexpr int backlog = 512;
    std::unique_ptr<peer_listener> new_listener{new peer_listener{loop, std::move(handler)}};
    const auto on_accept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        auto& listener = *static_cast<peer_listener*>(self);
        listener.handler(peer_connection::accept(*listener.loop, socket));
    };
    const auto socket_address = internal::to_socket_address(bind_address);
    new_listener->socket =
        evconnlistener_new_bind(loop.base(), on_accept, new_listener.get(),
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, backlog,
                                reinterpret_cast<const sockaddr*>(&socket_address), sizeof(socket_address));
    if (new_listener->socket == nullptr) {
        return transport_error{"cannot listen on " + to_string(bind_address) + ": " + std::strerror(errno)};
    }
    return new_listener;
}

} // namespace chervilturn
