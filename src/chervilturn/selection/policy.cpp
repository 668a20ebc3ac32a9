// The selection policies.
#include "chervilturn/selection/policy.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <vector>

namespace chervilturn {

namespace {

constexpr std::size_t load_aware_choices = 3;
constexpr double ordinary_spread = 3.0; // of latencies among healthy backend servers

constexpr double selection_jitter = 0.05;           // share of the expected time
constexpr double unknown_service_micros = 50'000.0; // before the first answer on a route
constexpr double utilisation_weight = 0.3; // of a full backend server, as a share of the service time
constexpr double failure_weight = 1.0;     // of a certain failure, as a share of the time until late
// Price of the bytes on the way, as a share of the time until late.
constexpr std::array<double, 3> distance_price{0.0, 0.02, 0.35};
// One round trip, before one was measured.
constexpr std::array<double, 3> usual_round_trip_micros{500.0, 4'000.0, 62'000.0};

[[nodiscard]] double expected_micros(const candidate& rated, const call_estimate& made, instant now) {
    const auto& view = *rated.view;
    const auto away = static_cast<std::size_t>(rated.away);
    const double usual = made.service > microseconds::zero() ? static_cast<double>(made.service.count())
                                                             : unknown_service_micros;
    const double late = made.until_soft_deadline > microseconds::zero()
                            ? static_cast<double>(made.until_soft_deadline.count())
                            : usual;
    const double service = usual * view.slowdown(now);
    const double load = view.estimated_calls(now) + 1.0;
    const double limit = view.limit(now);
    const double wait = std::max(0.0, load - limit) / limit * service;
    const double crowding = utilisation_weight * service * std::min(1.0, load / limit);
    return view.round_trip_micros(usual_round_trip_micros.at(away)) + service + wait + crowding +
           distance_price.at(away) * late + failure_weight * view.failure_share(now) * late;
}

struct score {
    double cost; // load on the backend server times its slowness
    bool free_slot;
};

[[nodiscard]] double latency_of(const candidate& rated, instant now) {
    return std::max(1.0, static_cast<double>(rated.view->latency(now).count()));
}

[[nodiscard]] bool has_free_slot(const candidate& rated, instant now) {
    return rated.view->estimated_calls(now) + 1.0 <= rated.view->limit(now) && !rated.view->in_penalty(now);
}

// Latencies up to a few times the best are chance, not a property of the backend server.
[[nodiscard]] score score_of(const candidate& rated, double best_latency, instant now) {
    const double load = (rated.view->estimated_calls(now) + 1.0) / rated.view->limit(now);
    const double slowness = std::max(1.0, latency_of(rated, now) / (best_latency * ordinary_spread));
    return {load * slowness, has_free_slot(rated, now)};
}

[[nodiscard]] bool better(const score& left, const score& right) {
    if (left.free_slot != right.free_slot) {
        return left.free_slot;
    }
    return left.cost < right.cost;
}

[[nodiscard]] std::size_t best_of_sample(std::span<const candidate> candidates,
                                         std::vector<std::size_t>& positions, random_source& random,
                                         instant now) {
    const auto sample = std::min(load_aware_choices, positions.size());
    double best_latency = std::numeric_limits<double>::max();
    for (std::size_t drawn = 0; drawn < sample; ++drawn) {
        std::swap(positions[drawn], positions[drawn + random.index(positions.size() - drawn)]);
        best_latency = std::min(best_latency, latency_of(candidates[positions[drawn]], now));
    }
    std::size_t best = 0;
    std::optional<score> best_score;
    for (std::size_t drawn = 0; drawn < sample; ++drawn) {
        const auto rated = score_of(candidates[positions[drawn]], best_latency, now);
        if (!best_score || better(rated, *best_score)) {
            best = positions[drawn];
            best_score = rated;
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
    return this->turn++ % candidates.size();
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
    return candidates[second].view->reported() < candidates[first].view->reported() ? second : first;
}

std::size_t load_aware::pick(std::span<const candidate> candidates, const call_estimate&,
                             random_source& random, instant now) {
    std::vector<std::size_t> positions;
    for (const auto away : {distance::same_data_centre, distance::same_region, distance::other_region}) {
        positions.clear();
        for (std::size_t position = 0; position < candidates.size(); ++position) {
            if (candidates[position].away == away && has_free_slot(candidates[position], now)) {
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

std::size_t expected_time::pick(std::span<const candidate> candidates, const call_estimate& made,
                                random_source& random, instant now) {
    std::size_t best = 0;
    double best_micros = std::numeric_limits<double>::max();
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        // A little chance, so that entries with the same reports do not all choose the same.
        const double chance = random.uniform(1.0, 1.0 + selection_jitter);
        const double micros = expected_micros(candidates[position], made, now) * chance;
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
    double drawn = random.uniform(0.0, total);
    for (const auto& part : parts) {
        drawn -= part.weight;
        if (drawn < 0.0) {
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
