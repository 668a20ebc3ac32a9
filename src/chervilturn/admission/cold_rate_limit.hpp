// The rate at which a cold backend server may be given calls. It is decided where the calls are counted.
#pragma once

#include "chervilturn/core/time.hpp"
#include "chervilturn/core/token_bucket.hpp"

#include <cstdint>

namespace chervilturn {

/// @brief Construction of a cold limit.
struct cold_rate_limit_options {
    std::uint32_t calls_per_second = 0; // that a cold backend server bears; 0: no limit is known
    microseconds cold_start{};          // how long a start stays cold
};

/// @brief Says whether a backend server is cold, and whether it may be given one more call now.
///
/// A backend server counts as cold after each sign of a start, until it says otherwise or its cold start has
/// passed.
class cold_rate_limit {
  public:
    cold_rate_limit(const cold_rate_limit_options& options, instant now);

    void configure(const cold_rate_limit_options& changed, instant now);

    /// @brief A sign of a start, such as a lost listening socket.
    void presume_cold(instant now);

    /// @brief The backend server says how long it will stay cold; zero when it is warm.
    void on_reported(microseconds cold_left, instant now);

    [[nodiscard]] bool is_cold(instant now) const noexcept;

    /// @brief Takes one call out of the rate; always true for a warm backend server.
    [[nodiscard]] bool take(instant now);

    /// @brief The time that a cold backend server needs for so many calls.
    [[nodiscard]] microseconds time_for(std::size_t calls, instant now) const noexcept;

  private:
    [[nodiscard]] token_bucket make_bucket(instant now) const;

    cold_rate_limit_options options;
    instant cold_until;
    token_bucket allowance;
};

} // namespace chervilturn
