// Which backend servers of a service may take a call, seen from one entry.
#pragma once

#include "chervilturn/config/model.hpp"
#include "chervilturn/selection/policy.hpp"

#include <functional>
#include <string>
#include <vector>

namespace chervilturn {

/// @brief The call's binding and the entry's place.
struct eligibility_request {
    const model* settings = nullptr;
    const team* owner = nullptr;
    const service* target = nullptr;
    region_set regions; // where the call may be served; empty for everywhere
    std::string entry_data_centre;
};

/// @brief Why a backend server may not take a call; none when it may.
[[nodiscard]] reason exclusion_of(const eligibility_request& request, const backend_server& server);

/// @brief Regions that satisfy all bindings of a call at once.
///
/// Bindings without any common region yield a set that admits no region.
[[nodiscard]] region_set common_regions(const region_set& first, const region_set& second);

/// @brief Finds the view of a backend server by its owner's address.
using view_lookup = std::function<const load_view&(const backend_server&)>;

/// @brief Names of the backend servers that a call was at already.
struct call_history {
    std::vector<std::string> tried;   // not to be chosen again while others remain
    std::vector<std::string> refused; // refused it for want of room or speed, and may be asked again
};

/// @brief Collects eligible candidates. Servers in tried are left out unless nothing else remains;
/// servers in penalty likewise, so that a bad spell never condemns every server.
[[nodiscard]] std::vector<candidate> eligible_candidates(const eligibility_request& request,
                                                         const call_history& history,
                                                         const view_lookup& view_of, instant now);

} // namespace chervilturn
