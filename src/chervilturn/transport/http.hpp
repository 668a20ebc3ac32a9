// HTTP/1.1 towards callers, operators, backend servers and the platform: http-parser over libevent sockets.
#pragma once

#include "chervilturn/call/call.hpp"
#include "chervilturn/core/address.hpp"
#include "chervilturn/core/result.hpp"
#include "chervilturn/transport/event_loop.hpp"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

struct evconnlistener;

namespace chervilturn {

/// @brief A request, whole.
struct http_request {
    std::string method;
    std::string target; // path and query
    std::vector<header> headers;
    std::string body;
};

/// @brief A response, whole.
struct http_response {
    std::uint16_t status = 0;
    std::vector<header> headers;
    std::string body;
};

/// @brief Why a request has no response.
enum class http_failure {
    refused,   // no connection was made, so nothing was sent
    timed_out, // no whole response in time
    cut,       // the connection ended before the response was whole
    too_large, // the response exceeds the limit
    malformed, // bytes that are no response
    cancelled
};

[[nodiscard]] std::string_view to_string(http_failure failure) noexcept;

using http_result = std::variant<http_response, http_failure>;

/// @brief Whether two header names are the same, in any case.
[[nodiscard]] bool is_same_name(std::string_view left, std::string_view right) noexcept;

/// @brief The first value of a header, by a name in any case; empty when absent.
[[nodiscard]] std::string_view find_header(const std::vector<header>& headers,
                                           std::string_view name) noexcept;

/// @brief Whether a header concerns one connection only and must not be passed on.
[[nodiscard]] bool is_hop_by_hop(std::string_view name) noexcept;

/// @brief Limits of an HTTP server.
struct http_server_options {
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 8UL * 1024 * 1024;
    microseconds header_timeout = std::chrono::seconds{10}; // from the first byte of a request to its last
    microseconds idle_timeout = std::chrono::seconds{75};   // between two requests on a connection
};

namespace internal {
class server_connection;
} // namespace internal

/// @brief One request to a server and the chance to respond to it, once.
class http_exchange {
  public:
    http_exchange(std::weak_ptr<internal::server_connection> connection, http_request request);
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    ~http_exchange();

    [[nodiscard]] const http_request& request() const noexcept { return this->received; }
    [[nodiscard]] http_request& request() noexcept { return this->received; }

    /// @brief Responds; does nothing when the other side has gone.
    void respond(const http_response& response);

    /// @brief Called when the other side closes before the response.
    void on_abandoned(std::function<void()> handler) { this->abandoned = std::move(handler); }

  private:
    friend class internal::server_connection;

    void notice_abandoned();

    std::weak_ptr<internal::server_connection> connection; // reset once responded
    http_request received;
    bool head = false; // a response to HEAD carries no body
    std::function<void()> abandoned;
};

/// @brief Serves HTTP on one address.
class http_server {
  public:
    using request_handler = std::function<void(std::shared_ptr<http_exchange>)>;

    [[nodiscard]] static result<std::unique_ptr<http_server>, transport_error>
    listen(event_loop& loop, const address& where, const http_server_options& options,
           request_handler handler);

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// @brief Changes limits and time-outs, also of open connections.
    void configure(const http_server_options& changed) noexcept { this->options = changed; }

    /// @brief Asks callers by each response to close their connections.
    void close_after_responses() noexcept { this->closing = true; }

    /// @brief Stops to accept connections; requests in progress go on.
    void stop_accepting() noexcept;

    /// @brief Whether nothing is read, at work or being written on any connection.
    [[nodiscard]] bool idle() const noexcept;

  private:
    friend class internal::server_connection;

    http_server(event_loop& loop, const http_server_options& options, request_handler handler);

    void on_accepted(int socket);
    void sweep();
    void forget(const internal::server_connection& ended);

    event_loop* loop; // outlives the server
    http_server_options options;
    request_handler handler;
    evconnlistener* socket = nullptr;
    std::list<std::shared_ptr<internal::server_connection>> open;
    bool closing = false; // responses ask the other side to close
    timer sweeper;
};

/// @brief Limits of an HTTP client.
struct http_client_options {
    std::size_t max_header_bytes = 64UL * 1024;
    std::size_t max_body_bytes = 64UL * 1024 * 1024;
    std::size_t max_idle = 32;                           // connections kept open
    microseconds idle_timeout = std::chrono::seconds{4}; // shorter than servers commonly keep theirs
    microseconds connect_timeout = std::chrono::seconds{1};
};

namespace internal {
class client_connection;
} // namespace internal

/// @brief How one request is sent.
struct http_send_options {
    microseconds timeout{};
    bool fresh_connection = false; // never on a connection that carried a request before
    /// Whether a response belongs to this request. Others are dropped, as servers may answer twice.
    std::function<bool(const http_response&)> belongs;
};

/// @brief Sends requests to one address, each on a connection of its own at the time.
///
/// A request is written once and never again by the client itself.
class http_client {
  public:
    using response_handler = std::function<void(http_result)>;
    class exchange;

    http_client(event_loop& loop, const address& target, const http_client_options& options);
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    ~http_client();

    /// @brief Sends a request. The handler is called once, later.
    std::weak_ptr<exchange> send(const http_request& request, http_send_options how,
                                 response_handler handler);
    std::weak_ptr<exchange> send(const http_request& request, microseconds timeout, response_handler handler);

    /// @brief Gives a request up by closing its connection; its handler is called with cancelled.
    void give_up(const std::weak_ptr<exchange>& sent);

    /// @brief Drops all idle connections.
    void drop_idle() noexcept;

  private:
    friend class internal::client_connection;
    using connection_handle = std::shared_ptr<internal::client_connection>;

    [[nodiscard]] connection_handle take_connection(bool fresh);
    void keep(connection_handle connection);
    void discard(const internal::client_connection& ended) noexcept;
    void sweep();
    void finish(exchange& finished, http_result outcome);

    event_loop* loop; // outlives the client
    address target;
    http_client_options options;
    std::vector<connection_handle> idle;
    std::vector<std::pair<std::shared_ptr<exchange>, http_result>> ended; // handlers still to be called
    std::list<std::shared_ptr<exchange>> in_progress;
    wake_up deliver;
    timer sweeper;
};

} // namespace chervilturn
