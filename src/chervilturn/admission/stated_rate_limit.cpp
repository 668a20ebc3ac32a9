// Token bucket under a rate that changes with the statements of the backend server.
#include "chervilturn/admission/stated_rate_limit.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr double burst_seconds = 0.1; // of calls that may start at once

} // namespace

void stated_rate_limit::set_rate(std::optional<double> new_rate, instant now) {
    if (new_rate) {
        const double capacity = *new_rate > 0.0 ? std::max(1.0, *new_rate * burst_seconds) : 0.0;
        const double tokens = this->calls_per_second ? this->bucket.level(now) : 0.0;
        this->bucket = token_bucket{
            {.tokens_per_second = *new_rate, .capacity = capacity, .now = now, .initial_tokens = tokens}};
    }
    this->calls_per_second = new_rate;
}

bool stated_rate_limit::has_room(instant now) noexcept {
    return !this->calls_per_second || this->bucket.level(now) >= 1.0;
}

void stated_rate_limit::count(instant now) noexcept {
    if (this->calls_per_second) {
        static_cast<void>(this->bucket.take(1.0, now));
    }
}

microseconds stated_rate_limit::wait_after(std::size_t calls, instant now) const noexcept {
    if (!this->calls_per_second) {
        return microseconds::zero();
    }
    return this->bucket.wait_for(static_cast<double>(calls) + 1.0, now);
}

} // namespace chervilturn
