// Lookup of a call in the settings and the reasons to refuse it.
#include "chervilturn/node/owner_state.hpp"

#include "chervilturn/selection/eligibility.hpp"

namespace chervilturn {

bool owner_state::set_server_name(const std::string& name) {
    if (name.empty()) {
        return false;
    }
    if (name == this->rejected_name) {
        this->rejected_name.clear();
    }
    if (name == this->reported_name) {
        return false;
    }
    this->reported_name = name;
    return true;
}

resolved_call owner_state::resolve(const call& received) const {
    resolved_call resolved;
    resolved.owning_team = this->settings->find_team(received.team);
    if (resolved.owning_team == nullptr) {
        return resolved;
    }
    const auto target = resolved.owning_team->services.find(received.service);
    if (target == resolved.owning_team->services.end()) {
        return resolved;
    }
    resolved.target = &target->second;
    for (const auto& server : resolved.target->backend_servers) {
        const bool is_candidate =
            server.node == this->self->reachable_at && server.name != this->rejected_name;
        if (is_candidate &&
            (this->reported_name.empty() ? resolved.server == nullptr : server.name == this->reported_name)) {
            resolved.server = &server;
        }
    }
    return resolved;
}

reason owner_state::refusal_reason(const call& received) const {
    if (this->in_shutdown) {
        return reason::shutting_down;
    }
    if (this->stale) {
        return reason::settings_unconfirmed;
    }
    if (!this->probed) {
        return reason::backend_unreachable;
    }
    const auto resolved = this->resolve(received);
    if (resolved.server == nullptr) {
        return reason::not_the_owner;
    }
    const eligibility_request request{.settings = this->settings.get(),
                                      .owning_team = resolved.owning_team,
                                      .target_service = resolved.target,
                                      .regions = home_regions_of(*resolved.owning_team, received),
                                      .entry_data_centre = this->self->data_centre};
    return exclusion_reason(request, *resolved.server);
}

std::set<std::string> owner_state::permitted_data_centres(const call& received) const {
    const auto resolved = this->resolve(received);
    if (resolved.owning_team == nullptr || resolved.target == nullptr) {
        return {this->self->data_centre};
    }
    const auto regions =
        common_regions(home_regions_of(*resolved.owning_team, received), resolved.target->home_regions);
    std::set<std::string> permitted;
    if (regions.empty()) {
        return permitted;
    }
    permitted.insert(this->self->data_centre);
    for (const auto& [peers, listed] : this->settings->hosts) {
        if (admits(regions, this->settings->region_of(listed.data_centre))) {
            permitted.insert(listed.data_centre);
        }
    }
    return permitted;
}

region_set home_regions_of(const team& owning_team, const call& received) {
    region_set regions;
    const auto workspace_entry = owning_team.workspaces.find(received.workspace);
    if (workspace_entry != owning_team.workspaces.end()) {
        regions = workspace_entry->second.home_regions;
    }
    if (const auto* called_route = owning_team.routes->find(received.route)) {
        regions = common_regions(regions, called_route->home_regions);
    }
    return regions;
}

} // namespace chervilturn
