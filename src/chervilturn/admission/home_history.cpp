// Rendezvous of keys over candidate sets, and memory of earlier sets.
#include "chervilturn/admission/home_history.hpp"

#include "chervilturn/core/hash.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr microseconds settle_time = std::chrono::seconds{19}; // until settings are in force everywhere

} // namespace

std::vector<home_candidate> home_candidates(const model& settings, const team& owner, const service& target) {
    std::vector<home_candidate> candidates;
    for (const auto& server : target.backend_servers) {
        const auto region = settings.region_of(server.data_centre);
        const bool in_service = settings.in_service(owner.name, server.data_centre);
        if (in_service && !settings.is_leaving(server.node) && admits(target.home_regions, region)) {
            candidates.push_back({server.node, region});
        }
    }
    return candidates;
}

std::vector<home_candidate> service_owners(const model& settings, const service& target) {
    std::vector<home_candidate> members;
    members.reserve(target.backend_servers.size());
    for (const auto& server : target.backend_servers) {
        members.push_back({server.node, settings.region_of(server.data_centre)});
    }
    return members;
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

void home_history::observe(const std::vector<home_candidate>& candidates, std::vector<home_candidate> owners,
                           const clock_reading& now) {
    this->members = std::move(owners);
    if (this->sets.empty() || this->sets.back().candidates != candidates) {
        this->sets.push_back({now, candidates});
    }
}

home_period home_history::period(const region_set& regions, const std::string& key,
                                 const address& self) const {
    home_period found;
    found.known_since = this->sets.front().since;
    for (const auto& member : this->members) {
        if (member.node != self && admits(regions, member.region)) {
            found.members.push_back(member.node);
        }
    }
    bool contiguous = true;
    for (auto set = this->sets.rbegin(); set != this->sets.rend(); ++set) {
        const auto home = key_home(set->candidates, regions, key);
        const bool is_self = home == self;
        contiguous = contiguous && is_self;
        if (contiguous) {
            found.since = set->since;
        }
        if (home && !is_self &&
            std::find(found.earlier.begin(), found.earlier.end(), *home) == found.earlier.end()) {
            found.earlier.push_back(*home);
        }
    }
    return found;
}

void home_history::expire(instant before) {
    while (this->sets.size() > 1 && this->sets[1].since.monotonic < before) {
        this->sets.pop_front();
    }
}

void home_history::restart(const clock_reading& now) {
    if (!this->sets.empty()) {
        observed_set latest{now, std::move(this->sets.back().candidates)};
        this->sets.clear();
        this->sets.push_back(std::move(latest));
    }
}

void binding_history::observe(const std::string& name, const region_set& regions, const clock_reading& now) {
    const auto [known, added] = this->bindings.try_emplace(name, binding{regions, std::nullopt});
    if (added || known->second.regions == regions) {
        return;
    }
    known->second.regions = regions;
    known->second.settled = {now.monotonic + settle_time,
                             now.wall + std::chrono::duration_cast<std::chrono::milliseconds>(settle_time)};
}

void binding_history::limit(home_period& period, const std::string& name) const {
    const auto known = this->bindings.find(name);
    if (known == this->bindings.end() || !known->second.settled) {
        return;
    }
    if (period.known_since.monotonic < known->second.settled->monotonic) {
        period.known_since = *known->second.settled;
    }
}

} // namespace chervilturn
