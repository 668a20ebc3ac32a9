// Relay tree of each data centre: which nodes read settings from the platform and which peers relay them.
#pragma once

#include "chervilturn/config/model.hpp"

#include <optional>
#include <vector>

namespace chervilturn {

inline constexpr std::size_t readers_per_data_centre = 2;
inline constexpr std::size_t relay_fan_out = 4; // maximum number of nodes that one node relays settings to

/// @brief A node's position in the relay tree of its data centre.
struct relay_position {
    bool reader = false;          // reads settings from the platform
    std::vector<address> parents; // peers to receive settings from, in order of preference
    // Readers that a reader compares its settings with: the first one of a data centre with those of the
    // others and with the further readers of its own, a further one with the first one.
    std::vector<address> compared_readers;
};

/// @brief Computes a node's position. Nodes with the same host list compute the same tree, but for parents
/// that they have already.
///
/// Hosts of a data centre are ranked by rendezvous weight, leaving hosts last. The first ones are readers and
/// read the platform. Every other host receives settings from the host at rank (own rank - readers) /
/// fan-out. Further parents, in this order, are its other ancestors and the readers. Readers prefer the
/// first host of the next data centre as parent, then those of the others in ring order, so that settings
/// reach a data centre that cannot connect to the platform but can connect to another data centre.
///
/// A host that is not in the host list yet has the parents of the last one. It is a reader without parents
/// when the list has no host of its data centre.
///
/// The present parent stays the first one as long as it is no deeper in the tree than the computed one, so
/// that few hosts change their parent when others join or leave.
[[nodiscard]] relay_position
compute_relay_position(const model& settings, const address& self, const std::string& data_centre,
                       std::size_t readers = readers_per_data_centre,
                       const std::optional<address>& present_parent = std::nullopt);

} // namespace chervilturn
