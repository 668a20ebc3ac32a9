// Counters and latency histograms of one node, exported as Prometheus text.
#pragma once

#include "chervilturn/call/call.hpp"
#include "chervilturn/core/time.hpp"
#include "chervilturn/observe/peer_traffic.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace chervilturn {

/// @brief Counts latencies in bins on a logarithmic scale from 10 microseconds to 100 seconds.
class latency_histogram {
  public:
    latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;
    ~latency_histogram();

    void record(microseconds latency);

    /// @brief Number of recorded latencies.
    [[nodiscard]] std::uint64_t count() const;

    /// @brief The upper edge of the bin that holds a quantile between 0 and 1; zero when empty.
    [[nodiscard]] microseconds quantile(double fraction) const;

    /// @brief Appends cumulative buckets, count and sum to text in Prometheus format; labels are passed
    /// without braces.
    void write(std::string& text, const std::string& name, const std::string& labels) const;

  private:
    struct storage;
    std::unique_ptr<storage> impl;
    double sum_seconds = 0.0;
};

/// @brief The labels of a call series. The class of a call is urgent or normal.
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
    std::array<std::uint64_t, 3> outcomes{}; // number of calls by outcome
    std::uint64_t extra_attempts = 0;
};

/// @brief A stage of a call whose latency is measured separately.
enum class call_step {
    queue,          // at the owner, from admission to dispatch
    backend_server, // at the owner, from dispatch to the end of the backend server's answer
    attempt         // at the entry, from sending to the owner's answer: both other steps and the network
};

/// @brief The name of a step in metrics.
[[nodiscard]] const char* to_string(call_step step) noexcept;

/// @brief The labels of the latency of a step.
struct step_key {
    std::string service;
    bool urgent = false;
    call_step step = call_step::queue;

    auto operator<=>(const step_key&) const = default;
};

/// @brief Present values of the gauges of one node.
struct node_gauges {
    std::uint64_t requests_held = 0;      // because they crashed backend servers
    std::uint64_t requests_suspected = 0; // that ran at a crash and were not completed since
    std::uint64_t settings_revision = 0;  // newest revision of the current settings
    std::uint64_t unreadable_leaves = 0;  // of the current settings; without effect at this node
    instant settings_confirmed_at{}; // when the platform or a peer last sent all that is newer; epoch: never
    std::uint64_t followers = 0;     // nodes that subscribe to the settings of this one
    std::uint64_t peers_connected = 0;
    std::uint64_t admission_limit = 0;  // concurrent calls allowed to the backend server of this node
    std::uint64_t admission_in_use = 0; // calls dispatched to it and not ended
    std::uint64_t admission_queued = 0; // calls that wait for dispatch
    bool backend_server_cold = false;
    std::optional<double> server_rate_limit; // calls per second that the backend server states; nothing: none
    microseconds server_rate_age{};          // since a response last stated it
    std::uint64_t body_bytes_held = 0;       // of requests and responses that pass through the process
    std::uint64_t caller_connections = 0;    // open at the latest request
    bool server_leaving = false;             // by the backend server's own statement
    std::map<std::string, double> retry_budget_left; // allowed retries, by name of the budget
};

/// @brief Counters of one node since its start that have no service or workspace label.
struct node_counters {
    std::array<std::uint64_t, reason_count> refusals{}; // by reason
    std::uint64_t probes = 0;
    std::uint64_t unreadable_statements = 0; // responses of the backend server with an unreadable rate
    std::uint64_t probe_bytes = 0;
    std::uint64_t probe_micros = 0; // total duration of all probes, failed ones included
    std::uint64_t control_bytes_sent = 0;
    std::uint64_t control_bytes_received = 0;
    std::uint64_t call_bytes_sent = 0;
    peer_traffic sent_to_peers; // control_bytes_sent and call_bytes_sent, by kind and reach
    std::uint64_t platform_reads = 0;
    std::uint64_t platform_failures = 0;
    std::uint64_t settings_accepted = 0;
    std::uint64_t settings_rejected = 0;
    std::uint64_t backend_crashes = 0; // of this host's backend server, while calls ran
    std::uint64_t pauses = 0;
    std::uint64_t silent_connections = 0; // to peers; replaced because they were silent or had closed
    std::uint64_t malformed_frames = 0;
    std::uint64_t late_answers = 0;
    std::uint64_t duplicate_attempts = 0;
    std::uint64_t delayed_requests = 0;  // that started some time after their first byte arrived
    std::uint64_t reroutes = 0;          // calls that did not run and were sent to another owner
    std::uint64_t retries = 0;           // retries that a retry budget allowed
    std::uint64_t refused_with_room = 0; // calls, for lack of room, while a server seemed to have a free slot
    std::uint64_t retry_budget_spent = 0; // retries that a retry budget did not allow
};

/// @brief All metrics of one node. The number of series is limited to max_series; calls of further services
/// and workspaces are counted in a shared series named "(other)".
class metrics {
  public:
    static constexpr std::size_t max_series = 512;

    /// @brief The series of a service, workspace and class; creates it when it does not exist.
    [[nodiscard]] call_series& series(const series_key& key);

    /// @brief Records how long a step of a call took.
    void record_step(const step_key& key, microseconds duration);

    [[nodiscard]] node_gauges& gauges() noexcept { return this->gauge_values; }

    [[nodiscard]] node_counters& counters() noexcept { return this->counter_values; }
    [[nodiscard]] const node_counters& counters() const noexcept { return this->counter_values; }
    [[nodiscard]] const std::map<series_key, call_series>& all_series() const noexcept { return this->calls; }

    /// @brief All metrics as Prometheus text.
    [[nodiscard]] std::string text() const;

  private:
    void write_calls(std::string& text) const;
    void write_counters(std::string& text) const;
    void write_peer_traffic(std::string& text) const;
    void write_gauges(std::string& text) const;

    std::map<series_key, call_series> calls;
    std::map<step_key, latency_histogram> steps;
    node_counters counter_values;
    node_gauges gauge_values;
};

} // namespace chervilturn
