// Checking of team subtrees and acceptance by revision.
#include "chervilturn/config/tree.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chervilturn {

namespace {

constexpr std::string_view teams_prefix = "teams/";
constexpr integer_range slot_range{1, 10'000};
constexpr std::int64_t hour_in_milliseconds = 3'600'000;

struct leaf_name {
    std::string kind;
    std::string name;
};

[[nodiscard]] leaf_name split_team_path(const std::string& team_name, const std::string& path) {
    const auto start = teams_prefix.size() + team_name.size() + 1;
    const auto slash = path.find('/', start);
    if (slash == std::string::npos) {
        return {};
    }
    return {path.substr(start, slash - start), path.substr(slash + 1)};
}

[[nodiscard]] backend_server read_backend_server(object_reader& reader) {
    backend_server server;
    server.name = reader.text("name");
    server.node = reader.address_at("node");
    server.data_centre = reader.text("data_centre");
    server.slots = static_cast<std::uint32_t>(reader.integer("slots", slot_range));
    return server;
}

[[nodiscard]] service read_service(object_reader& reader, const std::string& name) {
    service read{.name = name, .backend_servers = {}, .home_regions = {}};
    std::set<std::string> names;
    std::set<address> nodes;
    for (auto& nested : reader.objects_or_none("backend_servers")) {
        auto server = read_backend_server(nested);
        if (!names.insert(server.name).second) {
            nested.reject("name", "a name used once in the service");
        }
        if (!nodes.insert(server.node).second) {
            nested.reject("node", "a node used once in the service");
        }
        static_cast<void>(nested.finish());
        reader.adopt(nested);
        read.backend_servers.push_back(std::move(server));
    }
    read.max_queue = static_cast<std::uint32_t>(reader.integer_or("max_queue", {0, 100'000}, 64));
    read.cold_slots = static_cast<std::uint32_t>(reader.integer_or("cold_slots", slot_range, 1));
    read.warm_up_answers = static_cast<std::uint32_t>(reader.integer_or("warm_up_answers", slot_range, 8));
    read.cold_per_second =
        static_cast<std::uint32_t>(reader.integer_or("cold_per_second", {0, 1'000'000}, 0));
    read.cold_start =
        reader.milliseconds_or("cold_start_ms", {0, hour_in_milliseconds}, microseconds::zero());
    read.probe_path = reader.text_or("probe_path", read.probe_path);
    read.home_regions = reader.names_or_none("home_regions");
    return read;
}

// A backend server with a leaf of its own, so that its coming and going leaves the service's leaf alone.
struct placed_server {
    std::string service;
    backend_server server;
};

[[nodiscard]] placed_server read_placed_server(object_reader& reader, const std::string& name) {
    placed_server read{.service = reader.text("service"), .server = {}};
    read.server.name = name;
    read.server.node = reader.address_at("node");
    read.server.data_centre = reader.text("data_centre");
    read.server.slots = static_cast<std::uint32_t>(reader.integer("slots", slot_range));
    return read;
}

[[nodiscard]] workspace read_workspace(object_reader& reader, const std::string& name) {
    workspace read{.name = name, .home_regions = {}};
    read.weight = static_cast<std::uint32_t>(reader.integer_or("weight", {1, 1000}, 1));
    read.retry_percent = static_cast<std::uint32_t>(reader.integer_or("retry_percent", {0, 100}, 10));
    read.home_regions = reader.names_or_none("home_regions");
    return read;
}

[[nodiscard]] route read_route(object_reader& reader, const std::string& name) {
    route read{.name = name, .service = {}, .split = {}, .host = {}, .home_regions = {}};
    for (auto& nested : reader.objects_or_none("split")) {
        read.split.push_back(
            {.service = nested.text("service"),
             .weight = static_cast<std::uint32_t>(nested.integer("weight", {0, 1'000'000}))});
        static_cast<void>(nested.finish());
        reader.adopt(nested);
    }
    if (read.split.empty()) {
        read.service = reader.text("service");
    }
    read.host = reader.text_or("host", "");
    read.timeout = reader.milliseconds_or("timeout_ms", {1, hour_in_milliseconds}, microseconds::zero());
    read.target_latency =
        reader.milliseconds_or("target_latency_ms", {1, hour_in_milliseconds}, microseconds::zero());
    read.max_attempts = static_cast<std::uint32_t>(reader.integer_or("max_attempts", {1, 100}, 0));
    read.prefix = reader.text_or("prefix", "/");
    if (!read.prefix.starts_with('/')) {
        reader.reject("prefix", "a path that starts with \"/\"");
    }
    read.idempotent = reader.boolean_or("idempotent", false);
    read.urgent = reader.boolean_or("urgent", false);
    read.home_regions = reader.names_or_none("home_regions");
    return read;
}

[[nodiscard]] data_centre read_data_centre(object_reader& reader, const std::string& name) {
    data_centre read{.name = name, .region = reader.text_or("region", "")};
    read.in_service = reader.one_of("state", {"in", "out"}) == "in";
    return read;
}

[[nodiscard]] caller_limits read_caller_limits(object_reader& reader) {
    constexpr integer_range bytes{1, 1 << 30};
    caller_limits read;
    read.max_header_bytes = static_cast<std::size_t>(reader.integer("max_header_bytes", bytes));
    read.max_body_bytes = static_cast<std::size_t>(reader.integer("max_body_bytes", bytes));
    read.header_timeout =
        std::chrono::milliseconds{reader.integer("header_timeout_ms", {1, hour_in_milliseconds})};
    read.idle_timeout =
        std::chrono::milliseconds{reader.integer("idle_timeout_ms", {1, hour_in_milliseconds})};
    return read;
}

[[nodiscard]] std::optional<settings_error> check_references(const team& checked) {
    for (const auto& [name, candidate] : checked.routes) {
        auto targets = candidate.split;
        if (targets.empty()) {
            targets.push_back({.service = candidate.service});
        }
        for (const auto& target : targets) {
            if (!checked.services.contains(target.service)) {
                return settings_error{"teams/" + checked.name + "/routes/" + name, "service",
                                      '"' + target.service + '"', "a service of the team"};
            }
        }
    }
    return std::nullopt;
}

using placed_servers = std::vector<placed_server>;

[[nodiscard]] std::optional<settings_error> add_leaf(team& target, placed_servers& placed,
                                                     const leaf& added) {
    const auto [kind, name] = split_team_path(target.name, added.path);
    const auto json = nlohmann::json::parse(added.value, nullptr, false, true);
    if (json.is_discarded()) {
        return settings_error{added.path, "(root)", "the text", "valid JSON"};
    }
    if (name.empty() || name.find('/') != std::string::npos) {
        return settings_error{added.path, "(path)", "the path", "teams/TEAM/KIND/NAME"};
    }
    object_reader reader{json, added.path, ""};
    if (kind == "services") {
        target.services.emplace(name, read_service(reader, name));
    } else if (kind == "workspaces") {
        target.workspaces.emplace(name, read_workspace(reader, name));
    } else if (kind == "routes") {
        target.routes.emplace(name, read_route(reader, name));
    } else if (kind == "backend_servers") {
        placed.push_back(read_placed_server(reader, name));
    } else if (kind == "limits" && name == "callers") {
        target.limits = read_caller_limits(reader);
    } else if (kind == "data_centres") {
        target.data_centres.emplace(name, read_data_centre(reader, name));
    } else {
        return settings_error{added.path, "(path)", '"' + kind + '"',
                              "one of \"services\", \"backend_servers\", \"workspaces\", \"routes\", "
                              "\"data_centres\", \"limits/callers\""};
    }
    return reader.finish();
}

// A backend server may be listed before its service is, or after it has gone: it then waits unused.
void place_servers(team& target, placed_servers&& placed) {
    for (auto& item : placed) {
        const auto found = target.services.find(item.service);
        if (found != target.services.end()) {
            found->second.backend_servers.push_back(std::move(item.server));
        }
    }
}

void index_routes(team& target) {
    for (const auto& [name, indexed] : target.routes) {
        if (!indexed.host.empty()) {
            target.routes_by_host[indexed.host].push_back(name);
        }
    }
    for (auto& [host_name, names] : target.routes_by_host) {
        std::sort(names.begin(), names.end(), [&target](const std::string& left, const std::string& right) {
            return target.routes.at(left).prefix.size() > target.routes.at(right).prefix.size();
        });
    }
}

using host_map = std::map<address, host>;

[[nodiscard]] host read_host(object_reader& reader) {
    host read{.name = reader.text("name"),
              .peers = reader.address_at("peers"),
              .data_centre = reader.text("data_centre")};
    read.leaving = reader.one_of("state", {"live", "leaving"}) == "leaving";
    return read;
}

[[nodiscard]] std::optional<settings_error> add_hosts(host_map& hosts, const leaf& listed) {
    const auto json = nlohmann::json::parse(listed.value, nullptr, false, true);
    if (json.is_discarded()) {
        return settings_error{listed.path, "(root)", "the text", "valid JSON"};
    }
    object_reader reader{json, listed.path, ""};
    for (auto& nested : reader.objects("hosts")) {
        auto read = read_host(nested);
        static_cast<void>(nested.finish());
        reader.adopt(nested);
        hosts[read.peers] = std::move(read);
    }
    return reader.finish();
}

[[nodiscard]] result<host_map, settings_error> read_hosts(const std::vector<leaf>& leaves) {
    host_map hosts;
    for (const auto& listed : leaves) {
        if (auto fault = add_hosts(hosts, listed)) {
            return *fault;
        }
    }
    if (hosts.empty()) {
        return settings_error{std::string{host_subtree}, "(root)", "an empty list", "at least one host"};
    }
    return hosts;
}

[[nodiscard]] std::vector<leaf> present_leaves(const std::map<std::string, leaf>& leaves) {
    std::vector<leaf> present;
    for (const auto& [path, held] : leaves) {
        if (!held.removed) {
            present.push_back(held);
        }
    }
    return present;
}

} // namespace

revision_number revision_of(const std::vector<subtree_revision>& digest, std::string_view subtree) noexcept {
    const auto held = std::find_if(digest.begin(), digest.end(), [subtree](const subtree_revision& entry) {
        return entry.subtree == subtree;
    });
    return held == digest.end() ? 0 : held->revision;
}

std::string subtree_of(std::string_view path) {
    if (path.starts_with(host_subtree) && path.size() > host_subtree.size() + 1 &&
        path[host_subtree.size()] == '/') {
        return std::string{host_subtree};
    }
    if (!path.starts_with(teams_prefix)) {
        return {};
    }
    const auto rest = path.substr(teams_prefix.size());
    const auto slash = rest.find('/');
    if (slash == std::string_view::npos || rest.substr(0, slash) == host_subtree) {
        return {};
    }
    return std::string{rest.substr(0, slash)};
}

result<team, settings_error> check_team(const std::string& name, const std::vector<leaf>& leaves) {
    team checked{.name = name,
                 .services = {},
                 .workspaces = {},
                 .routes = {},
                 .data_centres = {},
                 .limits = {},
                 .routes_by_host = {}};
    placed_servers placed;
    for (const auto& added : leaves) {
        if (const auto fault = add_leaf(checked, placed, added)) {
            return *fault;
        }
    }
    place_servers(checked, std::move(placed));
    index_routes(checked);
    if (const auto fault = check_references(checked)) {
        return *fault;
    }
    return checked;
}

offer_outcome settings_tree::offer(const subtree_snapshot& offered) {
    auto& state = this->subtrees[offered.subtree];
    const bool newer = offered.revision > state.candidate_revision;
    const bool merged = merge(state.candidate, offered);
    state.candidate_revision = std::max(state.candidate_revision, offered.revision);
    if (newer || merged) {
        auto fault = this->compile(offered.subtree, state.candidate, state.candidate_revision);
        if (!fault) {
            state.accepted = state.candidate;
            state.revision = state.candidate_revision;
            if (offered.complete) {
                state.deletions_known_since = std::max(state.deletions_known_since, offered.revision);
            }
            this->rejected.erase(offered.subtree);
            return offer_outcome::accepted;
        }
        this->rejected[offered.subtree] = {state.candidate_revision, std::move(*fault)};
    }
    if (this->accept_beside_broken(state, offered)) {
        return offer_outcome::accepted;
    }
    return newer || merged ? offer_outcome::rejected : offer_outcome::unchanged;
}

std::vector<subtree_revision> settings_tree::digest() const {
    std::vector<subtree_revision> revisions;
    for (const auto& [name, state] : this->subtrees) {
        if (state.revision > 0) {
            revisions.push_back({name, state.revision});
        }
    }
    return revisions;
}

std::vector<subtree_snapshot> settings_tree::newer_than(const std::vector<subtree_revision>& known) const {
    std::vector<subtree_snapshot> updates;
    for (const auto& [name, state] : this->subtrees) {
        const revision_number floor = revision_of(known, name);
        if (state.revision <= floor) {
            continue;
        }
        // A receiver older than the first deletion known here must drop what is not listed.
        const bool complete = floor < state.deletions_known_since;
        subtree_snapshot update{
            .subtree = name, .revision = state.revision, .complete = complete, .leaves = {}};
        for (const auto& [path, accepted] : state.accepted) {
            if (complete || accepted.revision > floor) {
                update.leaves.push_back(accepted);
            }
        }
        updates.push_back(std::move(update));
    }
    return updates;
}

// A peer's accepted leaves are taken even while this node holds a newer candidate that is broken.
bool settings_tree::accept_beside_broken(subtree_state& state, const subtree_snapshot& offered) {
    if (offered.revision <= state.revision) {
        return false;
    }
    auto leaves = state.accepted;
    if (!merge(leaves, offered) || this->compile(offered.subtree, leaves, offered.revision)) {
        return false;
    }
    state.accepted = std::move(leaves);
    state.revision = offered.revision;
    return true;
}

bool settings_tree::merge(std::map<std::string, leaf>& leaves, const subtree_snapshot& offered) {
    bool newer = false;
    for (const auto& incoming : offered.leaves) {
        if (subtree_of(incoming.path) != offered.subtree) {
            continue;
        }
        auto& held = leaves[incoming.path];
        if (incoming.revision > held.revision) {
            held = incoming;
            newer = true;
        }
    }
    return offered.complete ? remove_unlisted(leaves, offered) || newer : newer;
}

bool settings_tree::remove_unlisted(std::map<std::string, leaf>& leaves, const subtree_snapshot& complete) {
    std::set<std::string_view> listed;
    for (const auto& item : complete.leaves) {
        listed.insert(item.path);
    }
    bool removed = false;
    for (auto& [path, held] : leaves) {
        if (!held.removed && held.revision <= complete.revision && !listed.contains(path)) {
            held = {.path = path, .revision = complete.revision, .removed = true, .value = {}};
            removed = true;
        }
    }
    return removed;
}

std::optional<settings_error> settings_tree::compile(const std::string& subtree,
                                                     const std::map<std::string, leaf>& leaves,
                                                     revision_number revision) {
    auto next = std::make_shared<model>(*this->compiled);
    if (subtree == host_subtree) {
        auto hosts = read_hosts(present_leaves(leaves));
        if (!succeeded(hosts)) {
            return error_of(hosts);
        }
        next->hosts = value_of(std::move(hosts));
        next->hosts_revision = revision;
    } else {
        auto checked = check_team(subtree, present_leaves(leaves));
        if (!succeeded(checked)) {
            return error_of(checked);
        }
        auto accepted = value_of(std::move(checked));
        accepted.revision = revision;
        next->teams[subtree] = std::move(accepted);
    }
    this->compiled = std::move(next);
    return std::nullopt;
}

} // namespace chervilturn
