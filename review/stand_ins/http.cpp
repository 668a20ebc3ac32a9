// Sockets, and reading and writing of HTTP/1.1 messages.
#include "http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <memory>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr int listen_backlog = 512;
constexpr std::size_t read_chunk = 64UL * 1024;

[[nodiscard]] sockaddr_in to_address(const endpoint& where) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(where.port);
    if (inet_pton(AF_INET, where.ip.c_str(), &address.sin_addr) != 1) {
        throw std::runtime_error{"no address: " + where.ip};
    }
    return address;
}

[[nodiscard]] int remaining_ms(steady::time_point until) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - steady::now()).count();
    return static_cast<int>(std::max<std::int64_t>(0, left));
}

[[nodiscard]] bool wait_for(int socket, std::int16_t events, int timeout_ms) {
    pollfd watched{.fd = socket, .events = events, .revents = 0};
    return poll(&watched, 1, timeout_ms) > 0;
}

[[nodiscard]] std::string header_text(const std::vector<std::pair<std::string, std::string>>& headers,
                                      std::size_t length) {
    std::string text;
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

void parse_head(const std::string& head, message& received) {
    std::size_t start = head.find("\r\n");
    const auto first = head.substr(0, start);
    const auto one = first.find(' ');
    const auto two = first.find(' ', one + 1);
    if (first.starts_with("HTTP/")) {
        received.status = std::stoi(first.substr(one + 1, 3));
    } else {
        received.method = first.substr(0, one);
        received.target = first.substr(one + 1, two - one - 1);
    }
    while (start + 2 < head.size()) {
        const auto end = std::min(head.find("\r\n", start + 2), head.size());
        const auto line = head.substr(start + 2, end - start - 2);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            received.headers.emplace_back(line.substr(0, colon),
                                          value == std::string::npos ? std::string{} : line.substr(value));
        }
        start = end;
    }
}

} // namespace

std::string to_string(const endpoint& where) {
    return where.ip + ':' + std::to_string(where.port);
}

std::string message::find(const std::string& name) const {
    for (const auto& [key, value] : this->headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

connection::connection(const endpoint& target, int receive_buffer_bytes)
    : socket{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)} {
    const int one = 1;
    setsockopt(this->socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (receive_buffer_bytes > 0) {
        setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof(receive_buffer_bytes));
    }
    const timeval second{.tv_sec = 1, .tv_usec = 0};
    setsockopt(this->socket, SOL_SOCKET, SO_SNDTIMEO, &second, sizeof(second));
    const auto address = to_address(target);
    if (::connect(this->socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        this->close();
        return;
    }
    const timeval patient{.tv_sec = 60, .tv_usec = 0};
    setsockopt(this->socket, SOL_SOCKET, SO_SNDTIMEO, &patient, sizeof(patient));
}

connection::~connection() {
    this->close();
}

void connection::close() {
    if (this->socket >= 0) {
        ::close(std::exchange(this->socket, -1));
    }
}

bool connection::send(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(this->socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::fill(steady::time_point until, bool& ended) {
    if (!wait_for(this->socket, POLLIN, remaining_ms(until))) {
        return false;
    }
    std::vector<char> chunk(read_chunk);
    const auto count = recv(this->socket, chunk.data(), chunk.size(), 0);
    ended = count <= 0;
    if (!ended) {
        this->buffer.append(chunk.data(), static_cast<std::size_t>(count));
    }
    return !ended;
}

read_end connection::read(message& received, steady::time_point until) {
    received = {};
    bool ended = false;
    auto head_end = this->buffer.find("\r\n\r\n");
    while (head_end == std::string::npos) {
        if (!this->fill(until, ended)) {
            if (!ended) {
                return read_end::timed_out;
            }
            return this->buffer.empty() ? read_end::closed : read_end::cut;
        }
        head_end = this->buffer.find("\r\n\r\n");
    }
    parse_head(this->buffer.substr(0, head_end + 2), received);
    this->buffer.erase(0, head_end + 4);
    const auto length = received.find("Content-Length");
    return this->read_body(received, length.empty() ? 0 : std::stoul(length), until);
}

read_end connection::read_body(message& received, std::size_t length, steady::time_point until) {
    bool ended = false;
    while (this->buffer.size() < length) {
        if (!this->fill(until, ended)) {
            received.body = std::exchange(this->buffer, {});
            return ended ? read_end::cut : read_end::timed_out;
        }
    }
    received.body = this->buffer.substr(0, length);
    this->buffer.erase(0, length);
    return read_end::whole;
}

std::string connection::read_some(std::size_t bytes, steady::time_point until) {
    bool ended = false;
    if (this->buffer.empty() && !this->fill(until, ended)) {
        return {};
    }
    auto taken = this->buffer.substr(0, bytes);
    this->buffer.erase(0, taken.size());
    return taken;
}

bool connection::peer_has_left() const {
    char next = 0;
    const auto count = recv(this->socket, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::string response_text(int status, const std::vector<std::pair<std::string, std::string>>& headers,
                          const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + header_text(headers, body.size()) + body;
}

std::string request_text(const std::string& method, const std::string& target,
                         const std::vector<std::pair<std::string, std::string>>& headers,
                         const std::string& body) {
    return method + ' ' + target + " HTTP/1.1\r\n" + header_text(headers, body.size()) + body;
}

server::server(const endpoint& where, handler on_connection)
    : listener{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)} {
    const int one = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const auto address = to_address(where);
    if (bind(this->listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(this->listener, listen_backlog) != 0) {
        throw std::runtime_error{"cannot listen on " + to_string(where)};
    }
    std::thread{[socket = this->listener, on_connection = std::move(on_connection)] {
        while (true) {
            const int accepted = accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            const int enabled = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
            std::thread{[accepted, on_connection] {
                connection client{accepted};
                on_connection(client);
            }}.detach();
        }
    }}.detach();
}

std::uint16_t find_free_ports(const std::vector<std::string>& ips, std::uint16_t count) {
    constexpr std::uint16_t lowest = 20'000;
    constexpr std::uint16_t highest = 30'000; // below the ports that the system hands out by itself
    std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<int> any{lowest, highest};
    const auto is_free = [](const endpoint& where) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = to_address(where);
        const bool bound = bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        ::close(socket);
        return bound;
    };
    while (true) {
        const auto first = static_cast<std::uint16_t>(any(random));
        bool all_free = true;
        for (const auto& ip : ips) {
            for (std::uint16_t offset = 0; all_free && offset < count; ++offset) {
                all_free = is_free({ip, static_cast<std::uint16_t>(first + offset)});
            }
        }
        if (all_free) {
            return first;
        }
    }
}

} // namespace review
