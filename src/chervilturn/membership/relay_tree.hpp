// Who reads the platform and who learns settings from whom, within each data centre.
#pragma once

#include "chervilturn/config/model.hpp"

#include <vector>

namespace chervilturn {

inline constexpr std::size_t readers_per_data_centre = 2;
inline constexpr std::size_t relay_fan_out = 4; // nodes that learn from one node

/// @brief A node's place in the relay tree of its data centre.
struct relay_position {
    bool reader = false;          // reads the platform itself
    std::vector<address> parents; // peers to learn from, the preferred one first
};

/// @brief Computes a node's place. Every node that holds the same host list computes the same tree.
///
/// Hosts of the data centre are ranked by rendezvous weight. The first ones read the platform; each further
/// one learns from the node whose rank is its own divided by the fan-out. Leaving hosts rank last.
/// Readers learn from the first host of the next data centre besides, in a ring, so that settings reach data
/// centres that have lost the platform but not their neighbours.
[[nodiscard]] relay_position place_in_relay_tree(const model& settings, const address& self,
                                                 const std::string& data_centre,
                                                 std::size_t readers = readers_per_data_centre);

} // namespace chervilturn
