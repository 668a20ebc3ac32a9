// An entry's view of one backend server: its last load report, decayed with age, and the entry's own calls.
#pragma once

#include "chervilturn/call/call.hpp"
#include "chervilturn/core/time.hpp"

#include <optional>
#include <string>

namespace chervilturn {

/// @brief Load, latency and failures of one backend server, estimated by one entry.
class load_view {
  public:
    /// @brief slots is the server's configured number of concurrent calls.
    explicit load_view(std::uint32_t slots) noexcept;

    /// @brief Counts an attempt sent to the server.
    void on_sent(instant now) noexcept;

    /// @brief Processes an owner's answer to an attempt. latency is the time since the attempt was sent.
    void on_answer(const answer& ended, microseconds latency, instant now) noexcept;

    /// @brief Processes the loss of an attempt: it ended without an answer from the owner.
    void on_no_answer(instant now) noexcept;

    /// @brief Processes an attempt that the entry cancelled after waiting this long without an answer.
    void on_cancelled(microseconds waited, instant now) noexcept;

    /// @brief Number of this entry's calls in progress.
    [[nodiscard]] std::uint32_t outstanding() const noexcept { return this->own_calls; }

    /// @brief Number of calls, running and queued, in the last report.
    [[nodiscard]] std::uint32_t reported_calls() const noexcept {
        return this->report.in_use + this->report.queued;
    }

    /// @brief Estimated calls at the backend server: this entry's calls plus those of other entries from the
    /// last report, which count less as the report ages.
    [[nodiscard]] double estimated_calls(instant now) const noexcept;

    /// @brief Concurrent calls that the server can run: the lower of its slots and the last reported limit;
    /// at least 1.
    [[nodiscard]] double limit(instant now) const noexcept;

    /// @brief Estimated time until the server's rate limits have room for a further call: the last reported
    /// wait, less its age, plus the share of this entry's calls since then. Zero without a limit.
    [[nodiscard]] microseconds rate_wait(instant now) const noexcept;

    /// @brief Age of the last report; empty before the first one.
    [[nodiscard]] std::optional<microseconds> report_age(instant now) const noexcept {
        return this->reported_at == instant{} ? std::nullopt : std::optional{elapsed(this->reported_at, now)};
    }

    /// @brief Smoothed latency. It decays with time so that a slow server is tried again; zero before the
    /// first sample.
    [[nodiscard]] microseconds latency(instant now) const noexcept;

    /// @brief Expected ratio of service time to baseline: the host's last reported slowdown, which quickly
    /// decays to a default, times the server's own slowdown averaged over its recent answers. At least 1.
    [[nodiscard]] double slowdown(instant now) const noexcept;

    /// @brief Round trip in microseconds, without service time; the fallback before the first measurement.
    [[nodiscard]] double round_trip_micros(double fallback) const noexcept {
        return this->measured_round_trip > 0.0 ? this->measured_round_trip : fallback;
    }

    /// @brief Smoothed share of calls that the server failed or shed, from 0 to 1; decays with time.
    [[nodiscard]] double failure_share(instant now) const noexcept;

    /// @brief Updates the server's own slowdown from a call's service time and its route's baseline. Ignored
    /// when either is zero. slowdown_percent is the slowdown that the host reported.
    void learn_slowdown(microseconds service_time, microseconds baseline, std::uint32_t slowdown_percent,
                        instant now) noexcept;

    /// @brief Whether the server should be skipped for now because it recently refused a call or did not
    /// answer.
    [[nodiscard]] bool in_penalty(instant now) const noexcept { return now < this->penalty_until; }

    /// @brief Whether a call that is sent now would find a free slot, as far as is known.
    [[nodiscard]] bool has_free_slot(instant now) const noexcept {
        return this->estimated_calls(now) + 1.0 <= this->limit(now) && !this->in_penalty(now);
    }

    /// @brief Stores whether the owner reported that its backend server, named in the settings, is leaving.
    void on_leaving_reported(const std::string& server, bool leaving, instant now);

    /// @brief Whether a backend server must get no calls because it said that it is leaving. The report holds
    /// for a while and only for the server of that name; then the owner is asked again, which refuses if it
    /// still is.
    [[nodiscard]] bool is_leaving(const std::string& server, instant now) const noexcept {
        return now < this->leaving_until && server == this->leaving_server;
    }

  private:
    void count_end() noexcept;
    void learn_latency(microseconds sample, instant now) noexcept;
    void learn_round_trip(microseconds sample) noexcept;
    void learn_failure(bool failed, instant now) noexcept;

    std::uint32_t slots;
    std::uint32_t own_calls = 0;
    load_report report;
    std::uint32_t own_calls_at_report = 0; // own_calls when the report arrived
    std::uint32_t sent_since_report = 0;   // calls
    instant reported_at{};
    double latency_micros = 0.0; // smoothed; 0 before the first sample
    instant latency_at{};
    double measured_round_trip = 0.0; // microseconds, without service time; 0 before the first sample
    double own_slowdown = 1.0;        // of the server, without its host's slowdown; at least 1
    instant own_slowdown_at{};
    double failure_average = 0.0; // smoothed share of failed or shed calls
    instant failures_at{};
    instant penalty_until{};
    std::string leaving_server;   // name of the server that was last reported as leaving
    instant leaving_until{};      // end of the time for which that report holds
    std::uint32_t unanswered = 0; // consecutive attempts without an answer
};

} // namespace chervilturn
