// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review: one thread per connection.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

/// @brief Where a socket listens; the ip is a loopback address.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;
};

[[nodiscard]] std::string to_string(const endpoint& where);

/// @brief A request or a response.
struct message {
    std::string method; // empty in a response
    std::string target;
    int status = 0; // 0 in a request
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// @brief The first header of a name; empty when there is none.
    [[nodiscard]] std::string find(const std::string& name) const;
};

/// @brief How reading a message ended.
enum class read_end {
    whole,     // the message is complete
    timed_out, // not complete in time
    closed,    // the connection ended before its first byte
    cut        // the connection ended within it, or its bytes are no message
};

/// @brief One connection. Not movable: its thread and its closer share it.
class connection {
  public:
    explicit connection(int connected_socket) : socket{connected_socket} {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();

    /// @brief Connects within a second; the connection is not open when that fails.
    connection(const endpoint& target, int receive_buffer_bytes);

    [[nodiscard]] bool is_open() const noexcept { return this->socket >= 0; }
    [[nodiscard]] bool send(const std::string& bytes) const;
    [[nodiscard]] read_end read(message& received, steady::time_point until);

    /// @brief Reads at most `bytes` bytes of the stream; empty at its end or when none came in time.
    [[nodiscard]] std::string read_some(std::size_t bytes, steady::time_point until);
    void close();

    /// @brief Whether the peer has closed or reset the connection.
    [[nodiscard]] bool peer_has_left() const;

  private:
    [[nodiscard]] bool fill(steady::time_point until, bool& ended);
    [[nodiscard]] read_end read_body(message& received, std::size_t length, steady::time_point until);

    int socket = -1;
    std::string buffer; // received and not yet consumed
};

/// @brief Text of a response with a length.
[[nodiscard]] std::string response_text(int status,
                                        const std::vector<std::pair<std::string, std::string>>& headers,
                                        const std::string& body);

/// @brief Text of a request with a length.
[[nodiscard]] std::string request_text(const std::string& method, const std::string& target,
                                       const std::vector<std::pair<std::string, std::string>>& headers,
                                       const std::string& body);

/// @brief Accepts connections and runs a handler for each in a thread of its own.
class server {
  public:
    using handler = std::function<void(connection&)>;

    /// @brief Throws when the address cannot be bound.
    server(const endpoint& where, handler on_connection);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server() = default; // threads end with the process

  private:
    int listener = -1;
};

/// @brief A port that is free on all given loopback addresses, and the `count - 1` ports after it.
[[nodiscard]] std::uint16_t find_free_ports(const std::vector<std::string>& ips, std::uint16_t count);

} // namespace review
