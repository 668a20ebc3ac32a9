// Clock types. Decisions use the monotonic clock; wall-clock time appears only in idempotency keys and logs.
#pragma once

#include <chrono>

namespace chervilturn {

using monotonic_clock = std::chrono::steady_clock;

/// @brief A point on the monotonic clock of this process.
using instant = monotonic_clock::time_point;

/// @brief The resolution of every duration that the system decides on.
using microseconds = std::chrono::microseconds;

/// @brief Milliseconds since the Unix epoch, as idempotency keys carry them.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// @brief Rounds a span between two instants to microseconds.
[[nodiscard]] constexpr microseconds elapsed(instant from, instant until) noexcept {
    return std::chrono::duration_cast<microseconds>(until - from);
}

/// @brief A duration as fractional seconds, for rates.
template<typename Rep, typename Period>
[[nodiscard]] constexpr double to_seconds(std::chrono::duration<Rep, Period> span) noexcept {
    return std::chrono::duration<double>(span).count();
}

} // namespace chervilturn
