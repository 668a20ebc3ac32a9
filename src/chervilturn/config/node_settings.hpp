// Settings file of one node: its addresses, its backend server and the sources of published settings.
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

/// @brief Limits on the resources and the time that calls and shutdown may take at this node.
struct node_limits {
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 8UL * 1024 * 1024;
    std::size_t memory_bytes = 256UL << 20U; // that the platform gives the process
    // Of callers, open at the same time; never more than half of the descriptors that the process may have.
    std::size_t max_connections = 2048;
    std::size_t max_calls = 4096; // concurrent calls from callers at this entry
    // Of the requests of one callers' connection that have no response yet; reading pauses beyond them.
    std::size_t max_pipelined_requests = 32;
    std::size_t max_pipelined_bytes = 256UL * 1024; // and of the responses that wait for an earlier one
    std::uint32_t max_reroutes = 0; // per call, after refusals that did not reach a backend server
    microseconds default_deadline = std::chrono::seconds{10}; // zero: callers must send a deadline
    microseconds max_deadline = std::chrono::minutes{5};
    microseconds shutdown_grace = std::chrono::seconds{60};
    microseconds drain_delay{}; // how long calls are still accepted after the request to stop

    /// @brief Bytes of requests and responses that the process holds at most: seven sixteenths of its memory.
    /// Besides them it needs what one body takes while it is converted, and what it holds without any.
    [[nodiscard]] std::size_t max_held_bytes() const noexcept { return this->memory_bytes / 16 * 7; }

    /// @brief Bytes of these that responses take at most while they arrive.
    [[nodiscard]] std::size_t max_response_bytes() const noexcept { return this->memory_bytes / 4; }
};

/// @brief Rate and timeout of load probes to the backend server.
struct probe_limits {
    double probes_per_second = 2.0;
    microseconds timeout = std::chrono::milliseconds{500};
};

/// @brief Limits of the whole fleet on retries, by target service.
struct retry_limits {
    double ratio = 0.0; // retries per first attempt
    double slack = 0.0; // burst of retries beyond the ratio, summed over all nodes
};

/// @brief What cold backend servers bear beyond the cold rate of their service.
struct cold_allowance {
    double overshoot = 1.0; // factor on the rate
    double slack = 0.0;     // calls in one second on top of that
};

/// @brief How nodes read the platform and how they watch the peer that relays settings to them.
struct reading_options {
    microseconds wait = std::chrono::seconds{20};       // longest wait for a change in one request
    microseconds pause = std::chrono::milliseconds{50}; // between two requests
    std::uint32_t readers_per_data_centre = 2;          // nodes that read; all others get settings from peers
    microseconds fallback_start = std::chrono::seconds{2}; // latest start when no seed sent settings
    microseconds compare_period = std::chrono::seconds{2}; // of comparisons with the parent and other readers
    microseconds parent_ping = std::chrono::seconds{2};    // silence of the parent before it is pinged
    // Silence before its connection becomes suspect and the node reads the platform itself.
    microseconds parent_suspect = std::chrono::seconds{3};
    microseconds apply = std::chrono::seconds{19}; // by when a change must be in force at every node
};

/// @brief Contents of a node's settings file.
struct node_settings {
    std::string host;
    std::string data_centre;
    address callers;
    address peers;        // where the node listens for other nodes
    address reachable_at; // the address of peers as published to other nodes
    address operators;
    address backend_server;
    std::vector<address> platform;
    std::vector<address> seeds;           // peer addresses to ask for settings while the host list is unknown
    std::set<std::string> accepted_hosts; // host names accepted besides the callers address
    std::string policy = "load_aware";
    std::string log_level = "info";
    std::uint64_t seed = 0; // of the random numbers; 0: chosen by the system
    node_limits limits;
    probe_limits probes;
    reading_options reading;
    std::optional<retry_limits> fleet_retries; // nothing: each workspace's retry budget applies
    cold_allowance cold_servers;
    std::string service;                             // of the backend server; empty when not configured
    std::map<std::string, std::string> data_centres; // configured region of each data centre, by name
};

/// @brief Names of the available selection policies.
[[nodiscard]] const std::vector<std::string>& policy_names();

/// @brief Parses and validates settings text; source is its name in errors.
[[nodiscard]] result<node_settings, settings_error> parse_node_settings(const std::string& text,
                                                                        const std::string& source);

/// @brief Reads, parses and validates a settings file; an unreadable file is an error.
[[nodiscard]] result<node_settings, settings_error> read_node_settings(const std::string& file);

} // namespace chervilturn
