// Detects that this process did not run for a while, so that it can confirm its settings before it acts on
// them.
#pragma once

#include "chervilturn/core/time.hpp"

namespace chervilturn {

/// @brief Compares the times of consecutive calls of check(). A timer must call it at least every tick.
class pause_detector {
  public:
    static constexpr microseconds tick = std::chrono::milliseconds{100};
    static constexpr microseconds max_normal_gap = std::chrono::milliseconds{500};

    explicit pause_detector(instant now) noexcept : last_observed{now} {}

    /// @brief Returns the time since the previous call if it exceeds max_normal_gap, otherwise zero.
    [[nodiscard]] microseconds check(instant now) noexcept {
        const auto gap = elapsed(this->last_observed, now);
        this->last_observed = now;
        return gap > max_normal_gap ? gap : microseconds::zero();
    }

  private:
    instant last_observed; // time of the latest check()
};

} // namespace chervilturn
