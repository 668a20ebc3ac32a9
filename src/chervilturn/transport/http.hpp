// HTTP/1.1 towards callers, operators, backend servers and the platform, by evhttp.
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

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

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
    unframed,  // the response has no length, so nobody can tell whether it is whole
    cancelled
};

[[nodiscard]] std::string_view to_string(http_failure failure) noexcept;

using http_result = std::variant<http_response, http_failure>;

/// @brief The first value of a header, by a name in any case; empty when absent.
[[nodiscard]] std::string_view find_header(const std::vector<header>& headers,
                                           std::string_view name) noexcept;

/// @brief Whether a header concerns one connection only and must not be passed on.
[[nodiscard]] bool is_hop_by_hop(std::string_view name) noexcept;

/// @brief Limits of an HTTP server.
struct http_server_options {
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 8UL * 1024 * 1024;
    std::chrono::seconds idle_timeout{75};
};

/// @brief One request to a server and the chance to respond to it, once.
class http_exchange {
  public:
    http_exchange(evhttp_request* held, http_request request, std::shared_ptr<std::size_t> in_flight);
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
    void forget_connection() noexcept;

    evhttp_request* held; // null once responded or gone
    http_request received;
    std::function<void()> abandoned;
    std::shared_ptr<std::size_t> in_flight; // responses of the server not yet written out
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

    /// @brief Stops to accept connections; requests in progress go on.
    void stop_accepting() noexcept;

    /// @brief Responses that are not yet written out whole.
    [[nodiscard]] std::size_t responses_in_flight() const noexcept { return *this->in_flight; }

  private:
    explicit http_server(request_handler receiver) : handler{std::move(receiver)} {}

    request_handler handler;
    evhttp* server = nullptr;
    evhttp_bound_socket* socket = nullptr;
    std::shared_ptr<std::size_t> in_flight = std::make_shared<std::size_t>(0);
};

/// @brief Limits of an HTTP client.
struct http_client_options {
    std::size_t max_body_bytes = 64UL * 1024 * 1024;
    std::size_t max_idle = 32; // connections kept open
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
    std::weak_ptr<exchange> send(const http_request& request, microseconds timeout, response_handler handler);

    /// @brief Gives a request up by closing its connection; its handler is called with cancelled.
    void give_up(const std::weak_ptr<exchange>& sent);

    /// @brief Drops all idle connections.
    void drop_idle() noexcept;

  private:
    struct connection_deleter {
        void operator()(evhttp_connection* held) const noexcept;
    };
    using connection_handle = std::unique_ptr<evhttp_connection, connection_deleter>;

    [[nodiscard]] connection_handle take_connection();
    void finish(exchange& finished, http_result outcome);

    event_loop* loop; // outlives the client
    address target;
    http_client_options options;
    std::vector<connection_handle> idle;
    std::vector<connection_handle> discarded;     // freed outside their own callbacks
    std::vector<std::shared_ptr<exchange>> ended; // likewise
    std::list<std::shared_ptr<exchange>> in_progress;
    wake_up discard;
};

} // namespace chervilturn
