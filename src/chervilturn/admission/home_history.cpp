// Home candidates, the home of a key, and the history of candidate sets and region bindings.
#include "chervilturn/admission/home_history.hpp"

#include "chervilturn/core/hash.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

// Time until changed settings are in force everywhere; equals the default of
// key_record_options::convergence_bound.
constexpr microseconds convergence_time = std::chrono::seconds{19};

} // namespace

std::vector<home_candidate> home_candidates(const model& settings, const team& owning_team,
                                            const service& target) {
    std::vector<home_candidate> candidates;
    for (const auto& server : target.backend_servers) {
        const auto region = settings.region_of(server.data_centre);
        const bool in_service = settings.in_service(owning_team.name, server.data_centre);
        if (in_service && !settings.is_leaving(server.node) && admits(target.home_regions, region)) {
            candidates.push_back({server.node, region});
        }
    }
    return candidates;
}

std::vector<home_candidate> service_owners(const model& settings, const service& target) {
    std::vector<home_candidate> all_owners;
    all_owners.reserve(target.backend_servers.size());
    for (const auto& server : target.backend_servers) {
        all_owners.push_back({server.node, settings.region_of(server.data_centre)});
    }
    return all_owners;
}

std::optional<address> key_home(const std::vector<home_candidate>& candidates, const region_set& regions,
                                const std::string& key) {
    std::optional<address> home;
    std::uint64_t highest = 0;
    for (const auto& candidate : candidates) {
        const auto weight = rendezvous_weight(key, to_string(candidate.node));
        if (admits(regions, candidate.region) && (!home || weight > highest)) {
            home = candidate.node;
            highest = weight;
        }
    }
    return home;
}

void home_history::record_candidates(const std::vector<home_candidate>& candidates,
                                     std::vector<home_candidate> owners, const clock_reading& now) {
    this->all_owners = std::move(owners);
    if (this->candidate_sets.empty() || this->candidate_sets.back().candidates != candidates) {
        this->candidate_sets.push_back({now, candidates});
    }
}

home_period home_history::period(const region_set& regions, const std::string& key,
                                 const address& self) const {
    home_period result;
    result.known_since = this->candidate_sets.front().since;
    for (const auto& owner : this->all_owners) {
        if (owner.node != self && admits(regions, owner.region)) {
            result.other_owners.push_back(owner.node);
        }
    }
    bool uninterrupted = true;
    for (auto set = this->candidate_sets.rbegin(); set != this->candidate_sets.rend(); ++set) {
        const auto home = key_home(set->candidates, regions, key);
        const bool is_self = home == self;
        uninterrupted = uninterrupted && is_self;
        if (uninterrupted) {
            result.since = set->since;
        }
        if (home && !is_self &&
            std::find(result.earlier_homes.begin(), result.earlier_homes.end(), *home) ==
                result.earlier_homes.end()) {
            result.earlier_homes.push_back(*home);
        }
    }
    return result;
}

void home_history::expire(instant before) {
    while (this->candidate_sets.size() > 1 && this->candidate_sets[1].since.monotonic < before) {
        this->candidate_sets.pop_front();
    }
}

void home_history::restart(const clock_reading& now) {
    if (!this->candidate_sets.empty()) {
        candidate_set latest{now, std::move(this->candidate_sets.back().candidates)};
        this->candidate_sets.clear();
        this->candidate_sets.push_back(std::move(latest));
    }
}

void binding_history::record_regions(const std::string& name, const region_set& regions,
                                     const clock_reading& now) {
    const auto [found, added] = this->bindings.try_emplace(name, binding{regions, std::nullopt});
    if (added || found->second.regions == regions) {
        return;
    }
    found->second.regions = regions;
    found->second.converged_at = {
        now.monotonic + convergence_time,
        now.wall + std::chrono::duration_cast<std::chrono::milliseconds>(convergence_time)};
}

void binding_history::raise_known_since(home_period& period, const std::string& name) const {
    const auto found = this->bindings.find(name);
    if (found == this->bindings.end() || !found->second.converged_at) {
        return;
    }
    if (period.known_since.monotonic < found->second.converged_at->monotonic) {
        period.known_since = *found->second.converged_at;
    }
}

} // namespace chervilturn
