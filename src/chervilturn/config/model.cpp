// Look-ups in accepted settings.
#include "chervilturn/config/model.hpp"

namespace chervilturn {

namespace {

[[nodiscard]] const data_centre* find_data_centre(const model& settings, std::string_view team_name,
                                                  const std::string& name) {
    const auto* owner = settings.find_team(team_name);
    if (owner == nullptr) {
        return nullptr;
    }
    const auto found = owner->data_centres.find(name);
    return found == owner->data_centres.end() ? nullptr : &found->second;
}

[[nodiscard]] bool is_below(std::string_view prefix, std::string_view path) {
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/' ||
           path[prefix.size()] == '?';
}

} // namespace

bool model::in_service(const std::string& team_name, const std::string& data_centre_name) const {
    const auto* common = find_data_centre(*this, fleet_team, data_centre_name);
    if (common != nullptr && !common->in_service) {
        return false;
    }
    const auto* own = find_data_centre(*this, team_name, data_centre_name);
    return own == nullptr || own->in_service;
}

std::string model::region_of(const std::string& data_centre_name) const {
    const auto* found = find_data_centre(*this, fleet_team, data_centre_name);
    return found == nullptr ? std::string{} : found->region;
}

bool model::is_leaving(const address& peers) const {
    const auto found = this->hosts.find(peers);
    return found != this->hosts.end() && found->second.leaving;
}

const team* model::find_team(std::string_view name) const {
    const auto found = this->teams.find(name);
    return found == this->teams.end() ? nullptr : &found->second;
}

bool admits(const region_set& regions, const std::string& region) {
    return regions.empty() || regions.contains(region);
}

const route* match_route(const team& owner, const std::string& service_name, std::string_view path) {
    const route* best = nullptr;
    for (const auto& [name, candidate] : owner.routes) {
        if (!candidate.host.empty() || candidate.service != service_name ||
            !is_below(candidate.prefix, path)) {
            continue;
        }
        if (best == nullptr || candidate.prefix.size() > best->prefix.size()) {
            best = &candidate;
        }
    }
    return best;
}

const route* match_host(const team& owner, const std::string& host_name, std::string_view path) {
    const auto found = owner.routes_by_host.find(host_name);
    if (found == owner.routes_by_host.end()) {
        return nullptr;
    }
    for (const auto& name : found->second) {
        const auto& candidate = owner.routes.at(name);
        if (is_below(candidate.prefix, path)) {
            return &candidate;
        }
    }
    return nullptr;
}

} // namespace chervilturn
