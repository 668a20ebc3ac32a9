// Latency histograms with Boost.Histogram, and the export of metrics as Prometheus text.
#include "chervilturn/observe/metrics.hpp"

#include "chervilturn/observe/log.hpp"

#include <boost/histogram.hpp>

namespace chervilturn {

namespace {

namespace bh = boost::histogram;

constexpr unsigned bin_count = 98; // 14 for each factor of ten
constexpr double min_micros = 10.0;
constexpr double max_micros = 1e8;
constexpr unsigned bins_per_bucket = 7; // bins merged into one exported bucket
constexpr double micros_per_second = 1e6;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using histogram = decltype(bh::make_histogram(log_axis{}));

[[nodiscard]] std::string escape_label(const std::string& value) {
    std::string escaped;
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            escaped += '\\';
        }
        escaped += character == '\n' ? ' ' : character;
    }
    return escaped;
}

void write_sample(std::string& text, const std::string& name, const std::string& labels, double value) {
    text += "chervilturn_" + name;
    if (!labels.empty()) {
        text += '{' + labels + '}';
    }
    const bool is_integer = value == static_cast<double>(static_cast<std::uint64_t>(value));
    text +=
        ' ' + (is_integer ? std::to_string(static_cast<std::uint64_t>(value)) : std::to_string(value)) + '\n';
}

void write_type(std::string& text, const std::string& name, const char* type) {
    text += "# TYPE chervilturn_" + name + ' ' + type + '\n';
}

void write_counter(std::string& text, const std::string& name, std::uint64_t value) {
    write_type(text, name, "counter");
    write_sample(text, name, "", static_cast<double>(value));
}

void write_gauge(std::string& text, const std::string& name, double value) {
    write_type(text, name, "gauge");
    write_sample(text, name, "", value);
}

[[nodiscard]] std::string labels_of(const step_key& key) {
    return "service=\"" + escape_label(key.service) + "\",class=\"" + (key.urgent ? "urgent" : "normal") +
           "\",step=\"" + to_string(key.step) + '"';
}

[[nodiscard]] std::string labels_of(const series_key& key) {
    std::string labels = "team=\"";
    labels += escape_label(key.team);
    labels += "\",service=\"";
    labels += escape_label(key.service);
    labels += "\",workspace=\"";
    labels += escape_label(key.workspace);
    labels += "\",class=\"";
    labels += key.urgent ? "urgent\"" : "normal\"";
    return labels;
}

} // namespace

const char* to_string(call_step step) noexcept {
    static constexpr std::array<const char*, 3> names{"queue", "backend_server", "attempt"};
    return names.at(static_cast<std::size_t>(step));
}

struct latency_histogram::storage {
    histogram values = bh::make_histogram(log_axis{bin_count, min_micros, max_micros, "latency"});
};

latency_histogram::latency_histogram() : impl{std::make_unique<storage>()} {}
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram& latency_histogram::operator=(latency_histogram&&) noexcept = default;
latency_histogram::~latency_histogram() = default;

void latency_histogram::record(microseconds latency) {
    this->impl->values(static_cast<double>(latency.count()));
    this->sum_seconds += to_seconds(latency);
}

std::uint64_t latency_histogram::count() const {
    return static_cast<std::uint64_t>(bh::algorithm::sum(this->impl->values));
}

microseconds latency_histogram::quantile(double fraction) const {
    const double target_count = fraction * static_cast<double>(this->count());
    const auto& axis = this->impl->values.axis(0);
    double cumulative = 0.0;
    for (int bin = -1; bin <= axis.size(); ++bin) {
        cumulative += this->impl->values.at(bin);
        if (cumulative > 0.0 && cumulative >= target_count) {
            const int edge = std::min(bin + 1, static_cast<int>(axis.size()));
            return microseconds{static_cast<std::int64_t>(axis.value(edge))};
        }
    }
    return microseconds::zero();
}

void latency_histogram::write(std::string& text, const std::string& name, const std::string& labels) const {
    const auto& axis = this->impl->values.axis(0);
    double cumulative = this->impl->values.at(-1);
    for (int bin = 0; bin < axis.size(); ++bin) {
        cumulative += this->impl->values.at(bin);
        if ((bin + 1) % static_cast<int>(bins_per_bucket) == 0) {
            const auto edge = std::to_string(axis.value(bin + 1) / micros_per_second);
            write_sample(text, name + "_bucket", labels + ",le=\"" + edge + '"', cumulative);
        }
    }
    const auto total = static_cast<double>(this->count());
    write_sample(text, name + "_bucket", labels + ",le=\"+Inf\"", total);
    write_sample(text, name + "_count", labels, total);
    write_sample(text, name + "_sum", labels, this->sum_seconds);
}

call_series& metrics::series(const series_key& key) {
    const auto found = this->calls.find(key);
    if (found != this->calls.end()) {
        return found->second;
    }
    if (this->calls.size() >= max_series) {
        return this->calls[series_key{
            .team = "(other)", .service = "(other)", .workspace = "(other)", .urgent = key.urgent}];
    }
    return this->calls[key];
}

void metrics::record_step(const step_key& key, microseconds duration) {
    const bool has_room = this->steps.size() < max_series || this->steps.contains(key);
    const step_key counted_key{has_room ? key.service : "(other)", key.urgent, key.step};
    this->steps[counted_key].record(duration);
}

std::string metrics::text() const {
    std::string text;
    this->write_calls(text);
    this->write_counters(text);
    this->write_peer_traffic(text);
    this->write_gauges(text);
    return text;
}

void metrics::write_calls(std::string& text) const {
    write_type(text, "call_latency_seconds", "histogram");
    for (const auto& [key, series] : this->calls) {
        series.latency.write(text, "call_latency_seconds", labels_of(key));
    }
    write_type(text, "calls_total", "counter");
    for (const auto& [key, series] : this->calls) {
        for (std::size_t index = 0; index < series.outcomes.size(); ++index) {
            const auto name = to_string(static_cast<outcome>(index));
            write_sample(text, "calls_total", labels_of(key) + ",outcome=\"" + std::string{name} + '"',
                         static_cast<double>(series.outcomes.at(index)));
        }
    }
    write_type(text, "extra_attempts_total", "counter");
    for (const auto& [key, series] : this->calls) {
        write_sample(text, "extra_attempts_total", labels_of(key),
                     static_cast<double>(series.extra_attempts));
    }
    write_type(text, "step_latency_seconds", "histogram");
    for (const auto& [key, latency] : this->steps) {
        latency.write(text, "step_latency_seconds", labels_of(key));
    }
}

void metrics::write_peer_traffic(std::string& text) const {
    const auto& traffic = this->counter_values.sent_to_peers;
    std::uint64_t body_bytes = 0;
    write_type(text, "peer_sent_bytes_total", "counter");
    for (std::size_t kind = 0; kind < peer_traffic::kind_count; ++kind) {
        for (std::size_t reach = 0; reach < peer_traffic::reach_count; ++reach) {
            const auto carried = static_cast<traffic_kind>(kind);
            const auto distance = static_cast<traffic_reach>(reach);
            const auto bytes = traffic.bytes(carried, distance);
            body_bytes += carried == traffic_kind::body ? bytes : 0;
            write_sample(text, "peer_sent_bytes_total",
                         std::string{"kind=\""} + to_string(carried) + "\",reach=\"" + to_string(distance) +
                             '"',
                         static_cast<double>(bytes));
        }
    }
    write_counter(text, "call_body_sent_bytes_total", body_bytes);
}

void metrics::write_counters(std::string& text) const {
    write_type(text, "refusals_total", "counter");
    for (std::size_t index = 1; index < reason_count; ++index) {
        const auto name = std::string{to_string(static_cast<reason>(index))};
        write_sample(text, "refusals_total", "reason=\"" + name + '"',
                     static_cast<double>(this->counter_values.refusals.at(index)));
    }
    write_counter(text, "probes_total", this->counter_values.probes);
    write_counter(text, "unreadable_statements_total", this->counter_values.unreadable_statements);
    write_counter(text, "probe_bytes_total", this->counter_values.probe_bytes);
    write_counter(text, "probe_microseconds_total", this->counter_values.probe_micros);
    write_counter(text, "control_sent_bytes_total", this->counter_values.control_bytes_sent);
    write_counter(text, "control_received_bytes_total", this->counter_values.control_bytes_received);
    write_counter(text, "call_sent_bytes_total", this->counter_values.call_bytes_sent);
    write_counter(text, "platform_reads_total", this->counter_values.platform_reads);
    write_counter(text, "platform_failures_total", this->counter_values.platform_failures);
    write_counter(text, "settings_accepted_total", this->counter_values.settings_accepted);
    write_counter(text, "settings_rejected_total", this->counter_values.settings_rejected);
    write_counter(text, "backend_crashes_total", this->counter_values.backend_crashes);
    write_counter(text, "pauses_total", this->counter_values.pauses);
    write_counter(text, "silent_connections_total", this->counter_values.silent_connections);
    write_counter(text, "malformed_frames_total", this->counter_values.malformed_frames);
    write_counter(text, "late_answers_total", this->counter_values.late_answers);
    write_counter(text, "delayed_requests_total", this->counter_values.delayed_requests);
    write_counter(text, "repeated_attempts_total", this->counter_values.duplicate_attempts);
    write_counter(text, "moves_total", this->counter_values.reroutes);
    write_counter(text, "retries_total", this->counter_values.retries);
    write_counter(text, "refused_with_room_total", this->counter_values.refused_with_room);
    write_counter(text, "retry_budget_spent_total", this->counter_values.retry_budget_spent);
    write_counter(text, "log_lines_left_out_total", dropped_log_lines());
}

void metrics::write_gauges(std::string& text) const {
    const auto& gauges = this->gauge_values;
    write_gauge(text, "settings_revision", static_cast<double>(gauges.settings_revision));
    write_gauge(text, "settings_unreadable_leaves", static_cast<double>(gauges.unreadable_leaves));
    if (gauges.settings_confirmed_at != instant{}) {
        write_gauge(text, "settings_age_seconds",
                    to_seconds(monotonic_clock::now() - gauges.settings_confirmed_at));
    }
    write_gauge(text, "settings_followers", static_cast<double>(gauges.followers));
    write_gauge(text, "peers_connected", static_cast<double>(gauges.peers_connected));
    write_gauge(text, "door_limit", static_cast<double>(gauges.admission_limit));
    write_gauge(text, "door_in_use", static_cast<double>(gauges.admission_in_use));
    write_gauge(text, "door_queued", static_cast<double>(gauges.admission_queued));
    write_gauge(text, "body_bytes_held", static_cast<double>(gauges.body_bytes_held));
    write_gauge(text, "caller_connections", static_cast<double>(gauges.caller_connections));
    write_gauge(text, "requests_held", static_cast<double>(gauges.requests_held));
    write_gauge(text, "requests_suspected", static_cast<double>(gauges.requests_suspected));
    write_gauge(text, "backend_server_cold", gauges.backend_server_cold ? 1.0 : 0.0);
    write_gauge(text, "server_leaving", gauges.server_leaving ? 1.0 : 0.0);
    if (gauges.server_rate_limit) {
        write_gauge(text, "server_rate_limit", *gauges.server_rate_limit);
        write_gauge(text, "server_rate_limit_age_seconds", to_seconds(gauges.server_rate_age));
    }
    write_type(text, "retry_budget_left", "gauge");
    for (const auto& [name, left] : gauges.retry_budget_left) {
        write_sample(text, "retry_budget_left", "budget=\"" + escape_label(name) + '"', left);
    }
}

} // namespace chervilturn
