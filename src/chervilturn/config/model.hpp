// Compiled model of the accepted settings: services, backend servers, workspaces, routes, data centres,
// hosts.
#pragma once

#include "chervilturn/core/address.hpp"
#include "chervilturn/core/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chervilturn {

/// @brief Regions where calls may be served; empty: all regions.
using region_set = std::set<std::string>;

/// @brief A backend server and the node that owns it.
struct backend_server {
    std::string name;
    address node; // peer address of the owner
    std::string data_centre;
    std::uint32_t slots = 1; // maximum number of concurrent calls
};

/// @brief A group of interchangeable backend servers and their settings.
struct service {
    std::string name;
    std::vector<backend_server> backend_servers;
    std::uint32_t max_queue = 64;      // calls that may wait at the owner of one backend server
    std::uint32_t cold_slots = 1;      // concurrent calls to a cold backend server
    std::uint32_t warm_up_answers = 8; // answers at normal latency before a slot is added
    // Calls per second to a cold backend server, may be a fraction; nothing: no limit.
    std::optional<double> cold_per_second;
    microseconds cold_start{}; // how long a server is cold after a start; zero: not assumed cold
    std::string probe_path = "/load";
    region_set home_regions;
};

/// @brief A workspace of a team: its share of capacity, its retry budget and its regions.
struct workspace {
    std::string name;
    std::uint32_t weight = 1;         // share of capacity relative to other workspaces
    std::uint32_t retry_percent = 10; // retries per hundred first attempts
    region_set home_regions;
};

/// @brief One service of a route's traffic split and its weight.
struct split_part {
    std::string service;
    double weight = 1.0; // share of the calls relative to the other parts, may be a fraction
};

/// @brief Matches calls by host and path prefix; sets their service and how they are handled.
struct route {
    std::string name;
    std::string service; // empty when the calls are split
    std::vector<split_part> split;
    // In lower case, of the caller's request; empty: the route is matched by service and path.
    std::string host;
    std::string prefix = "/";
    bool idempotent = false;
    bool urgent = false;
    microseconds timeout{};         // of a call; zero: none
    microseconds target_latency{};  // soft deadline of an answer; zero: none
    std::uint32_t max_attempts = 0; // first attempt and retries of one call; 0: not set
    region_set home_regions;
};

/// @brief A data centre as configured by one team or by the fleet team.
struct data_centre {
    std::string name;
    std::string region; // empty when the settings only take the data centre out of service
    bool in_service = true;
};

/// @brief Limits of callers' connections at an entry. Each overrides the node's own one while it is
/// published.
struct caller_limits {
    std::optional<std::size_t> max_header_bytes;
    std::optional<std::size_t> max_body_bytes;
    std::optional<microseconds> header_timeout;
    std::optional<microseconds> idle_timeout;
};

/// @brief The routes of a team. Immutable, and shared by all models between two changes of a route; a route
/// is shared until it changes itself.
struct route_table {
    std::map<std::string, std::shared_ptr<const route>> by_name;
    // By the host name of the caller's request, longest prefix first.
    std::unordered_map<std::string, std::vector<std::shared_ptr<const route>>> by_host;

    /// @brief Returns the route with this name; null when there is none.
    [[nodiscard]] const route* find(const std::string& name) const;
};

/// @brief Settings of one team, compiled from its accepted subtree.
struct team {
    std::string name;
    std::uint64_t revision = 0;
    std::map<std::string, service> services;
    std::map<std::string, workspace> workspaces;
    std::shared_ptr<const route_table> routes = std::make_shared<const route_table>(); // never null
    std::map<std::string, data_centre> data_centres;
    std::optional<caller_limits> limits;
};

/// @brief A host in the platform's host list.
struct host {
    std::string name;
    address peers; // where its node listens for other nodes
    std::string data_centre;
    bool leaving = false; // the host takes no new work
};

/// @brief Name of the team whose data centre settings apply to every team.
inline constexpr std::string_view fleet_team = "fleet";

/// @brief All accepted settings. Immutable after publication to the tasks.
struct model {
    std::map<std::string, team, std::less<>> teams;
    std::map<address, host> hosts; // by peer address
    std::uint64_t hosts_revision = 0;

    /// @brief Whether a data centre takes new calls for a team's services: neither the team nor the fleet
    /// team has taken it out of service.
    [[nodiscard]] bool in_service(const std::string& team_name, const std::string& data_centre_name) const;

    /// @brief Returns the region that the fleet team gives a data centre; empty when unknown.
    [[nodiscard]] std::string region_of(const std::string& data_centre_name) const;

    /// @brief Whether the host with this peer address is leaving; false for an unknown host.
    [[nodiscard]] bool is_leaving(const address& peers) const;

    /// @brief Returns the team with this name; null when there is none.
    [[nodiscard]] const team* find_team(std::string_view name) const;
};

/// @brief Whether a region set contains a region. An empty set admits every region, including an unknown one.
[[nodiscard]] bool admits(const region_set& regions, const std::string& region);

/// @brief Returns the service's route with the longest prefix that matches the path; null when none matches.
/// Ignores routes with a host name and routes with a traffic split.
[[nodiscard]] const route* match_route(const team& owning_team, const std::string& service_name,
                                       std::string_view path);

/// @brief A host name in lower case: host names are the same whatever their case (RFC 9110, 4.2.3).
[[nodiscard]] std::string normal_host_name(std::string_view name);

/// @brief Returns the host name's route with the longest prefix that matches the path; null when none
/// matches.
[[nodiscard]] const route* match_host(const team& owning_team, const std::string& host_name,
                                      std::string_view path);

} // namespace chervilturn
