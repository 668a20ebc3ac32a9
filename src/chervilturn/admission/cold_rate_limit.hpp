// Rate limit for calls to a cold backend server. It is applied at the owner, which dispatches all calls to
// the backend server and so counts each of them.
#pragma once

#include "chervilturn/core/time.hpp"
#include "chervilturn/core/token_bucket.hpp"

#include <cstddef>
#include <deque>
#include <limits>
#include <optional>

namespace chervilturn {

/// @brief Options of a cold rate limit.
struct cold_rate_limit_options {
    // That a cold backend server can handle, may be a fraction or zero; nothing: no limit.
    std::optional<double> calls_per_second;
    double overshoot = 1.0; // factor on that rate which the server still bears
    double burst = 2.0;     // calls that may start at once
    // Calls in one second that the server bears beyond the rate, with those before its report of being cold.
    double slack = std::numeric_limits<double>::infinity();
    microseconds cold_start{}; // how long a backend server stays cold after its start
};

/// @brief Tracks whether a backend server is cold, and limits the rate of its calls while it is.
///
/// A backend server is assumed cold from construction and after each sign of a start, until the cold start
/// time has passed. A report of the backend server itself replaces this assumption. Calls that started since
/// its last report of being warm may have reached it cold, so that they use up slack.
class cold_rate_limit {
  public:
    cold_rate_limit(const cold_rate_limit_options& options, instant now);

    /// @brief Applies changed options. A changed rate keeps the tokens that are left; a changed cold start
    /// time applies from the next sign of a start.
    void configure(const cold_rate_limit_options& new_options, instant now);

    /// @brief Assumes a cold start, after a sign of one such as a changed server name.
    void presume_cold(instant now);

    /// @brief Stores how long the backend server reports that it will stay cold; zero when it is warm.
    void on_reported(microseconds cold_left, instant now);

    /// @brief Whether the backend server is cold; always false when there is no rate limit.
    [[nodiscard]] bool is_cold(instant now) const noexcept;

    /// @brief Whether the backend server is cold, with a rate limit or without.
    [[nodiscard]] bool is_reported_cold(instant now) const noexcept { return now < this->cold_until; }

    /// @brief Calls per second while it is cold, overshoot included; nothing without a limit.
    [[nodiscard]] std::optional<double> rate_limit() const noexcept;

    /// @brief Whether the rate leaves room for a call now; always true unless cold.
    [[nodiscard]] bool has_room(instant now) noexcept;

    /// @brief Counts one call that starts now.
    void count(instant now);

    /// @brief Time until the rate has room for one more call after the given number; zero unless cold, at
    /// most token_bucket::endless_wait.
    [[nodiscard]] microseconds wait_after(std::size_t calls, instant now) const noexcept;

  private:
    [[nodiscard]] token_bucket make_bucket(double tokens, instant now) const;
    // Tokens for a limit that begins to apply now.
    [[nodiscard]] double first_tokens(instant now) const noexcept;

    cold_rate_limit_options options;
    instant cold_until;
    token_bucket bucket;
    std::deque<instant> uncounted; // starts of calls in the last second that no limit applied to
};

} // namespace chervilturn
