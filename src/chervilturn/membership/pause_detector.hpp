// Notices that this process was not run for a while, so that it rechecks its beliefs before it acts.
#pragma once

#include "chervilturn/core/time.hpp"

namespace chervilturn {

/// @brief Compares each moment with the one before it. A timer must call observe at least every tick.
class pause_detector {
  public:
    static constexpr microseconds tick = std::chrono::milliseconds{100};
    static constexpr microseconds longest_normal_gap = std::chrono::milliseconds{500};

    explicit pause_detector(instant now) noexcept : last{now} {}

    /// @brief The length of the pause that ended with this moment; zero when there was none.
    [[nodiscard]] microseconds observe(instant now) noexcept {
        const auto gap = elapsed(this->last, now);
        this->last = now;
        return gap > longest_normal_gap ? gap : microseconds::zero();
    }

  private:
    instant last; // the latest moment observed
};

} // namespace chervilturn
