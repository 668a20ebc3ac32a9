// Sockets and parsing of the stand-ins' HTTP.
#include "stand_ins-2/http_stream.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int listen_backlog = 512;
constexpr auto connect_timeout = std::chrono::seconds{1};

[[nodiscard]] sockaddr_in to_sockaddr(const endpoint& address) {
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    return target;
}

[[nodiscard]] int milliseconds_until(time_point deadline) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - steady_clock::now()).count();
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, 3'600'000));
}

void disable_nagle(int socket) {
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

[[nodiscard]] std::string word(const std::string& line, int index) {
    std::size_t start = 0;
    for (; index > 0; --index) {
        start = line.find(' ', start);
        if (start == std::string::npos) {
            return {};
        }
        ++start;
    }
    return line.substr(start, line.find(' ', start) - start);
}

// Parses the lines of a head, without the empty line behind it.
[[nodiscard]] bool parse_head(std::string_view head, http_message& message) {
    message = {};
    bool first = true;
    while (!head.empty()) {
        const auto end = std::min(head.find("\r\n"), head.size());
        const auto line = head.substr(0, end);
        head.remove_prefix(std::min(head.size(), end + 2));
        if (first) {
            message.start_line = line;
            first = false;
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string_view::npos) {
            return false;
        }
        auto value = line.substr(colon + 1);
        value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
        message.headers.emplace_back(line.substr(0, colon), value);
    }
    return !first;
}

} // namespace

std::string to_string(const endpoint& address) {
    return address.ip + ':' + std::to_string(address.port);
}

std::string http_message::header(std::string_view name) const {
    for (const auto& [item_name, value] : this->headers) {
        if (item_name.size() == name.size() && strncasecmp(item_name.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return {};
}

int http_message::status() const {
    return this->start_line.starts_with("HTTP/") ? std::atoi(word(this->start_line, 1).c_str()) : 0;
}

std::string http_message::method() const {
    return word(this->start_line, 0);
}

std::string http_message::target() const {
    return word(this->start_line, 1);
}

std::string message_text(const http_message& message) {
    std::string text = message.start_line + "\r\n";
    for (const auto& [name, value] : message.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text.append("Content-Length: ").append(std::to_string(message.body.size())).append("\r\n\r\n");
    return text.append(message.body);
}

http_connection::http_connection(http_connection&& other) noexcept
    : socket{std::exchange(other.socket, -1)}, unread{std::move(other.unread)} {}

http_connection& http_connection::operator=(http_connection&& other) noexcept {
    std::swap(this->socket, other.socket);
    std::swap(this->unread, other.unread);
    return *this;
}

http_connection::~http_connection() {
    if (this->socket >= 0) {
        ::close(this->socket);
    }
}

std::optional<http_connection> http_connection::connect(const endpoint& target, int receive_buffer) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        return std::nullopt;
    }
    http_connection connection{socket};
    if (receive_buffer > 0) {
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    }
    disable_nagle(socket);
    const auto address = to_sockaddr(target);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
        return std::nullopt;
    }
    pollfd waited{.fd = socket, .events = POLLOUT, .revents = 0};
    int failure = 0;
    socklen_t size = sizeof(failure);
    if (poll(&waited, 1, milliseconds_until(steady_clock::now() + connect_timeout)) != 1 ||
        getsockopt(socket, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
        return std::nullopt;
    }
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    return connection;
}

bool http_connection::write(std::string_view bytes) {
    while (!bytes.empty()) {
        const auto written = ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (written <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

long http_connection::read_bytes(char* bytes, std::size_t size, time_point deadline) {
    if (!this->unread.empty()) {
        const auto taken = std::min(size, this->unread.size());
        std::copy_n(this->unread.begin(), taken, bytes);
        this->unread.erase(0, taken);
        return static_cast<long>(taken);
    }
    pollfd waited{.fd = this->socket, .events = POLLIN, .revents = 0};
    if (poll(&waited, 1, milliseconds_until(deadline)) != 1) {
        return 0;
    }
    return ::recv(this->socket, bytes, size, 0);
}

read_end http_connection::read(http_message& message, time_point deadline) {
    constexpr std::size_t chunk_size = 64UL * 1024;
    std::string text = std::exchange(this->unread, {});
    std::string chunk(chunk_size, '\0');
    std::size_t needed = std::string::npos; // bytes of the whole message, once its head has arrived
    std::size_t body_start = 0;
    while (true) {
        const auto head_end = needed == std::string::npos ? text.find("\r\n\r\n") : std::string::npos;
        if (head_end != std::string::npos) {
            if (!parse_head(std::string_view{text}.substr(0, head_end), message)) {
                return read_end::malformed;
            }
            body_start = head_end + 4;
            const auto length = message.header("content-length");
            needed = body_start + std::strtoull(length.c_str(), nullptr, 10);
        }
        if (needed != std::string::npos && text.size() >= needed) {
            message.body = text.substr(body_start, needed - body_start);
            this->unread = text.substr(needed);
            return read_end::complete;
        }
        pollfd waited{.fd = this->socket, .events = POLLIN, .revents = 0};
        if (poll(&waited, 1, milliseconds_until(deadline)) != 1) {
            this->unread = std::move(text);
            return read_end::timed_out;
        }
        const auto received = ::recv(this->socket, chunk.data(), chunk.size(), 0);
        if (received <= 0) {
            this->unread = std::move(text);
            return received == 0 ? read_end::closed : read_end::reset;
        }
        text.append(chunk, 0, static_cast<std::size_t>(received));
    }
}

bool http_connection::has_ended() const {
    char next = 0;
    const auto peeked = ::recv(this->socket, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked == 0 || (peeked < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool http_listener::start(const endpoint& address, connection_handler handler) {
    this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(this->socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    const auto bound = to_sockaddr(address);
    if (bind(this->socket, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0 ||
        listen(this->socket, listen_backlog) != 0) {
        ::close(std::exchange(this->socket, -1));
        return false;
    }
    this->stopping = false;
    this->on_connection = std::move(handler);
    this->acceptor = std::thread{[this] { this->accept_all(); }};
    return true;
}

void http_listener::accept_all() {
    while (!this->stopping) {
        const int accepted = accept4(this->socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        disable_nagle(accepted);
        const std::lock_guard lock{this->guard};
        auto& [socket_number, serving] = this->connections.emplace_back(accepted, std::thread{});
        serving = std::thread{[this, accepted, &open_socket = socket_number] {
            http_connection connection{accepted};
            this->on_connection(connection);
            const std::lock_guard ending{this->guard};
            open_socket = -1;
        }};
    }
}

void http_listener::stop() {
    if (this->socket < 0) {
        return;
    }
    this->stopping = true;
    shutdown(this->socket, SHUT_RDWR);
    this->acceptor.join();
    ::close(std::exchange(this->socket, -1));
    {
        const std::lock_guard lock{this->guard};
        for (const auto& [open_socket, serving] : this->connections) {
            if (open_socket >= 0) {
                shutdown(open_socket, SHUT_RDWR);
            }
        }
    }
    for (auto& [open_socket, serving] : this->connections) {
        serving.join();
    }
    this->connections.clear();
}

} // namespace review
