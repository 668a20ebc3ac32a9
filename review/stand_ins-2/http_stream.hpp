// Blocking HTTP/1.1 over TCP for the stand-ins of the review: one connection, and a listener that serves each
// connection in a thread of its own.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;

/// @brief IPv4 address and port.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;
};

[[nodiscard]] std::string to_string(const endpoint& address);

/// @brief A request or a response.
struct http_message {
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// @brief Value of the first header with this name, ignoring case; empty without one.
    [[nodiscard]] std::string header(std::string_view name) const;

    /// @brief Status of a response; 0 when the start line has none.
    [[nodiscard]] int status() const;

    /// @brief Method of a request.
    [[nodiscard]] std::string method() const;

    /// @brief Path and query of a request.
    [[nodiscard]] std::string target() const;
};

/// @brief Text of a message whose body has a Content-Length.
[[nodiscard]] std::string message_text(const http_message& message);

/// @brief How reading a message ended. A connection that is reset may have left bytes unread at the peer.
enum class read_end { complete, closed, reset, timed_out, malformed };

/// @brief A TCP connection that reads HTTP messages. Closes its socket when destroyed.
class http_connection {
  public:
    explicit http_connection(int open_socket) : socket{open_socket} {}
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;
    http_connection(http_connection&& other) noexcept;
    http_connection& operator=(http_connection&& other) noexcept;
    ~http_connection();

    /// @brief Connects within a second; nothing when that fails. `receive_buffer` limits the socket's buffer
    /// in bytes, 0 leaves it to the system.
    [[nodiscard]] static std::optional<http_connection> connect(const endpoint& target,
                                                                int receive_buffer = 0);

    /// @brief Writes all bytes; false when the connection has ended.
    bool write(std::string_view bytes);

    /// @brief Reads one message with a Content-Length or without a body.
    [[nodiscard]] read_end read(http_message& message, time_point deadline);

    /// @brief Reads up to `size` bytes that have arrived or arrive before the deadline; fewer than one when
    /// the connection has ended or the deadline has passed.
    [[nodiscard]] long read_bytes(char* bytes, std::size_t size, time_point deadline);

    /// @brief Whether the peer has closed the connection and all it sent has been read.
    [[nodiscard]] bool has_ended() const;

    [[nodiscard]] int descriptor() const noexcept { return this->socket; }

  private:
    int socket = -1;
    std::string unread;
};

/// @brief Accepts connections and serves each in a thread until the handler returns.
class http_listener {
  public:
    using connection_handler = std::function<void(http_connection&)>;

    http_listener() = default;
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;
    ~http_listener() { this->stop(); }

    /// @brief Listens; false when the address is in use.
    [[nodiscard]] bool start(const endpoint& address, connection_handler handler);

    /// @brief Ends all connections and waits for their handlers.
    void stop();

  private:
    void accept_all();

    int socket = -1;
    std::atomic<bool> stopping = false;
    connection_handler on_connection;
    std::thread acceptor;
    std::mutex guard;
    std::list<std::pair<int, std::thread>> connections; // socket, -1 after its end
};

} // namespace review
