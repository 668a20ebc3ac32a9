// State of a cold backend server and the token bucket for its calls.
#include "chervilturn/admission/cold_rate_limit.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr microseconds slack_period = std::chrono::seconds{1};

} // namespace

cold_rate_limit::cold_rate_limit(const cold_rate_limit_options& initial_options, instant now)
    : options{initial_options},
      cold_until{now + initial_options.cold_start}, bucket{this->make_bucket(initial_options.burst, now)} {}

void cold_rate_limit::configure(const cold_rate_limit_options& new_options, instant now) {
    const bool had_limit = this->options.calls_per_second.has_value();
    const bool same_rate = new_options.calls_per_second == this->options.calls_per_second &&
                           new_options.overshoot == this->options.overshoot &&
                           new_options.burst == this->options.burst;
    this->options = new_options;
    if (!same_rate) {
        const double tokens = had_limit ? this->bucket.level(now) : this->first_tokens(now);
        this->bucket = this->make_bucket(tokens, now);
    }
}

void cold_rate_limit::presume_cold(instant now) {
    this->cold_until = std::max(this->cold_until, now + this->options.cold_start);
}

void cold_rate_limit::on_reported(microseconds cold_left, instant now) {
    const bool was_cold = now < this->cold_until;
    this->cold_until = now + cold_left;
    if (cold_left == microseconds::zero()) {
        this->uncounted.clear();
    } else if (!was_cold) {
        this->bucket = this->make_bucket(this->first_tokens(now), now);
    }
}

bool cold_rate_limit::is_cold(instant now) const noexcept {
    return this->options.calls_per_second && now < this->cold_until;
}

bool cold_rate_limit::has_room(instant now) noexcept {
    return !this->is_cold(now) || this->bucket.level(now) >= 1.0;
}

void cold_rate_limit::count(instant now) {
    if (this->is_cold(now)) {
        static_cast<void>(this->bucket.take(1.0, now));
        return;
    }
    while (!this->uncounted.empty() && this->uncounted.front() + slack_period <= now) {
        this->uncounted.pop_front();
    }
    this->uncounted.push_back(now);
}

microseconds cold_rate_limit::wait_after(std::size_t calls, instant now) const noexcept {
    if (!this->is_cold(now)) {
        return microseconds::zero();
    }
    return this->bucket.wait_for(static_cast<double>(calls) + 1.0, now);
}

std::optional<double> cold_rate_limit::rate_limit() const noexcept {
    const auto& bearable = this->options.calls_per_second;
    return bearable ? std::optional{*bearable * this->options.overshoot} : std::nullopt;
}

token_bucket cold_rate_limit::make_bucket(double tokens, instant now) const {
    return token_bucket{{.tokens_per_second = this->rate_limit().value_or(0.0),
                         .capacity = std::max(1.0, this->options.burst),
                         .now = now,
                         .initial_tokens = tokens}};
}

double cold_rate_limit::first_tokens(instant now) const noexcept {
    const auto recent = std::count_if(this->uncounted.begin(), this->uncounted.end(),
                                      [now](instant started_at) { return started_at + slack_period > now; });
    return std::min(this->options.burst, this->options.slack - static_cast<double>(recent));
}

} // namespace chervilturn
