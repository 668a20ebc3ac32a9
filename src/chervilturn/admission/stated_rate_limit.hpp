// Rate limit that a backend server states for itself. It is applied at the owner, which dispatches all calls
// to the backend server and so counts each of them.
#pragma once

#include "chervilturn/core/time.hpp"
#include "chervilturn/core/token_bucket.hpp"

#include <optional>

namespace chervilturn {

/// @brief Limits the rate of calls while the backend server states one.
///
/// A new limit starts without tokens, because the calls before it were not counted. Over any time the calls
/// exceed the rate by the burst at most, which is one call or the calls of a tenth of a second.
class stated_rate_limit {
  public:
    /// @brief Applies a changed rate in calls per second, zero or more; nothing ends the limit.
    void set_rate(std::optional<double> calls_per_second, instant now);

    [[nodiscard]] std::optional<double> rate() const noexcept { return this->calls_per_second; }

    /// @brief Whether the rate leaves room for a call now; always true without a limit.
    [[nodiscard]] bool has_room(instant now) noexcept;

    /// @brief Counts one call that starts now.
    void count(instant now) noexcept;

    /// @brief Time until the rate has room for one more call after the given number; zero without a limit, at
    /// most token_bucket::endless_wait.
    [[nodiscard]] microseconds wait_after(std::size_t calls, instant now) const noexcept;

    /// @brief Stands for a wait without an end, under a limit of zero.
    static constexpr microseconds unlimited_wait = token_bucket::endless_wait;

  private:
    std::optional<double> calls_per_second;
    token_bucket bucket{{.tokens_per_second = 0.0, .capacity = 1.0}}; // used only while there is a limit
};

} // namespace chervilturn
