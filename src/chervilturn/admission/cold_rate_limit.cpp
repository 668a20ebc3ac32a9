// State of a cold backend server and the token bucket for its calls.
#include "chervilturn/admission/cold_rate_limit.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr double burst_size = 2.0; // calls that may start at once while cold

} // namespace

cold_rate_limit::cold_rate_limit(const cold_rate_limit_options& initial_options, instant now)
    : options{initial_options}, cold_until{now + initial_options.cold_start}, bucket{this->make_bucket(now)} {
}

void cold_rate_limit::configure(const cold_rate_limit_options& new_options, instant now) {
    if (new_options.calls_per_second != this->options.calls_per_second) {
        this->options = new_options;
        this->bucket = this->make_bucket(now);
        return;
    }
    this->options = new_options;
}

void cold_rate_limit::presume_cold(instant now) {
    this->cold_until = std::max(this->cold_until, now + this->options.cold_start);
}

void cold_rate_limit::on_reported(microseconds cold_left, instant now) {
    this->cold_until = now + cold_left;
}

bool cold_rate_limit::is_cold(instant now) const noexcept {
    return this->options.calls_per_second > 0 && now < this->cold_until;
}

bool cold_rate_limit::has_room(instant now) noexcept {
    return !this->is_cold(now) || this->bucket.level(now) >= 1.0;
}

void cold_rate_limit::count(instant now) noexcept {
    if (this->is_cold(now)) {
        static_cast<void>(this->bucket.take(1.0, now));
    }
}

microseconds cold_rate_limit::time_for(std::size_t calls, instant now) const noexcept {
    if (!this->is_cold(now)) {
        return microseconds::zero();
    }
    const std::chrono::duration<double> needed_time{static_cast<double>(calls) /
                                                    static_cast<double>(this->options.calls_per_second)};
    return std::chrono::duration_cast<microseconds>(needed_time);
}

token_bucket cold_rate_limit::make_bucket(instant now) const {
    const double rate = std::max(1.0, static_cast<double>(this->options.calls_per_second));
    return token_bucket{{.tokens_per_second = rate, .capacity = burst_size, .now = now}};
}

} // namespace chervilturn
