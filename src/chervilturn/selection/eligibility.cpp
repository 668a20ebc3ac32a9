// Filtering of backend servers by binding, data centre, host state and recent failures.
#include "chervilturn/selection/eligibility.hpp"

#include <algorithm>
#include <iterator>

namespace chervilturn {

namespace {

constexpr const char* no_region = "(none)"; // placeholder that matches no data centre's region

} // namespace

distance distance_between(const model& settings, const std::string& entry_data_centre,
                          const std::string& server_data_centre) {
    if (server_data_centre == entry_data_centre) {
        return distance::same_data_centre;
    }
    return settings.region_of(server_data_centre) == settings.region_of(entry_data_centre)
               ? distance::same_region
               : distance::other_region;
}

reason exclusion_reason(const eligibility_request& request, const backend_server& server) {
    const auto region = request.settings->region_of(server.data_centre);
    if (!admits(request.regions, region) || !admits(request.target_service->home_regions, region)) {
        return reason::outside_home_regions;
    }
    if (!request.settings->in_service(request.owning_team->name, server.data_centre)) {
        return reason::data_centre_out;
    }
    if (request.settings->is_leaving(server.node)) {
        return reason::host_leaving;
    }
    return reason::none;
}

region_set common_regions(const region_set& first, const region_set& second) {
    if (first.empty() || second.empty()) {
        return first.empty() ? second : first;
    }
    region_set common;
    std::set_intersection(first.begin(), first.end(), second.begin(), second.end(),
                          std::inserter(common, common.end()));
    if (common.empty()) {
        common.insert(no_region);
    }
    return common;
}

std::vector<candidate> eligible_candidates(const eligibility_request& request, const call_history& history,
                                           const view_lookup& view_of, instant now) {
    const auto contains = [](const std::vector<std::string>& list, const std::string& name) {
        return std::find(list.begin(), list.end(), name) != list.end();
    };
    std::vector<candidate> allowed;
    std::vector<candidate> preferred;
    const auto& servers = request.target_service->backend_servers;
    for (std::size_t index = 0; index < servers.size(); ++index) {
        if (exclusion_reason(request, servers[index]) != reason::none) {
            continue;
        }
        const auto& view = view_of(servers[index]);
        if (view.is_leaving(servers[index].name, now)) {
            continue;
        }
        const bool refused = contains(history.refused, servers[index].name);
        const candidate eligible{
            .index = index,
            .distance_from_entry =
                distance_between(*request.settings, request.entry_data_centre, servers[index].data_centre),
            .view = &view,
            .refused_before = refused};
        allowed.push_back(eligible);
        if (!contains(history.tried, servers[index].name) && (refused || !view.in_penalty(now))) {
            preferred.push_back(eligible);
        }
    }
    return preferred.empty() ? allowed : preferred;
}

} // namespace chervilturn
