// Reading and validation of a node's settings file.
#include "chervilturn/config/node_settings.hpp"

#include "chervilturn/core/json.hpp"

#include <fstream>
#include <map>
#include <sstream>

namespace chervilturn {

namespace {

// Longest time from the failure of a node's parent being noticed until the node has read all of the platform:
// the random delay of the start, a new connection and the pages.
constexpr microseconds own_reading_allowance = std::chrono::milliseconds{500};
constexpr std::int64_t hour_in_milliseconds = 3'600'000;
constexpr double bytes_in_mb = 1 << 20;
constexpr double max_memory_mb = 1 << 30;
constexpr std::int64_t day_in_milliseconds = 24 * hour_in_milliseconds; // longest time between nodes
// Between the end of the grace time and the kill, for the process to end by itself.
constexpr microseconds kill_margin = std::chrono::milliseconds{500};

// A time in a unit, with a fraction or without. The longest one is a day.
[[nodiscard]] microseconds read_duration(object_reader& reader, const char* key, microseconds unit,
                                         microseconds fallback) {
    const std::chrono::duration<double> seconds_in_unit{unit};
    const std::chrono::duration<double> longest{std::chrono::hours{24}};
    const auto units = reader.number_or(key, {0.0, longest / seconds_in_unit}, fallback / seconds_in_unit);
    return std::chrono::round<microseconds>(units * seconds_in_unit);
}

// The grace time, stated itself or by the time after which whoever stops the process kills it.
[[nodiscard]] microseconds read_shutdown_grace(object_reader& reader, microseconds fallback) {
    if (!reader.has("shutdown_kill_s")) {
        return reader.milliseconds_or("shutdown_grace_ms", {0, hour_in_milliseconds}, fallback);
    }
    if (reader.has("shutdown_grace_ms")) {
        reader.reject("shutdown_kill_s", "absent beside shutdown_grace_ms");
    }
    const auto kill_after = read_duration(reader, "shutdown_kill_s", std::chrono::seconds{1}, fallback);
    return std::max(kill_after / 2, kill_after - kill_margin);
}

[[nodiscard]] std::string milliseconds_text(microseconds span) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()) + " ms";
}

[[nodiscard]] node_limits read_limits(object_reader& reader) {
    node_limits limits;
    limits.max_header_bytes = static_cast<std::size_t>(reader.integer_or(
        "max_header_bytes", {1024, 1 << 20}, static_cast<std::int64_t>(limits.max_header_bytes)));
    limits.max_body_bytes = static_cast<std::size_t>(reader.integer_or(
        "max_body_bytes", {1024, 64 << 20}, static_cast<std::int64_t>(limits.max_body_bytes)));
    limits.memory_bytes =
        static_cast<std::size_t>(reader.number_or("memory_mb", {16.0, max_memory_mb},
                                                  static_cast<double>(limits.memory_bytes) / bytes_in_mb) *
                                 bytes_in_mb);
    limits.max_connections = static_cast<std::size_t>(reader.integer_or(
        "max_connections", {16, 1'000'000}, static_cast<std::int64_t>(limits.max_connections)));
    limits.max_calls = static_cast<std::size_t>(
        reader.integer_or("max_calls", {1, 1'000'000}, static_cast<std::int64_t>(limits.max_calls)));
    limits.max_pipelined_requests = static_cast<std::size_t>(reader.integer_or(
        "max_pipelined_requests", {1, 1024}, static_cast<std::int64_t>(limits.max_pipelined_requests)));
    limits.max_pipelined_bytes = static_cast<std::size_t>(reader.integer_or(
        "max_pipelined_bytes", {1024, 64 << 20}, static_cast<std::int64_t>(limits.max_pipelined_bytes)));
    limits.max_reroutes =
        static_cast<std::uint32_t>(reader.integer_or("max_moves", {0, 1000}, limits.max_reroutes));
    limits.default_deadline =
        reader.milliseconds_or("default_deadline_ms", {0, hour_in_milliseconds}, limits.default_deadline);
    limits.max_deadline =
        reader.milliseconds_or("max_deadline_ms", {1, day_in_milliseconds}, limits.max_deadline);
    limits.shutdown_grace = read_shutdown_grace(reader, limits.shutdown_grace);
    limits.drain_delay =
        reader.milliseconds_or("shutdown_notice_ms", {0, hour_in_milliseconds}, limits.drain_delay);
    if (limits.default_deadline > limits.max_deadline) {
        reader.reject("default_deadline_ms", "at most max_deadline_ms");
    }
    return limits;
}

[[nodiscard]] probe_limits read_probes(object_reader& reader) {
    probe_limits probes;
    probes.probes_per_second = static_cast<double>(reader.integer_or("probes_per_second", {1, 100}, 2));
    probes.timeout = reader.milliseconds_or("timeout_ms", {1, 60'000}, probes.timeout);
    return probes;
}

[[nodiscard]] retry_limits read_fleet_retries(object_reader& reader) {
    retry_limits fleet_limits;
    fleet_limits.ratio = reader.number_or("ratio", {0.0, 1e6}, fleet_limits.ratio);
    fleet_limits.slack = reader.number_or("slack", {0.0, 1e6}, fleet_limits.slack);
    return fleet_limits;
}

[[nodiscard]] cold_allowance read_cold_allowance(object_reader& reader) {
    cold_allowance allowance;
    allowance.overshoot = reader.number_or("overshoot", {1.0, 1e6}, allowance.overshoot);
    allowance.slack = reader.number_or("slack", {0.0, 1e6}, allowance.slack);
    return allowance;
}

// A change must be in force in time also when the parent of a node fails at the moment of the change.
void check_apply_time(object_reader& reader, const reading_options& reading) {
    if (reading.parent_suspect + own_reading_allowance > reading.apply) {
        reader.reject("parent_suspect_ms",
                      "at least " + milliseconds_text(own_reading_allowance) + " less than apply_ms");
    }
}

[[nodiscard]] reading_options read_reading(object_reader& reader) {
    reading_options reading;
    reading.wait = reader.milliseconds_or("wait_ms", {0, 30'000}, reading.wait);
    reading.pause = reader.milliseconds_or("pause_ms", {0, 60'000}, reading.pause);
    reading.readers_per_data_centre = static_cast<std::uint32_t>(
        reader.integer_or("readers_per_data_centre", {1, 1000}, reading.readers_per_data_centre));
    reading.fallback_start = reader.milliseconds_or("own_start_ms", {10, 60'000}, reading.fallback_start);
    reading.compare_period = reader.milliseconds_or("compare_ms", {10, 60'000}, reading.compare_period);
    reading.parent_ping = reader.milliseconds_or("parent_ping_ms", {10, 60'000}, reading.parent_ping);
    reading.parent_suspect =
        reader.milliseconds_or("parent_suspect_ms", {20, 120'000}, reading.parent_suspect);
    if (reading.parent_ping >= reading.parent_suspect) {
        reader.reject("parent_ping_ms", "less than parent_suspect_ms");
    }
    reading.apply = read_duration(reader, "apply_ms", std::chrono::milliseconds{1}, reading.apply);
    check_apply_time(reader, reading);
    return reading;
}

[[nodiscard]] std::map<std::string, std::string> read_data_centres(object_reader& reader) {
    std::map<std::string, std::string> regions;
    for (auto& nested : reader.objects_or_none("data_centres")) {
        regions.emplace(nested.text("name"), nested.text("region"));
        static_cast<void>(nested.finish());
        reader.take_error(nested);
    }
    return regions;
}

void check_distinct_addresses(object_reader& reader, const node_settings& settings) {
    std::map<address, const char*> keys_by_address;
    const std::pair<const char*, address> endpoints[] = {{"callers", settings.callers},
                                                         {"peers", settings.peers},
                                                         {"operators", settings.operators},
                                                         {"backend_server", settings.backend_server}};
    for (const auto& [key, endpoint] : endpoints) {
        const auto [existing, added] = keys_by_address.emplace(endpoint, key);
        if (!added) {
            reader.reject(key, std::string{"different from the address of \""} + existing->second + "\"");
        }
    }
}

template<typename Section, typename ReadMembers>
void read_section(object_reader& parent, const char* key, Section& section, ReadMembers read_members) {
    auto reader = parent.section(key);
    if (!reader) {
        return;
    }
    section = read_members(*reader);
    static_cast<void>(reader->finish());
    parent.take_error(*reader);
}

} // namespace

const std::vector<std::string>& policy_names() {
    static const std::vector<std::string> names{"uniform_random", "round_robin", "least_outstanding",
                                                "two_choices",    "load_aware",  "expected_time"};
    return names;
}

result<node_settings, settings_error> parse_node_settings(const std::string& text,
                                                          const std::string& source) {
    const auto root = parse_json(text, json_comments::allowed);
    if (root.is_discarded()) {
        return settings_error{source, "(root)", "the text", "valid JSON"};
    }
    object_reader reader{root, source, ""};
    node_settings settings;
    settings.host = reader.text("host");
    settings.data_centre = reader.text("data_centre");
    settings.callers = reader.address_at("callers");
    settings.peers = reader.address_at("peers");
    settings.reachable_at = reader.address_or("reachable_at", settings.peers);
    settings.operators = reader.address_at("operators");
    settings.backend_server = reader.address_at("backend_server");
    settings.platform = reader.addresses_or_none("platform");
    settings.seeds = reader.addresses_or_none("seeds");
    settings.accepted_hosts = reader.names_or_none("accepted_hosts");
    settings.policy = reader.one_of_or("policy", policy_names(), settings.policy);
    settings.log_level =
        reader.one_of_or("log_level", {"trace", "debug", "info", "warn", "error"}, settings.log_level);
    settings.seed = static_cast<std::uint64_t>(reader.integer_or("seed", {0, INT64_MAX}, 0));
    read_section(reader, "limits", settings.limits, read_limits);
    read_section(reader, "probes", settings.probes, read_probes);
    read_section(reader, "repeats", settings.fleet_retries, read_fleet_retries);
    read_section(reader, "cold_servers", settings.cold_servers, read_cold_allowance);
    read_section(reader, "reading", settings.reading, read_reading);
    settings.service = reader.text_or("service", "");
    settings.data_centres = read_data_centres(reader);
    check_distinct_addresses(reader, settings);
    if (const auto error = reader.finish()) {
        return *error;
    }
    return settings;
}

result<node_settings, settings_error> read_node_settings(const std::string& file) {
    std::ifstream stream{file};
    if (!stream) {
        return settings_error{file, "(file)", "the file", "readable"};
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parse_node_settings(text.str(), file);
}

} // namespace chervilturn
