// Which nodes to ask to read the platform in place of one that cannot reach it.
#pragma once

#include "chervilturn/core/address.hpp"

#include <cstddef>
#include <vector>

namespace chervilturn {

/// @brief Goes through the candidates a few at a time until one of them reads the platform.
class substitute_search {
  public:
    /// @brief The nodes to ask now. While some node reads the platform, these are the ones asked before that
    /// do; without any, the next candidates.
    /// @param candidates in order of preference.
    /// @param platform_readers nodes that are known to read the platform.
    [[nodiscard]] std::vector<address> next(const std::vector<address>& candidates,
                                            const std::vector<address>& platform_readers);

    /// @brief Whether the last candidates were asked, so that the next ones are the first again.
    [[nodiscard]] bool round_ended() const noexcept { return this->next_candidate == 0; }

    /// @brief Nobody is needed any more.
    void end() noexcept { this->asked.clear(); }

  private:
    std::vector<address> asked;
    std::size_t next_candidate = 0; // index
};

} // namespace chervilturn
