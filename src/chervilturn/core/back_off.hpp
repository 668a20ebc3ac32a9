// Delays between attempts at an operation that fails.
#pragma once

#include "chervilturn/core/random.hpp"
#include "chervilturn/core/time.hpp"

#include <cstdint>

namespace chervilturn {

/// @brief Bounds of the delay, before jitter.
struct back_off_options {
    microseconds min_delay = std::chrono::milliseconds{250}; // without an earlier failure
    microseconds max_delay = std::chrono::milliseconds{800};
};

/// @brief Delay before the next attempt after a number of consecutive failures.
///
/// The delay doubles with each failure up to the maximum. Jitter multiplies it by a random factor between a
/// half and one, so that many clients do not retry at the same time.
[[nodiscard]] microseconds delay_after(std::uint32_t failures, const back_off_options& options,
                                       random_source& random);

} // namespace chervilturn
