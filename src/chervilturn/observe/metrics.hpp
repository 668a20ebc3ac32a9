// Counters and latency histograms of one node, exported as Prometheus text.
#pragma once

#include "chervilturn/call/call.hpp"
#include "chervilturn/core/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace chervilturn {

/// @brief Latencies on a logarithmic scale from 10 microseconds to 100 seconds.
class latency_histogram {
  public:
    latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;
    ~latency_histogram();

    void record(microseconds latency);

    [[nodiscard]] std::uint64_t count() const;

    /// @brief The upper edge of the bin that holds a quantile between 0 and 1; zero when empty.
    [[nodiscard]] microseconds quantile(double fraction) const;

    /// @brief Writes cumulative buckets in Prometheus text; labels come without braces.
    void write(std::string& text, const std::string& name, const std::string& labels) const;

  private:
    struct storage;
    std::unique_ptr<storage> held;
    double sum_seconds = 0.0;
};

/// @brief Calls are counted apart by workspace and class.
struct series_key {
    std::string team;
    std::string workspace;
    bool urgent = false;

    auto operator<=>(const series_key&) const = default;
};

/// @brief Latency and outcomes of one workspace and class.
struct call_series {
    latency_histogram latency;
    std::array<std::uint64_t, 3> outcomes{}; // by outcome
    std::uint64_t extra_attempts = 0;
};

/// @brief Counters of one node that are not tied to a workspace.
struct node_counters {
    std::array<std::uint64_t, reason_count> refusals{}; // by reason
    std::uint64_t probes = 0;
    std::uint64_t probe_bytes = 0;
    std::uint64_t probe_micros = 0; // time that the backend server spent on probes
    std::uint64_t control_bytes_sent = 0;
    std::uint64_t control_bytes_received = 0;
    std::uint64_t call_bytes_sent = 0;
    std::uint64_t platform_reads = 0;
    std::uint64_t platform_failures = 0;
    std::uint64_t settings_accepted = 0;
    std::uint64_t settings_rejected = 0;
    std::uint64_t pauses = 0;
    std::uint64_t silent_connections = 0;
    std::uint64_t malformed_frames = 0;
    std::uint64_t late_answers = 0;
    std::uint64_t repeated_attempts = 0;
    std::uint64_t moves = 0;              // calls taken to another owner after a refusal at the door
    std::uint64_t retries = 0;            // repeats paid for by a retry budget
    std::uint64_t retry_budget_spent = 0; // repeats that a budget did not allow
};

/// @brief All metrics of one node. The number of series is bounded; further workspaces share one.
class metrics {
  public:
    static constexpr std::size_t max_series = 512;

    /// @brief The series of a workspace and class.
    [[nodiscard]] call_series& series(const series_key& key);

    [[nodiscard]] node_counters& counters() noexcept { return this->totals; }
    [[nodiscard]] const node_counters& counters() const noexcept { return this->totals; }
    [[nodiscard]] const std::map<series_key, call_series>& all_series() const noexcept { return this->calls; }

    /// @brief All metrics as Prometheus text.
    [[nodiscard]] std::string text() const;

  private:
    std::map<series_key, call_series> calls;
    node_counters totals;
};

} // namespace chervilturn
