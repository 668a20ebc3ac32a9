// Weights of recent offers and the limits that follow from them.
#include "chervilturn/selection/service_room.hpp"

#include <algorithm>
#include <cmath>

namespace chervilturn {

namespace {

constexpr double half_life_seconds = 0.5;
constexpr double prior_accepted = 2.0; // offers that count as accepted before the first one ended

} // namespace

void service_room::offers::age(instant now) noexcept {
    const double factor = std::exp2(-std::max(0.0, to_seconds(now - this->at)) / half_life_seconds);
    this->accepted *= factor;
    this->refused *= factor;
    this->at = now;
}

double service_room::offers::acceptance(instant now) const noexcept {
    auto present = *this;
    present.age(now);
    return (present.accepted + prior_accepted) / (present.accepted + present.refused + prior_accepted);
}

void service_room::on_offer_ended(distance from_entry, bool accepted, instant now) noexcept {
    for (auto* counted : {&this->by_distance.at(static_cast<std::size_t>(from_entry)), &this->all}) {
        counted->age(now);
        (accepted ? counted->accepted : counted->refused) += 1.0;
    }
}

double service_room::acceptance(distance from_entry, instant now) const noexcept {
    return this->by_distance.at(static_cast<std::size_t>(from_entry)).acceptance(now);
}

std::uint32_t service_room::reroute_limit(std::uint32_t max_reroutes, instant now) const noexcept {
    if (max_reroutes <= 1) {
        return max_reroutes;
    }
    const double share = this->all.acceptance(now);
    const double further = static_cast<double>(max_reroutes - 1) * share * share;
    return 1 + static_cast<std::uint32_t>(std::lround(further));
}

microseconds service_room::retry_after(microseconds owners_estimate, random_source& random) {
    const double spread = random.uniform(1.0, 2.0);
    return microseconds{static_cast<std::int64_t>(static_cast<double>(owners_estimate.count()) * spread)};
}

} // namespace chervilturn
