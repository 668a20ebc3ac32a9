// The settings file of one node: where it listens, which backend server it guards and where it learns the
// rest.
#pragma once

#include "chervilturn/config/object_reader.hpp"
#include "chervilturn/core/address.hpp"
#include "chervilturn/core/result.hpp"
#include "chervilturn/core/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chervilturn {

/// @brief Limits that protect the process itself.
struct node_limits {
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 8UL * 1024 * 1024;
    std::size_t max_calls = 4096;   // calls from callers in progress at one entry
    std::uint32_t max_reroutes = 0; // to other owners after refusals that no backend server saw, for one call
    microseconds default_deadline = std::chrono::seconds{10}; // zero: callers must give a deadline
    microseconds max_deadline = std::chrono::minutes{5};
    microseconds shutdown_grace = std::chrono::seconds{60};
    microseconds drain_delay{}; // calls are still taken for so long after the request to stop
};

/// @brief The budget for asking the backend server about its load.
struct probe_limits {
    double probes_per_second = 2.0;
    microseconds timeout = std::chrono::milliseconds{500};
};

/// @brief Bounds of the whole fleet on repeats: runs of a call beyond its first, by target service.
struct retry_limits {
    double ratio = 0.0; // of first attempts; 0: bounds of the workspace hold instead
    double slack = 0.0; // repeats allowed besides, over all nodes
};

/// @brief How the platform is read by the nodes that read it.
struct reading_options {
    microseconds wait = std::chrono::seconds{20};          // for a change, in one call
    microseconds pause = std::chrono::milliseconds{50};    // between two calls
    std::uint32_t readers_per_data_centre = 2;             // nodes that read; all others ask them
    microseconds fallback_start = std::chrono::seconds{2}; // latest; while seeds have told nothing
    microseconds parent_ping = std::chrono::seconds{2};    // a silent node that settings come from is pinged
    microseconds parent_suspect = std::chrono::seconds{3}; // and its connection suspected
};

/// @brief Everything that a node learns from its settings file.
struct node_settings {
    std::string host;
    std::string data_centre;
    address callers;
    address peers;        // where the node listens for other nodes
    address reachable_at; // the address of peers as settings and other nodes know it
    address operators;
    address backend_server;
    std::vector<address> platform;
    std::vector<address> seeds;           // peer addresses to ask while the host list is unknown
    std::set<std::string> accepted_hosts; // names that callers may use besides the callers' address
    std::string policy = "load_aware";
    std::string log_level = "info";
    std::uint64_t seed = 0; // 0 draws one from the system
    node_limits limits;
    probe_limits probes;
    reading_options reading;
    retry_limits fleet_retries;
    std::string service;                             // of the backend server; empty when not told
    std::map<std::string, std::string> data_centres; // region of each, as far as told at the start
};

/// @brief Names of the selection policies that a node may run.
[[nodiscard]] const std::vector<std::string>& policy_names();

/// @brief Parses settings text; source names it in errors.
[[nodiscard]] result<node_settings, settings_error> parse_node_settings(const std::string& text,
                                                                        const std::string& source);

/// @brief Reads and parses a settings file.
[[nodiscard]] result<node_settings, settings_error> read_node_settings(const std::string& file);

} // namespace chervilturn
