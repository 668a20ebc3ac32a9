// Reads requests of the product's own form.
#pragma once

#include "chervilturn/node/protocol.hpp"

namespace chervilturn {

/// @brief Reads and checks a request of the form /TEAM/SERVICE/PATH.
///
/// Headers: chervilturn-workspace (required), chervilturn-deadline-ms, idempotency-key,
/// chervilturn-key-created-ms, chervilturn-extra-attempts and chervilturn-depth.
[[nodiscard]] result<accepted_request, request_error> read_request(const request_context& context,
                                                                   http_request&& request);

} // namespace chervilturn
