// Refill and consumption of tokens.
#include "chervilturn/core/token_bucket.hpp"

#include <algorithm>

namespace chervilturn {

token_bucket::token_bucket(const token_bucket_options& options) noexcept
    : tokens_per_second{options.tokens_per_second}, capacity{options.capacity},
      tokens{std::min(options.capacity, options.initial_tokens)}, refilled_at{options.now} {}

bool token_bucket::take(double requested, instant now) noexcept {
    this->refill(now);
    if (this->tokens < requested) {
        return false;
    }
    this->tokens -= requested;
    return true;
}

void token_bucket::earn(double additional) noexcept {
    this->tokens = std::min(this->capacity, this->tokens + additional);
}

double token_bucket::level(instant now) noexcept {
    this->refill(now);
    return this->tokens;
}

microseconds token_bucket::wait_for(double needed_tokens, instant now) const noexcept {
    auto present = *this;
    const double missing_tokens = needed_tokens - present.level(now);
    if (missing_tokens <= 0.0) {
        return microseconds::zero();
    }
    const double seconds = missing_tokens / this->tokens_per_second; // infinite when the rate is zero
    if (!(seconds < to_seconds(endless_wait))) {
        return endless_wait;
    }
    return std::chrono::ceil<microseconds>(std::chrono::duration<double>{seconds});
}

void token_bucket::refill(instant now) noexcept {
    if (now <= this->refilled_at) {
        return;
    }
    const double seconds = to_seconds(now - this->refilled_at);
    this->tokens = std::min(this->capacity, this->tokens + seconds * this->tokens_per_second);
    this->refilled_at = now;
}

} // namespace chervilturn
