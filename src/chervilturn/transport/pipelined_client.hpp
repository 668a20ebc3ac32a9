// HTTP client that sends requests behind one another on one connection, for load programs and tests.
#pragma once

#include "chervilturn/transport/http.hpp"

#include <functional>
#include <memory>
#include <variant>

namespace chervilturn {

namespace internal {
class pipelined_connection;
} // namespace internal

/// @brief Why a pipelined request has no response.
enum class pipelined_failure {
    not_read,  // it was sent behind a response that closed the connection, so it did not run
    cut,       // the connection ended, or was never established
    malformed, // the received bytes are no response
    timed_out  // no response within the timeout
};

/// @brief The enumerator's name.
[[nodiscard]] std::string_view to_string(pipelined_failure failure) noexcept;

using pipelined_result = std::variant<http_response, pipelined_failure>;

/// @brief Sends any number of requests on a single connection without waiting for the responses, which arrive
/// in the order of the requests.
///
/// A client is used for one connection: once it has ended, no further request is sent. Handlers are called
/// exactly once, except for requests that are in progress when the client is destroyed.
class pipelined_client {
  public:
    using response_handler = std::function<void(pipelined_result)>;

    /// @brief Starts to connect. The timeout applies to each request, from its sending to its response.
    pipelined_client(event_loop& loop, const address& target, microseconds timeout);
    pipelined_client(const pipelined_client&) = delete;
    pipelined_client& operator=(const pipelined_client&) = delete;
    ~pipelined_client();

    /// @brief Sends a request; false, without calling the handler, once the connection has ended.
    bool send(const http_request& request, response_handler handler);

    /// @brief Closes the connection; the requests without a response fail as cut.
    void close();

    /// @brief Whether the connection takes further requests.
    [[nodiscard]] bool is_open() const noexcept;

    /// @brief Number of requests without a response.
    [[nodiscard]] std::size_t in_progress() const noexcept;

  private:
    std::shared_ptr<internal::pipelined_connection> connection;
};

} // namespace chervilturn
