// Delays between tries of something that fails.
#pragma once

#include "chervilturn/core/random.hpp"
#include "chervilturn/core/time.hpp"

#include <cstdint>

namespace chervilturn {

/// @brief Bounds of a back-off.
struct back_off_options {
    microseconds shortest = std::chrono::milliseconds{250};
    microseconds longest = std::chrono::milliseconds{800};
};

/// @brief The delay before the next try: doubles with each failure in a row up to the longest, with jitter
/// down to half of it, so that many clients do not try together.
[[nodiscard]] microseconds delay_after(std::uint32_t failures, const back_off_options& options,
                                       random_source& random);

} // namespace chervilturn
