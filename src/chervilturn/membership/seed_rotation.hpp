// Order in which a node without settings asks the seeds for them.
#pragma once

#include "chervilturn/core/address.hpp"

#include <optional>
#include <vector>

namespace chervilturn {

/// @brief Returns the seeds in turn. Seeds are asked one at a time because each may answer with all settings.
class seed_rotation {
  public:
    /// @brief Leaves out self. first selects the seed to start with, modulo the number of remaining seeds.
    seed_rotation(std::vector<address> seeds, const address& self, std::size_t first);

    /// @brief Returns the next seed to ask; empty when there is no seed other than the node itself.
    [[nodiscard]] std::optional<address> next();

  private:
    std::vector<address> other_seeds;
    std::size_t next_index;
};

} // namespace chervilturn
