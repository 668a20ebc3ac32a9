// Parser of callers' requests in the native protocol.
#pragma once

#include "chervilturn/node/protocol.hpp"

namespace chervilturn {

/// @brief Parses and checks a request for /TEAM/SERVICE/PATH.
///
/// Headers: chervilturn-workspace (required), chervilturn-deadline-ms, idempotency-key,
/// chervilturn-key-created-ms, chervilturn-extra-attempts and chervilturn-depth. Fails when a header is not
/// valid, when no route, service or workspace matches, or when no settings are accepted yet.
[[nodiscard]] result<accepted_request, request_error> read_request(const request_context& context,
                                                                   http_request&& request);

/// @brief Whether the route that matches the request's path is idempotent; false when none matches.
[[nodiscard]] bool is_idempotent_request(const request_context& context, const http_request& request);

} // namespace chervilturn
