// Buffered socket, implemented by a libevent bufferevent.
#include "chervilturn/transport/http_stream.hpp"

#include "chervilturn/transport/output_bytes.hpp"
#include "chervilturn/transport/socket_address.hpp"

#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <new>
#include <poll.h>
#include <sys/socket.h>

namespace chervilturn::internal {

namespace {

void disable_nagle(evutil_socket_t socket) {
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

} // namespace

http_stream::http_stream(event_loop& loop, int socket)
    : stream{bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE)} {
    if (this->stream == nullptr) {
        throw std::bad_alloc{};
    }
    bufferevent_setcb(
        this->stream, [](bufferevent*, void* self) { static_cast<http_stream*>(self)->on_readable(); },
        [](bufferevent*, void* self) { static_cast<http_stream*>(self)->on_written(); },
        [](bufferevent*, short event_flags, void* self) {
            static_cast<http_stream*>(self)->on_event(event_flags);
        },
        this);
    if (socket >= 0) {
        disable_nagle(socket);
    }
    bufferevent_enable(this->stream, EV_READ | EV_WRITE);
}

http_stream::~http_stream() {
    this->close();
}

void http_stream::close() noexcept {
    if (this->stream != nullptr) {
        bufferevent_free(this->stream);
        this->stream = nullptr;
    }
}

bool http_stream::ended_by_peer() const noexcept {
    if (this->stream == nullptr) {
        return true;
    }
    char next_byte = 0;
    const auto peeked =
        recv(bufferevent_getfd(this->stream), &next_byte, sizeof(next_byte), MSG_PEEK | MSG_DONTWAIT);
    return peeked == 0 || (peeked < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void http_stream::connect(const address& target) {
    const auto socket_address = to_socket_address(target);
    bufferevent_socket_connect(this->stream, reinterpret_cast<const sockaddr*>(&socket_address),
                               sizeof(socket_address));
}

void http_stream::write(const std::string& bytes) {
    bufferevent_write(this->stream, bytes.data(), bytes.size());
}

void http_stream::write(std::string&& bytes, std::shared_ptr<const void> held) {
    add_without_copy(bufferevent_get_output(this->stream), std::move(bytes), std::move(held));
}

void http_stream::write(std::string_view bytes, std::shared_ptr<const void> holder) {
    add_without_copy(bufferevent_get_output(this->stream), bytes, std::move(holder));
}

evbuffer* http_stream::input() const noexcept {
    return bufferevent_get_input(this->stream);
}

std::size_t http_stream::unwritten() const noexcept {
    return this->stream == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(this->stream));
}

bool http_stream::peer_has_shut_down() const noexcept {
    pollfd watched{.fd = bufferevent_getfd(this->stream), .events = POLLRDHUP, .revents = 0};
    return poll(&watched, 1, 0) > 0 && (watched.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void http_stream::shutdown_writing() noexcept {
    shutdown(bufferevent_getfd(this->stream), SHUT_WR);
}

void http_stream::set_reading_paused(bool pauses) noexcept {
    if (pauses == this->is_paused) {
        return;
    }
    this->is_paused = pauses;
    if (pauses) {
        bufferevent_disable(this->stream, EV_READ);
    } else {
        bufferevent_enable(this->stream, EV_READ);
    }
}

void http_stream::on_event(short event_flags) {
    if ((event_flags & BEV_EVENT_CONNECTED) != 0) {
        disable_nagle(bufferevent_getfd(this->stream));
        this->on_connected();
    } else if ((event_flags & BEV_EVENT_EOF) != 0) {
        this->on_end(stream_end::eof);
    } else if ((event_flags & BEV_EVENT_ERROR) != 0) {
        this->on_end(stream_end::error);
    }
}

} // namespace chervilturn::internal
