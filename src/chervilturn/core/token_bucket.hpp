// Token bucket that bounds a rate, for probes, retries and traffic between regions.
#pragma once

#include "chervilturn/core/time.hpp"

namespace chervilturn {

/// @brief Construction of a token bucket.
struct token_bucket_options {
    double tokens_per_second = 1.0;
    double capacity = 1.0;
    instant now{};
};

/// @brief Starts full; refills with time, never above its capacity.
class token_bucket {
  public:
    explicit token_bucket(const token_bucket_options& options) noexcept;

    /// @brief Takes tokens if all of them are there.
    [[nodiscard]] bool take(double tokens, instant now) noexcept;

    /// @brief Adds tokens earned otherwise than by time.
    void earn(double tokens) noexcept;

    /// @brief Tokens held at an instant.
    [[nodiscard]] double level(instant now) noexcept;

  private:
    void refill(instant now) noexcept;

    double tokens_per_second;
    double capacity;
    double tokens; // between 0 and capacity
    instant refilled_at;
};

} // namespace chervilturn
