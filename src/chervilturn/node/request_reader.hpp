// Turns a caller's HTTP request into a call, or into the reason why it is not one.
#pragma once

#include "chervilturn/config/node_settings.hpp"
#include "chervilturn/selection/eligibility.hpp"
#include "chervilturn/transport/http.hpp"

#include <string>

namespace chervilturn {

/// @brief A request that is refused before any backend server is chosen.
struct request_error {
    std::uint16_t status = 400;
    reason why = reason::bad_request;
    std::string message;
};

/// @brief A call with everything that settings say about it.
struct accepted_request {
    call made;          // without attempt number
    region_set regions; // where it may be served
    std::uint32_t retry_percent = 0;
    std::uint32_t extra_attempts = 0;
};

/// @brief Where a request is checked.
struct request_place {
    const model* settings = nullptr;
    const node_settings* node = nullptr;
};

/// @brief Reads and checks a request of the form /TEAM/SERVICE/PATH.
///
/// Headers: chervilturn-workspace (required), chervilturn-deadline-ms, idempotency-key,
/// chervilturn-key-created-ms, chervilturn-extra-attempts and chervilturn-depth.
[[nodiscard]] result<accepted_request, request_error> read_request(const request_place& place,
                                                                   http_request&& request);

} // namespace chervilturn
