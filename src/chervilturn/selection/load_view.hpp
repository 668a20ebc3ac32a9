// What one entry knows about one backend server: the last report, aged, and the entry's own calls.
#pragma once

#include "chervilturn/call/call.hpp"
#include "chervilturn/core/time.hpp"

#include <optional>

namespace chervilturn {

/// @brief Knowledge of one backend server at one entry.
class load_view {
  public:
    explicit load_view(std::uint32_t slots) noexcept;

    void on_sent(instant now) noexcept;

    /// @brief An attempt ended; reports and latency come with owners' answers only.
    void on_answer(const answer& ended, microseconds latency, instant now) noexcept;

    /// @brief An attempt ended without a word from the owner.
    void on_no_answer(instant now) noexcept;

    /// @brief An attempt was given up after a time in which no answer came.
    void on_cancelled(microseconds waited, instant now) noexcept;

    /// @brief Own calls in progress.
    [[nodiscard]] std::uint32_t outstanding() const noexcept { return this->own; }

    /// @brief Calls that the last report counted.
    [[nodiscard]] std::uint32_t reported() const noexcept {
        return this->report.in_use + this->report.queued;
    }

    /// @brief Estimated calls at the backend server: own ones, and those of others by the aged report.
    [[nodiscard]] double estimated_calls(instant now) const noexcept;

    /// @brief Calls that the backend server bears at once, by the last report.
    [[nodiscard]] double limit(instant now) const noexcept;

    /// @brief How long ago the owner reported; nothing before its first report.
    [[nodiscard]] std::optional<microseconds> report_age(instant now) const noexcept {
        return this->reported_at == instant{} ? std::nullopt : std::optional{elapsed(this->reported_at, now)};
    }

    /// @brief Smoothed latency; it forgets a slow spell with time, so that the server is tried again.
    [[nodiscard]] microseconds latency(instant now) const noexcept;

    /// @brief How many times longer than usual work is expected to take: the host's last known pace, which
    /// is forgotten quickly, and the server's own over its recent answers.
    [[nodiscard]] double slowdown(instant now) const noexcept;

    /// @brief The way there and back; a usual figure before the first measurement.
    [[nodiscard]] double round_trip_micros(double usual) const noexcept {
        return this->way_micros > 0.0 ? this->way_micros : usual;
    }

    /// @brief Share of the latest calls that the backend server failed or shed.
    [[nodiscard]] double failure_share(instant now) const noexcept;

    /// @brief Learns from an answer of a call whose usual service time is known.
    void learn_slowdown(microseconds service_time, microseconds usual, std::uint32_t slowdown_percent,
                        instant now) noexcept;

    /// @brief Whether the server recently refused or fell silent and should be passed over for a moment.
    [[nodiscard]] bool in_penalty(instant now) const noexcept { return now < this->penalty_until; }

  private:
    void count_end() noexcept;
    void learn_latency(microseconds sample, instant now) noexcept;
    void learn_way(microseconds sample) noexcept;
    void learn_failure(bool failed, instant now) noexcept;

    std::uint32_t slots;
    std::uint32_t own = 0;
    load_report report;
    std::uint32_t own_at_report = 0; // own calls in progress when the report arrived
    instant reported_at{};
    double latency_micros = 0.0; // smoothed; 0 before the first answer
    instant latency_at{};
    double way_micros = 0.0; // round trip without service; 0 before the first measurement
    double own_pace = 1.0;   // of the server, apart from its host's pace; at least 1
    instant own_pace_at{};
    double failures = 0.0; // smoothed share
    instant failures_at{};
    instant penalty_until{};
    std::uint32_t silences = 0; // in a row
};

} // namespace chervilturn
