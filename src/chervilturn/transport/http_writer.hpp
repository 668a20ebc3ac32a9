// Serialisation of HTTP/1.1 messages.
#pragma once

#include "chervilturn/transport/http.hpp"

#include <string>

namespace chervilturn::internal {

/// @brief The bytes of a request. If it has no host header, the target's address is added as one.
[[nodiscard]] std::string request_text(const http_request& request, const address& target);

/// @brief The bytes of a response. The last response of a connection has the header "connection: close"; a
/// response to a HEAD request has no body.
[[nodiscard]] std::string response_text(const http_response& response, bool last_response, bool head_request);

} // namespace chervilturn::internal
