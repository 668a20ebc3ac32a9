// What a backend server states about itself in its responses: the rate of calls that it can take, and whether
// it is leaving.
#pragma once

#include "chervilturn/call/call.hpp"
#include "chervilturn/core/time.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilturn {

/// @brief The statement of one response.
struct server_statement {
    std::optional<double> calls_per_second{}; // that it can take from all entries together; nothing: no limit
    bool leaving = false;                     // it takes no new calls and ends soon
    std::string unreadable_rate{};            // the stated rate when it can't be parsed; empty otherwise
};

/// @brief Names of the response headers that carry a statement.
struct statement_headers {
    std::string_view calls_per_second; // a decimal number, zero or more
    std::string_view leaving;          // "1" while the backend server is leaving
};

/// @brief Parses the statement of a response. A rate that isn't a finite decimal number, or is negative, is
/// unreadable.
[[nodiscard]] server_statement read_statement(const std::vector<header>& response_headers,
                                              const statement_headers& names);

/// @brief The statements in force for one backend server.
///
/// Responses may arrive in another order than the backend server sent them. A stricter statement applies at
/// once; it is relaxed only by a response to a request that was sent after the stricter one arrived.
class server_statements {
  public:
    /// @brief Processes the statement of a response to a request sent at `sent_at`; returns whether the
    /// statements in force changed. An unreadable rate leaves the rate in force as it is.
    [[nodiscard]] bool on_response(const server_statement& stated, instant sent_at, instant now);

    /// @brief Forgets all statements, because another backend server answers at the address.
    void reset() noexcept { *this = {}; }

    /// @brief The rate limit in force; nothing when there is none.
    [[nodiscard]] std::optional<double> calls_per_second() const noexcept { return this->rate; }
    [[nodiscard]] bool leaving() const noexcept { return this->is_leaving; }

    /// @brief Time since a response last confirmed the rate limit in force; zero without a limit.
    [[nodiscard]] microseconds rate_age(instant now) const noexcept {
        return this->rate ? elapsed(this->rate_stated_at, now) : microseconds::zero();
    }

  private:
    [[nodiscard]] bool update_rate(const server_statement& stated, instant sent_at, instant now);
    [[nodiscard]] bool update_leaving(bool stated, instant sent_at, instant now) noexcept;

    std::optional<double> rate;
    instant rate_stated_at{}; // arrival of the last response that stated the rate in force
    bool is_leaving = false;
    instant leaving_stated_at{}; // arrival of the last response that stated it
};

} // namespace chervilturn
