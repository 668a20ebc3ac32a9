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

/// @brief Calls are counted apart by service, workspace and class.
struct series_key {
    std::string team;
    std::string service;
    std::string workspace;
    bool urgent = false;

    auto operator<=>(const series_key&) const = default;
};

/// @brief Latency and outcomes of one service, workspace and class.
struct call_series {
    latency_histogram latency;
    std::array<std::uint64_t, 3> outcomes{}; // by outcome
    std::uint64_t extra_attempts = 0;
};

/// @brief A part of a call's way that is timed on its own.
enum class call_step {
    queue,          // at the owner, from admission to dispatch
    backend_server, // from dispatch to the end of its answer
    attempt         // at the entry, from sending to the owner's word: both of these and the way
};

/// @brief The name of a step in metrics.
[[nodiscard]] const char* to_string(call_step step) noexcept;

/// @brief Steps are timed apart by service and class.
struct step_key {
    std::string service;
    bool urgent = false;
    call_step step = call_step::queue;

    auto operator<=>(const step_key&) const = default;
};

/// @brief What a node believes at present.
struct node_gauges {
    std::uint64_t settings_revision = 0; // newest in force
    instant settings_confirmed_at{};     // when the platform or a peer last had nothing newer; epoch: never
    std::uint64_t followers = 0;         // nodes that take settings from this one
    std::uint64_t peers_connected = 0;
    std::uint64_t admission_limit = 0; // calls that the backend server beside this node may have
    std::uint64_t admission_in_use = 0;
    std::uint64_t admission_queued = 0;
    bool backend_server_cold = false;
    std::map<std::string, double> retry_budget_left; // repeats, by budget
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
    std::uint64_t duplicate_attempts = 0;
    std::uint64_t reroutes = 0;           // calls taken to another owner after a refusal at the door
    std::uint64_t retries = 0;            // repeats paid for by a retry budget
    std::uint64_t retry_budget_spent = 0; // repeats that a budget did not allow
};

/// @brief All metrics of one node. The number of series is bounded; further ones share one.
class metrics {
  public:
    static constexpr std::size_t max_series = 512;

    /// @brief The series of a service, workspace and class.
    [[nodiscard]] call_series& series(const series_key& key);

    /// @brief Records how long a step of a call took.
    void record_step(const step_key& key, microseconds took);

    [[nodiscard]] node_gauges& gauges() noexcept { return this->believed; }

    [[nodiscard]] node_counters& counters() noexcept { return this->totals; }
    [[nodiscard]] const node_counters& counters() const noexcept { return this->totals; }
    [[nodiscard]] const std::map<series_key, call_series>& all_series() const noexcept { return this->calls; }

    /// @brief All metrics as Prometheus text.
    [[nodiscard]] std::string text() const;

  private:
    void write_calls(std::string& text) const;
    void write_counters(std::string& text) const;
    void write_beliefs(std::string& text) const;

    std::map<series_key, call_series> calls;
    std::map<step_key, latency_histogram> steps;
    node_counters totals;
    node_gauges believed;
};

} // namespace chervilturn
