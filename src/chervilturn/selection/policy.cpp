// Implementations of the selection policies.
#include "chervilturn/selection/policy.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <vector>

namespace chervilturn {

namespace {

constexpr std::size_t load_aware_choices = 3;
constexpr double normal_latency_spread = 3.0; // ratio of latencies among healthy servers

constexpr double selection_jitter = 0.05;           // maximum, as a share of the expected time
constexpr double default_service_micros = 50'000.0; // baseline before the first answer on a route
constexpr double utilisation_cost_weight = 0.3;     // cost of a full server, as a share of its service time
// Cost of a server that always fails, as a share of the soft deadline.
constexpr double failure_cost_weight = 1.0;
// Cost of network traffic by distance, as a share of the soft deadline.
constexpr std::array<double, 3> distance_cost{0.0, 0.02, 0.35};
// Round trip by distance, before the first measurement.
constexpr std::array<double, 3> default_round_trip_micros{500.0, 4'000.0, 62'000.0};

constexpr double min_acceptance = 0.02; // bounds the cost of offers that are hardly ever accepted

// Expected response time plus costs, in microseconds. For a call without a soft deadline, costs that are a
// share of it use the baseline instead.
[[nodiscard]] double expected_micros(const candidate& server, const call_estimate& estimate, instant now) {
    const auto& view = *server.view;
    const auto distance_index = static_cast<std::size_t>(server.distance_from_entry);
    const double baseline = estimate.service_time > microseconds::zero()
                                ? static_cast<double>(estimate.service_time.count())
                                : default_service_micros;
    const double soft_deadline = estimate.until_soft_deadline > microseconds::zero()
                                     ? static_cast<double>(estimate.until_soft_deadline.count())
                                     : baseline;
    const double service_time = baseline * view.slowdown(now);
    const double load = view.estimated_calls(now) + 1.0;
    const double limit = view.limit(now);
    const double slot_wait = std::max(0.0, load - limit) / limit * service_time;
    const double queueing = std::max(slot_wait, static_cast<double>(view.rate_wait(now).count()));
    const double utilisation_cost = utilisation_cost_weight * service_time * std::min(1.0, load / limit);
    // Each refused offer costs a round trip before the next one.
    const double round_trips = 1.0 / std::max(min_acceptance, server.acceptance);
    return view.round_trip_micros(default_round_trip_micros.at(distance_index)) * round_trips + service_time +
           queueing + utilisation_cost + distance_cost.at(distance_index) * soft_deadline +
           failure_cost_weight * view.failure_share(now) * soft_deadline;
}

struct score {
    double cost; // estimated load per slot times relative latency
    bool free_slot;
};

[[nodiscard]] double latency_of(const candidate& server, instant now) {
    return std::max(1.0, static_cast<double>(server.view->latency(now).count()));
}

// Latencies up to normal_latency_spread times the best one count as normal variation and have no effect.
[[nodiscard]] score score_of(const candidate& server, double best_latency, instant now) {
    const double load = (server.view->estimated_calls(now) + 1.0) / server.view->limit(now);
    const double relative_latency =
        std::max(1.0, latency_of(server, now) / (best_latency * normal_latency_spread));
    return {load * relative_latency, server.view->has_free_slot(now)};
}

[[nodiscard]] bool is_better(const score& left, const score& right) {
    if (left.free_slot != right.free_slot) {
        return left.free_slot;
    }
    return left.cost < right.cost;
}

[[nodiscard]] std::size_t best_of_sample(std::span<const candidate> candidates,
                                         std::vector<std::size_t>& positions, random_source& random,
                                         instant now) {
    const auto sample_size = std::min(load_aware_choices, positions.size());
    double best_latency = std::numeric_limits<double>::max();
    for (std::size_t draw = 0; draw < sample_size; ++draw) {
        std::swap(positions[draw], positions[draw + random.index(positions.size() - draw)]);
        best_latency = std::min(best_latency, latency_of(candidates[positions[draw]], now));
    }
    std::size_t best = 0;
    std::optional<score> best_score;
    for (std::size_t draw = 0; draw < sample_size; ++draw) {
        const auto sample_score = score_of(candidates[positions[draw]], best_latency, now);
        if (!best_score || is_better(sample_score, *best_score)) {
            best = positions[draw];
            best_score = sample_score;
        }
    }
    return best;
}

} // namespace

std::size_t uniform_random::pick(std::span<const candidate> candidates, const call_estimate&,
                                 random_source& random, instant) {
    return random.index(candidates.size());
}

std::size_t round_robin::pick(std::span<const candidate> candidates, const call_estimate&, random_source&,
                              instant) {
    return this->next_position++ % candidates.size();
}

std::size_t least_outstanding::pick(std::span<const candidate> candidates, const call_estimate&,
                                    random_source& random, instant) {
    std::size_t best = random.index(candidates.size());
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        if (candidates[position].view->outstanding() < candidates[best].view->outstanding()) {
            best = position;
        }
    }
    return best;
}

std::size_t two_choices::pick(std::span<const candidate> candidates, const call_estimate&,
                              random_source& random, instant) {
    const auto first = random.index(candidates.size());
    const auto second = random.index(candidates.size());
    return candidates[second].view->reported_calls() < candidates[first].view->reported_calls() ? second
                                                                                                : first;
}

std::size_t load_aware::pick(std::span<const candidate> candidates, const call_estimate&,
                             random_source& random, instant now) {
    std::vector<std::size_t> positions;
    for (const auto tier : {distance::same_data_centre, distance::same_region, distance::other_region}) {
        positions.clear();
        for (std::size_t position = 0; position < candidates.size(); ++position) {
            if (candidates[position].distance_from_entry == tier &&
                candidates[position].view->has_free_slot(now)) {
                positions.push_back(position);
            }
        }
        if (!positions.empty()) {
            return best_of_sample(candidates, positions, random, now);
        }
    }
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        positions.push_back(position);
    }
    return best_of_sample(candidates, positions, random, now);
}

std::size_t expected_time::pick(std::span<const candidate> candidates, const call_estimate& estimate,
                                random_source& random, instant now) {
    std::size_t best = 0;
    double best_micros = std::numeric_limits<double>::max();
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        // Random jitter keeps entries that have the same reports from all choosing the same server.
        const double jitter = random.uniform(1.0, 1.0 + selection_jitter);
        const double micros = expected_micros(candidates[position], estimate, now) * jitter;
        if (micros < best_micros) {
            best = position;
            best_micros = micros;
        }
    }
    return best;
}

const split_part& pick_split_part(std::span<const split_part> parts, random_source& random) {
    double total = 0.0;
    for (const auto& part : parts) {
        total += part.weight;
    }
    double remaining_weight = random.uniform(0.0, total);
    for (const auto& part : parts) {
        remaining_weight -= part.weight;
        if (remaining_weight < 0.0) {
            return part;
        }
    }
    return parts.front();
}

std::unique_ptr<policy> make_policy(std::string_view name) {
    if (name == "uniform_random") {
        return std::make_unique<uniform_random>();
    }
    if (name == "round_robin") {
        return std::make_unique<round_robin>();
    }
    if (name == "least_outstanding") {
        return std::make_unique<least_outstanding>();
    }
    if (name == "two_choices") {
        return std::make_unique<two_choices>();
    }
    if (name == "expected_time") {
        return std::make_unique<expected_time>();
    }
    if (name == "load_aware") {
        return std::make_unique<load_aware>();
    }
    return nullptr;
}

} // namespace chervilturn
