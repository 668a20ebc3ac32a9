// Writes HTTP/1.1 messages.
#pragma once

#include "chervilturn/transport/http.hpp"

#include <string>

namespace chervilturn::internal {

/// @brief A request as it goes over the wire; without a host header it gets the target's address.
[[nodiscard]] std::string request_text(const http_request& request, const address& target);

/// @brief A response as it goes over the wire. The last one on its connection says so; one to a HEAD
/// request has no body.
[[nodiscard]] std::string response_text(const http_response& response, bool last, bool head);

} // namespace chervilturn::internal
