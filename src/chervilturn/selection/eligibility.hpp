// Determines which backend servers of a service an entry may send a call to.
#pragma once

#include "chervilturn/config/model.hpp"
#include "chervilturn/selection/policy.hpp"

#include <functional>
#include <string>
#include <vector>

namespace chervilturn {

/// @brief The service and regions of a call, and the data centre of its entry.
struct eligibility_request {
    const model* settings = nullptr;
    const team* owning_team = nullptr;       // the team that owns the service
    const service* target_service = nullptr; // the service that the call goes to
    region_set regions;                      // regions that may serve the call; empty: all regions
    std::string entry_data_centre;
};

/// @brief Distance between two data centres of the settings.
[[nodiscard]] distance distance_between(const model& settings, const std::string& entry_data_centre,
                                        const std::string& server_data_centre);

/// @brief Returns why a backend server may not receive a call; reason::none when it may.
[[nodiscard]] reason exclusion_reason(const eligibility_request& request, const backend_server& server);

/// @brief Intersects two region sets; an empty set stands for all regions.
///
/// If the sets have no region in common, the result is a non-empty set that admits no existing region.
[[nodiscard]] region_set common_regions(const region_set& first, const region_set& second);

/// @brief Returns the load view of a backend server.
using view_lookup = std::function<const load_view&(const backend_server&)>;

/// @brief Names of the backend servers that a call was sent to.
struct call_history {
    std::vector<std::string> tried;   // chosen again only when no other server is eligible
    std::vector<std::string> refused; // their owners were full or too slow; may be chosen again
};

/// @brief Collects the eligible candidates. Leaves out servers that are leaving; also servers that were
/// tried, and servers in penalty that are not in history.refused, unless no other server remains; a period of
/// failures therefore never excludes every server. Empty when no server of the service may receive the call.
[[nodiscard]] std::vector<candidate> eligible_candidates(const eligibility_request& request,
                                                         const call_history& history,
                                                         const view_lookup& view_of, instant now);

} // namespace chervilturn
