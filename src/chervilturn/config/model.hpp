// What the accepted settings mean: services, backend servers, workspaces, routes, data centres and hosts.
#pragma once

#include "chervilturn/core/address.hpp"
#include "chervilturn/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chervilturn {

/// @brief Regions where calls may be served; empty means everywhere.
using region_set = std::set<std::string>;

/// @brief One backend server and the node that guards it.
struct backend_server {
    std::string name;
    address node; // peer address of the owner
    std::string data_centre;
    std::uint32_t slots = 1;
};

/// @brief A group of backend servers that answer the same calls.
struct service {
    std::string name;
    std::vector<backend_server> backend_servers;
    std::uint32_t max_queue = 64;
    std::uint32_t cold_slots = 1;      // concurrency that a cold backend server bears
    std::uint32_t warm_up_answers = 8; // answers at normal latency per added slot
    std::uint32_t cold_per_second = 0; // calls a second that a cold backend server bears; 0: not known
    microseconds cold_start{};         // how long a start stays cold; zero: not known
    std::string probe_path = "/load";
    region_set home_regions;
};

/// @brief A customer of a team, with its share and its regions.
struct workspace {
    std::string name;
    std::uint32_t weight = 1;
    std::uint32_t retry_percent = 10; // extra attempts per hundred first attempts
    region_set home_regions;
};

/// @brief One service of a route's traffic split.
struct split_part {
    std::string service;
    std::uint32_t weight = 1;
};

/// @brief Calls of a service below a path prefix and how they are treated.
struct route {
    std::string name;
    std::string service; // empty when the calls are split
    std::vector<split_part> split;
    std::string host; // of the callers' request; empty for any
    std::string prefix = "/";
    bool idempotent = false;
    bool urgent = false;
    microseconds timeout{};         // of a call; zero for none
    microseconds target_latency{};  // in which an answer has its full value; zero when not stated
    std::uint32_t max_attempts = 0; // backend servers that one call may be sent to; 0 when not stated
    region_set home_regions;
};

/// @brief A data centre as one team or the fleet sees it.
struct data_centre {
    std::string name;
    std::string region; // empty when the entry only takes the data centre out
    bool in_service = true;
};

/// @brief What callers' connections may ask of an entry. Applies while accepted settings hold it.
struct caller_limits {
    std::size_t max_header_bytes = 0;
    std::size_t max_body_bytes = 0;
    microseconds header_timeout{};
    microseconds idle_timeout{};
};

/// @brief One team's accepted subtree.
struct team {
    std::string name;
    std::uint64_t revision = 0;
    std::map<std::string, service> services;
    std::map<std::string, workspace> workspaces;
    std::map<std::string, route> routes;
    std::map<std::string, data_centre> data_centres;
    std::optional<caller_limits> limits;
    // Names of the routes of each host name, the longest prefix first.
    std::unordered_map<std::string, std::vector<std::string>> routes_by_host;
};

/// @brief A host as the platform's host list shows it.
struct host {
    std::string name;
    address peers;
    std::string data_centre;
    bool leaving = false;
};

/// @brief The team whose data centres apply to every team.
inline constexpr std::string_view fleet_team = "fleet";

/// @brief All accepted settings. Immutable once published to the tasks.
struct model {
    std::map<std::string, team, std::less<>> teams;
    std::map<address, host> hosts; // by peer address
    std::uint64_t hosts_revision = 0;

    /// @brief Whether new work may start in a data centre for a team's services.
    [[nodiscard]] bool in_service(const std::string& team_name, const std::string& data_centre_name) const;

    /// @brief The region of a data centre; empty when unknown.
    [[nodiscard]] std::string region_of(const std::string& data_centre_name) const;

    /// @brief Whether the host list shows the host at a peer address as leaving.
    [[nodiscard]] bool is_leaving(const address& peers) const;

    /// @brief Finds a team; null when there is none.
    [[nodiscard]] const team* find_team(std::string_view name) const;
};

/// @brief Whether a region set admits a region; an unknown region is admitted only by an empty set.
[[nodiscard]] bool admits(const region_set& regions, const std::string& region);

/// @brief The route with the longest prefix of a path within a service; null when none fits.
[[nodiscard]] const route* match_route(const team& owner, const std::string& service_name,
                                       std::string_view path);

/// @brief The route with the longest prefix of a path among those of a host name; null when none fits.
[[nodiscard]] const route* match_host(const team& owner, const std::string& host_name, std::string_view path);

} // namespace chervilturn
