// Lookups in the accepted settings.
#include "chervilturn/config/model.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

[[nodiscard]] const data_centre* find_data_centre(const model& settings, std::string_view team_name,
                                                  const std::string& name) {
    const auto* owning_team = settings.find_team(team_name);
    if (owning_team == nullptr) {
        return nullptr;
    }
    const auto found = owning_team->data_centres.find(name);
    return found == owning_team->data_centres.end() ? nullptr : &found->second;
}

[[nodiscard]] bool matches_prefix(std::string_view prefix, std::string_view path) {
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/' ||
           path[prefix.size()] == '?';
}

} // namespace

bool model::in_service(const std::string& team_name, const std::string& data_centre_name) const {
    const auto* fleet_entry = find_data_centre(*this, fleet_team, data_centre_name);
    if (fleet_entry != nullptr && !fleet_entry->in_service) {
        return false;
    }
    const auto* team_entry = find_data_centre(*this, team_name, data_centre_name);
    return team_entry == nullptr || team_entry->in_service;
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

const route* route_table::find(const std::string& name) const {
    const auto found = this->by_name.find(name);
    return found == this->by_name.end() ? nullptr : found->second.get();
}

bool admits(const region_set& regions, const std::string& region) {
    return regions.empty() || regions.contains(region);
}

const route* match_route(const team& owning_team, const std::string& service_name, std::string_view path) {
    const route* best = nullptr;
    for (const auto& [name, candidate] : owning_team.routes->by_name) {
        if (!candidate->host.empty() || candidate->service != service_name ||
            !matches_prefix(candidate->prefix, path)) {
            continue;
        }
        if (best == nullptr || candidate->prefix.size() > best->prefix.size()) {
            best = candidate.get();
        }
    }
    return best;
}

std::string normal_host_name(std::string_view name) {
    std::string normal{name};
    std::transform(normal.begin(), normal.end(), normal.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    });
    return normal;
}

const route* match_host(const team& owning_team, const std::string& host_name, std::string_view path) {
    const auto found = owning_team.routes->by_host.find(normal_host_name(host_name));
    if (found == owning_team.routes->by_host.end()) {
        return nullptr;
    }
    for (const auto& candidate : found->second) {
        if (matches_prefix(candidate->prefix, path)) {
            return candidate.get();
        }
    }
    return nullptr;
}

} // namespace chervilturn
