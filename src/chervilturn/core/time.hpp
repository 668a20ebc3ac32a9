// Clock types. Decisions use the monotonic clock; wall-clock time is used only for idempotency keys and logs.
#pragma once

#include <chrono>

namespace chervilturn {

using monotonic_clock = std::chrono::steady_clock;

/// @brief A point on the monotonic clock of this process.
using instant = monotonic_clock::time_point;

/// @brief Resolution of all durations in decisions.
using microseconds = std::chrono::microseconds;

/// @brief The longest time that settings can state. The sum of several such times and an instant is an
/// instant.
inline constexpr microseconds longest_setting = std::chrono::hours{50 * 365 * 24};

/// @brief Wall-clock time in milliseconds since the Unix epoch, the resolution of creation times in
/// idempotency keys.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// @brief Time between two instants, truncated to microseconds.
[[nodiscard]] constexpr microseconds elapsed(instant from, instant until) noexcept {
    return std::chrono::duration_cast<microseconds>(until - from);
}

/// @brief A duration in seconds, with fraction.
template<typename Rep, typename Period>
[[nodiscard]] constexpr double to_seconds(std::chrono::duration<Rep, Period> span) noexcept {
    return std::chrono::duration<double>(span).count();
}

} // namespace chervilturn
