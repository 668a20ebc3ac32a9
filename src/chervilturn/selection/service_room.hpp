// What the owners of a service said to the latest offers of this entry: whether a further offer is likely to
// find room.
#pragma once

#include "chervilturn/core/random.hpp"
#include "chervilturn/core/time.hpp"
#include "chervilturn/selection/policy.hpp"

#include <array>
#include <cstdint>

namespace chervilturn {

/// @brief The share of offers that the owners of one service accepted of late, seen from one entry.
///
/// Answers overload of a whole service. While most owners refuse, each slot that becomes free is taken at
/// once and further offers of a call only delay its refusal and load the network; so the number of offers a
/// call falls with the share, whatever the number of owners. While a few owners are slow, most offers are
/// accepted and a call may try many. The share returns to 1 when there are no offers.
class service_room {
  public:
    /// @brief Records an offer that an owner accepted, or refused since it had no room.
    void on_offer_ended(distance from_entry, bool accepted, instant now) noexcept;

    /// @brief Expected share of accepted offers at this distance, above 0 and at most 1.
    [[nodiscard]] double acceptance(distance from_entry, instant now) const noexcept;

    /// @brief How many more owners a call may be offered to after refusals for lack of room: at least 1, at
    /// most max_reroutes.
    [[nodiscard]] std::uint32_t reroute_limit(std::uint32_t max_reroutes, instant now) const noexcept;

    /// @brief When a refused caller should return: the owners' estimate, spread so that callers that were
    /// refused together do not return together. Zero when the owners gave no estimate.
    [[nodiscard]] static microseconds retry_after(microseconds owners_estimate, random_source& random);

  private:
    // Offers of late, with weights that halve with age.
    struct offers {
        double accepted = 0.0;
        double refused = 0.0;
        instant at{}; // of the weights

        void age(instant now) noexcept;
        [[nodiscard]] double acceptance(instant now) const noexcept;
    };

    std::array<offers, 3> by_distance;
    offers all;
};

} // namespace chervilturn
