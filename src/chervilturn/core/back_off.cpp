// Exponential back-off with jitter.
#include "chervilturn/core/back_off.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr std::uint32_t max_doublings = 16; // keeps the shift within 32 bits
constexpr double min_jitter = 0.5;          // factor on the delay

} // namespace

microseconds delay_after(std::uint32_t failures, const back_off_options& options, random_source& random) {
    const auto doubled = options.min_delay * (1U << std::min(failures, max_doublings));
    const auto bounded = std::min<microseconds>(doubled, options.max_delay);
    const double jittered_micros = static_cast<double>(bounded.count()) * random.uniform(min_jitter, 1.0);
    return microseconds{static_cast<std::int64_t>(jittered_micros)};
}

} // namespace chervilturn
