// Objections to calls.
#include "chervilturn/node/owner_state.hpp"

#include "chervilturn/selection/eligibility.hpp"

namespace chervilturn {

bool owner_state::set_server_name(const std::string& name) {
    if (name.empty()) {
        return false;
    }
    if (name == this->disowned) {
        this->disowned.clear();
    }
    if (name == this->named) {
        return false;
    }
    this->named = name;
    return true;
}

resolved_call owner_state::resolve(const call& checked) const {
    resolved_call found;
    found.owner = this->settings->find_team(checked.team);
    if (found.owner == nullptr) {
        return found;
    }
    const auto target = found.owner->services.find(checked.service);
    if (target == found.owner->services.end()) {
        return found;
    }
    found.target = &target->second;
    for (const auto& server : found.target->backend_servers) {
        const bool is_here = server.node == this->here->reachable_at && server.name != this->disowned;
        if (is_here && (this->named.empty() ? found.server == nullptr : server.name == this->named)) {
            found.server = &server;
        }
    }
    return found;
}

reason owner_state::refusal_reason(const call& checked) const {
    if (this->stopping) {
        return reason::shutting_down;
    }
    if (this->doubted) {
        return reason::settings_unconfirmed;
    }
    const auto resolved = this->resolve(checked);
    if (resolved.server == nullptr) {
        return reason::not_the_owner;
    }
    const eligibility_request request{.settings = this->settings.get(),
                                      .owner = resolved.owner,
                                      .target = resolved.target,
                                      .regions = home_regions_of(*resolved.owner, checked),
                                      .entry_data_centre = this->here->data_centre};
    return exclusion_of(request, *resolved.server);
}

region_set home_regions_of(const team& owner, const call& checked) {
    region_set regions;
    const auto customer = owner.workspaces.find(checked.workspace);
    if (customer != owner.workspaces.end()) {
        regions = customer->second.home_regions;
    }
    const auto matched = owner.routes.find(checked.route);
    if (matched != owner.routes.end()) {
        regions = common_regions(regions, matched->second.home_regions);
    }
    return regions;
}

} // namespace chervilturn
