// Plain sockets on libevent.
#include "support/raw_peer.hpp"

#include "chervilturn/transport/socket_address.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdexcept>
#include <unistd.h>

namespace chervilturn::test {

namespace {

[[nodiscard]] address bound_address(int socket) {
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size);
    return {"127.0.0.1", ntohs(bound.sin_port)};
}

[[nodiscard]] sockaddr_in any_loopback_port() {
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return target;
}

} // namespace

address free_address() {
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    const auto target = any_loopback_port();
    if (bind(probe, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
        throw std::runtime_error{"no free port"};
    }
    auto found = bound_address(probe);
    close(probe);
    return found;
}

raw_client::raw_client(event_loop& loop, const address& server)
    : stream{bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)} {
    this->listen();
    const auto target = internal::to_socket_address(server);
    bufferevent_socket_connect(this->stream, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}

raw_client::raw_client(event_loop& loop, int socket)
    : stream{bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE)} {
    this->listen();
}

raw_client::~raw_client() {
    bufferevent_free(this->stream);
}

void raw_client::listen() {
    bufferevent_setcb(
        this->stream,
        [](bufferevent* source, void* self) {
            auto* input = bufferevent_get_input(source);
            std::string arrived(evbuffer_get_length(input), '\0');
            evbuffer_remove(input, arrived.data(), arrived.size());
            static_cast<raw_client*>(self)->bytes += arrived;
        },
        nullptr,
        [](bufferevent*, short what, void* self) {
            if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
                static_cast<raw_client*>(self)->over = true;
            }
        },
        this);
    bufferevent_enable(this->stream, EV_READ | EV_WRITE);
}

void raw_client::write(const std::string& sent) {
    bufferevent_write(this->stream, sent.data(), sent.size());
}

void raw_client::end() {
    shutdown(bufferevent_getfd(this->stream), SHUT_WR);
}

void raw_client::reset() {
    const linger at_once{1, 0};
    setsockopt(bufferevent_getfd(this->stream), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    close(bufferevent_getfd(this->stream));
    bufferevent_setfd(this->stream, -1);
}

bool raw_client::written() const {
    return evbuffer_get_length(bufferevent_get_output(this->stream)) == 0;
}

raw_server::raw_server(event_loop& used) : loop{&used} {
    const auto target = any_loopback_port();
    const auto accepted = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        auto& server = *static_cast<raw_server*>(self);
        ++server.count;
        server.last = std::make_unique<raw_client>(*server.loop, static_cast<int>(socket));
    };
    this->socket = evconnlistener_new_bind(used.base(), accepted, this, LEV_OPT_CLOSE_ON_FREE, -1,
                                           reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    if (this->socket == nullptr) {
        throw std::runtime_error{"cannot listen"};
    }
    this->bound = bound_address(evconnlistener_get_fd(this->socket));
}

raw_server::~raw_server() {
    evconnlistener_free(this->socket);
}

std::string raw_server::received() const {
    return this->last == nullptr ? std::string{} : this->last->received();
}

} // namespace chervilturn::test
