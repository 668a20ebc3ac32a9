// Token bucket rate limiter, for example for probes, log lines and calls to a cold backend server.
#pragma once

#include "chervilturn/core/time.hpp"

#include <limits>

namespace chervilturn {

/// @brief Options of a token bucket.
struct token_bucket_options {
    double tokens_per_second = 1.0;
    double capacity = 1.0;                                           // largest burst
    instant now{};                                                   // time of construction
    double initial_tokens = std::numeric_limits<double>::infinity(); // at most the capacity
};

/// @brief Token bucket. It starts full unless the options say otherwise, and refills at a constant rate up to
/// its capacity.
class token_bucket {
  public:
    explicit token_bucket(const token_bucket_options& options) noexcept;

    /// @brief Takes a number of tokens; returns false and takes none when the bucket holds fewer.
    [[nodiscard]] bool take(double tokens, instant now) noexcept;

    /// @brief Adds tokens beyond the refill, up to the capacity.
    void earn(double tokens) noexcept;

    /// @brief Number of tokens in the bucket at an instant.
    [[nodiscard]] double level(instant now) noexcept;

    /// @brief Time until so many tokens have come in, less those in the bucket, whatever its capacity.
    /// Rounded up, at most endless_wait.
    [[nodiscard]] microseconds wait_for(double needed_tokens, instant now) const noexcept;

    /// @brief Stands for a wait without an end, at a rate of zero.
    static constexpr microseconds endless_wait = std::chrono::hours{1};

  private:
    void refill(instant now) noexcept;

    double tokens_per_second;
    double capacity;
    double tokens; // between 0 and capacity
    instant refilled_at;
};

} // namespace chervilturn
