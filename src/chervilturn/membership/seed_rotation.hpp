// Which seed a node that knows nothing asks next.
#pragma once

#include "chervilturn/core/address.hpp"

#include <optional>
#include <vector>

namespace chervilturn {

/// @brief Goes through the seeds in turn, one at a time, since each may answer with all settings.
class seed_rotation {
  public:
    /// @brief Leaves the node itself out; begins at one of the others by number.
    seed_rotation(std::vector<address> seeds, const address& self, std::size_t first);

    /// @brief The next seed to ask; nothing when there is none but the node itself.
    [[nodiscard]] std::optional<address> next();

  private:
    std::vector<address> others;
    std::size_t turn;
};

} // namespace chervilturn
