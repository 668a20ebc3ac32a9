// Serialisation of HTTP/1.1 messages.
#pragma once

#include "chervilturn/transport/http.hpp"

#include <string>

namespace chervilturn::internal {

/// @brief The bytes of a request up to its body. If it has no host header, the target's address is added as
/// one.
[[nodiscard]] std::string request_head(const http_request& request, const address& target);

/// @brief The bytes of a response up to its body. The last response of a connection has the header
/// "connection: close".
[[nodiscard]] std::string response_head(const http_response& response, bool last_response);

/// @brief Whether the body of a response is sent: not to a HEAD request, and not with some statuses.
[[nodiscard]] bool sends_body(const http_response& response, bool head_request) noexcept;

} // namespace chervilturn::internal
