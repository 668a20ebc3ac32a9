// Validation of subtrees and acceptance by revision.
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
    service parsed{.name = name, .backend_servers = {}, .home_regions = {}};
    std::set<std::string> names;
    std::set<address> nodes;
    for (auto& nested : reader.objects_or_none("backend_servers")) {
        auto server = read_backend_server(nested);
        if (!names.insert(server.name).second) {
            nested.reject("name", "a name that is unique in the service");
        }
        if (!nodes.insert(server.node).second) {
            nested.reject("node", "a node that is unique in the service");
        }
        static_cast<void>(nested.finish());
        reader.take_error(nested);
        parsed.backend_servers.push_back(std::move(server));
    }
    parsed.max_queue = static_cast<std::uint32_t>(reader.integer_or("max_queue", {0, 100'000}, 64));
    parsed.cold_slots = static_cast<std::uint32_t>(reader.integer_or("cold_slots", slot_range, 1));
    parsed.warm_up_answers = static_cast<std::uint32_t>(reader.integer_or("warm_up_answers", slot_range, 8));
    parsed.cold_per_second =
        static_cast<std::uint32_t>(reader.integer_or("cold_per_second", {0, 1'000'000}, 0));
    parsed.cold_start =
        reader.milliseconds_or("cold_start_ms", {0, hour_in_milliseconds}, microseconds::zero());
    parsed.probe_path = reader.text_or("probe_path", parsed.probe_path);
    parsed.home_regions = reader.names_or_none("home_regions");
    return parsed;
}

// A backend server defined by its own leaf, so that adding or removing it does not change the service's leaf.
struct server_leaf {
    std::string service;
    backend_server server;
};

[[nodiscard]] server_leaf read_server_leaf(object_reader& reader, const std::string& name) {
    server_leaf parsed{.service = reader.text("service"), .server = {}};
    parsed.server.name = name;
    parsed.server.node = reader.address_at("node");
    parsed.server.data_centre = reader.text("data_centre");
    parsed.server.slots = static_cast<std::uint32_t>(reader.integer("slots", slot_range));
    return parsed;
}

[[nodiscard]] workspace read_workspace(object_reader& reader, const std::string& name) {
    workspace parsed{.name = name, .home_regions = {}};
    parsed.weight = static_cast<std::uint32_t>(reader.integer_or("weight", {1, 1000}, 1));
    parsed.retry_percent = static_cast<std::uint32_t>(reader.integer_or("retry_percent", {0, 100}, 10));
    parsed.home_regions = reader.names_or_none("home_regions");
    return parsed;
}

[[nodiscard]] route read_route(object_reader& reader, const std::string& name) {
    route parsed{.name = name, .service = {}, .split = {}, .host = {}, .home_regions = {}};
    for (auto& nested : reader.objects_or_none("split")) {
        parsed.split.push_back(
            {.service = nested.text("service"),
             .weight = static_cast<std::uint32_t>(nested.integer("weight", {0, 1'000'000}))});
        static_cast<void>(nested.finish());
        reader.take_error(nested);
    }
    if (parsed.split.empty()) {
        parsed.service = reader.text("service");
    }
    parsed.host = reader.text_or("host", "");
    parsed.timeout = reader.milliseconds_or("timeout_ms", {1, hour_in_milliseconds}, microseconds::zero());
    parsed.target_latency =
        reader.milliseconds_or("target_latency_ms", {1, hour_in_milliseconds}, microseconds::zero());
    parsed.max_attempts = static_cast<std::uint32_t>(reader.integer_or("max_attempts", {1, 100}, 0));
    parsed.prefix = reader.text_or("prefix", "/");
    if (!parsed.prefix.starts_with('/')) {
        reader.reject("prefix", "a path that starts with \"/\"");
    }
    parsed.idempotent = reader.boolean_or("idempotent", false);
    parsed.urgent = reader.boolean_or("urgent", false);
    parsed.home_regions = reader.names_or_none("home_regions");
    return parsed;
}

[[nodiscard]] data_centre read_data_centre(object_reader& reader, const std::string& name) {
    data_centre parsed{.name = name, .region = reader.text_or("region", "")};
    parsed.in_service = reader.one_of("state", {"in", "out"}) == "in";
    return parsed;
}

[[nodiscard]] caller_limits read_caller_limits(object_reader& reader) {
    constexpr integer_range byte_range{1, 1 << 30};
    caller_limits parsed;
    parsed.max_header_bytes = static_cast<std::size_t>(reader.integer("max_header_bytes", byte_range));
    parsed.max_body_bytes = static_cast<std::size_t>(reader.integer("max_body_bytes", byte_range));
    parsed.header_timeout =
        std::chrono::milliseconds{reader.integer("header_timeout_ms", {1, hour_in_milliseconds})};
    parsed.idle_timeout =
        std::chrono::milliseconds{reader.integer("idle_timeout_ms", {1, hour_in_milliseconds})};
    return parsed;
}

[[nodiscard]] std::optional<settings_error> check_references(const team& compiled_team) {
    for (const auto& [name, checked_route] : compiled_team.routes) {
        auto targets = checked_route.split;
        if (targets.empty()) {
            targets.push_back({.service = checked_route.service});
        }
        for (const auto& target : targets) {
            if (!compiled_team.services.contains(target.service)) {
                return settings_error{"teams/" + compiled_team.name + "/routes/" + name, "service",
                                      '"' + target.service + '"', "a service of the team"};
            }
        }
    }
    return std::nullopt;
}

using server_leaves = std::vector<server_leaf>;

[[nodiscard]] std::optional<settings_error> add_leaf(team& target, server_leaves& separate_servers,
                                                     const leaf& source) {
    const auto [kind, name] = split_team_path(target.name, source.path);
    const auto json = nlohmann::json::parse(source.value, nullptr, false, true);
    if (json.is_discarded()) {
        return settings_error{source.path, "(root)", "the text", "valid JSON"};
    }
    if (name.empty() || name.find('/') != std::string::npos) {
        return settings_error{source.path, "(path)", "the path", "teams/TEAM/KIND/NAME"};
    }
    object_reader reader{json, source.path, ""};
    if (kind == "services") {
        target.services.emplace(name, read_service(reader, name));
    } else if (kind == "workspaces") {
        target.workspaces.emplace(name, read_workspace(reader, name));
    } else if (kind == "routes") {
        target.routes.emplace(name, read_route(reader, name));
    } else if (kind == "backend_servers") {
        separate_servers.push_back(read_server_leaf(reader, name));
    } else if (kind == "limits" && name == "callers") {
        target.limits = read_caller_limits(reader);
    } else if (kind == "data_centres") {
        target.data_centres.emplace(name, read_data_centre(reader, name));
    } else {
        return settings_error{source.path, "(path)", '"' + kind + '"',
                              "one of \"services\", \"backend_servers\", \"workspaces\", \"routes\", "
                              "\"data_centres\", \"limits/callers\""};
    }
    return reader.finish();
}

// Adds servers with their own leaf to their service. A server's leaf may be published before its service's
// leaf or remain after it; the server is ignored then.
void attach_servers(team& target, server_leaves&& separate_servers) {
    for (auto& item : separate_servers) {
        const auto found = target.services.find(item.service);
        if (found != target.services.end()) {
            found->second.backend_servers.push_back(std::move(item.server));
        }
    }
}

void index_routes_by_host(team& target) {
    for (const auto& [name, team_route] : target.routes) {
        if (!team_route.host.empty()) {
            target.routes_by_host[team_route.host].push_back(name);
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
    host parsed{.name = reader.text("name"),
                .peers = reader.address_at("peers"),
                .data_centre = reader.text("data_centre")};
    parsed.leaving = reader.one_of("state", {"live", "leaving"}) == "leaving";
    return parsed;
}

[[nodiscard]] std::optional<settings_error> add_hosts(host_map& hosts, const leaf& host_leaf) {
    const auto json = nlohmann::json::parse(host_leaf.value, nullptr, false, true);
    if (json.is_discarded()) {
        return settings_error{host_leaf.path, "(root)", "the text", "valid JSON"};
    }
    object_reader reader{json, host_leaf.path, ""};
    for (auto& nested : reader.objects("hosts")) {
        auto parsed = read_host(nested);
        static_cast<void>(nested.finish());
        reader.take_error(nested);
        hosts[parsed.peers] = std::move(parsed);
    }
    return reader.finish();
}

[[nodiscard]] result<host_map, settings_error> read_hosts(const std::vector<leaf>& leaves) {
    host_map hosts;
    for (const auto& host_leaf : leaves) {
        if (auto error = add_hosts(hosts, host_leaf)) {
            return *error;
        }
    }
    if (hosts.empty()) {
        return settings_error{std::string{host_subtree}, "(root)", "an empty list", "at least one host"};
    }
    return hosts;
}

[[nodiscard]] publication_version highest_version(const std::vector<leaf>& leaves) {
    publication_version highest = 0;
    for (const auto& item : leaves) {
        highest = std::max(highest, item.version);
    }
    return highest;
}

[[nodiscard]] std::vector<leaf> present_leaves(const std::map<std::string, leaf>& leaves) {
    std::vector<leaf> present;
    for (const auto& [path, stored] : leaves) {
        if (!stored.removed) {
            present.push_back(stored);
        }
    }
    return present;
}

} // namespace

bool is_newer(const leaf& state, const leaf& other) noexcept {
    const bool both_versioned = state.version > 0 && other.version > 0;
    if (both_versioned && state.version != other.version) {
        return state.version > other.version;
    }
    return state.revision > other.revision;
}

bool may_lack(const subtree_revision& known, const subtree_revision& other) noexcept {
    return known.revision < other.revision || known.version < other.version;
}

subtree_revision entry_of(const std::vector<subtree_revision>& digest, std::string_view subtree) {
    const auto listed = std::find_if(digest.begin(), digest.end(), [subtree](const subtree_revision& entry) {
        return entry.subtree == subtree;
    });
    return listed == digest.end() ? subtree_revision{.subtree = std::string{subtree}} : *listed;
}

revision_number revision_of(const std::vector<subtree_revision>& digest, std::string_view subtree) {
    return entry_of(digest, subtree).revision;
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
    team compiled_team{.name = name,
                       .services = {},
                       .workspaces = {},
                       .routes = {},
                       .data_centres = {},
                       .limits = {},
                       .routes_by_host = {}};
    server_leaves separate_servers;
    for (const auto& team_leaf : leaves) {
        if (const auto error = add_leaf(compiled_team, separate_servers, team_leaf)) {
            return *error;
        }
    }
    attach_servers(compiled_team, std::move(separate_servers));
    index_routes_by_host(compiled_team);
    if (const auto error = check_references(compiled_team)) {
        return *error;
    }
    return compiled_team;
}

offer_outcome settings_tree::offer(const subtree_snapshot& snapshot) {
    auto& state = this->states[snapshot.subtree];
    const bool newer = snapshot.revision > state.candidate_revision;
    const bool merged = merge(state, state.candidate, snapshot);
    state.candidate_revision = std::max(state.candidate_revision, snapshot.revision);
    if (newer || merged) {
        auto error = this->compile(snapshot.subtree, state.candidate, state.candidate_revision);
        if (!error) {
            accept(state, state.candidate, state.candidate_revision);
            if (snapshot.complete) {
                state.tombstones_since = std::max(state.tombstones_since, snapshot.revision);
            }
            this->rejected.erase(snapshot.subtree);
            return offer_outcome::accepted;
        }
        this->rejected[snapshot.subtree] = {state.candidate_revision, std::move(*error)};
    }
    if (this->accept_despite_rejected_candidate(state, snapshot)) {
        return offer_outcome::accepted;
    }
    return newer || merged ? offer_outcome::rejected : offer_outcome::unchanged;
}

std::vector<subtree_revision> settings_tree::digest() const {
    std::vector<subtree_revision> revisions;
    for (const auto& [name, state] : this->states) {
        if (state.revision > 0) {
            revisions.push_back({name, state.revision, state.version});
        }
    }
    return revisions;
}

std::vector<subtree_snapshot> settings_tree::newer_than(const std::vector<subtree_revision>& known) const {
    std::vector<subtree_snapshot> updates;
    for (const auto& [name, state] : this->states) {
        const auto receiver = entry_of(known, name);
        if (!may_lack(receiver, {.subtree = name, .revision = state.revision, .version = state.version})) {
            continue;
        }
        // A receiver with an older revision may have leaves whose deletion is not recorded here: it gets all
        // leaves and must drop the others.
        const bool complete = receiver.revision < state.tombstones_since;
        subtree_snapshot update{
            .subtree = name, .revision = state.revision, .complete = complete, .leaves = {}};
        for (const auto& [path, accepted] : state.accepted) {
            if (complete || accepted.revision > receiver.revision || accepted.version > receiver.version) {
                update.leaves.push_back(accepted);
            }
        }
        updates.push_back(std::move(update));
    }
    return updates;
}

// Merges a snapshot into the accepted leaves instead of the candidate. This accepts a peer's valid leaves
// even while this node has a newer candidate that was rejected.
bool settings_tree::accept_despite_rejected_candidate(subtree_state& state,
                                                      const subtree_snapshot& snapshot) {
    if (snapshot.revision <= state.revision && highest_version(snapshot.leaves) <= state.version) {
        return false;
    }
    auto leaves = state.accepted;
    const auto revision = std::max(state.revision, snapshot.revision);
    if (!merge(state, leaves, snapshot) || this->compile(snapshot.subtree, leaves, revision)) {
        return false;
    }
    accept(state, std::move(leaves), revision);
    return true;
}

void settings_tree::accept(subtree_state& state, std::map<std::string, leaf> leaves,
                           revision_number revision) {
    state.accepted = std::move(leaves);
    state.revision = revision;
    for (const auto& [path, accepted] : state.accepted) {
        state.version = std::max(state.version, accepted.version);
    }
}

bool settings_tree::is_known_absent(const subtree_state& state, const leaf& incoming) noexcept {
    return incoming.revision <= state.tombstones_since && incoming.version <= state.version;
}

bool settings_tree::merge(const subtree_state& state, std::map<std::string, leaf>& leaves,
                          const subtree_snapshot& snapshot) {
    bool newer = false;
    for (const auto& incoming : snapshot.leaves) {
        if (subtree_of(incoming.path) != snapshot.subtree) {
            continue;
        }
        const auto stored = leaves.find(incoming.path);
        const bool is_held = stored != leaves.end();
        const bool exists_here = is_held && !stored->second.removed;
        const bool is_accepted = (!is_held || is_newer(incoming, stored->second)) &&
                                 (exists_here || !is_known_absent(state, incoming));
        if (is_accepted) {
            leaves.insert_or_assign(incoming.path, incoming);
            newer = true;
        }
    }
    return snapshot.complete ? remove_unlisted(leaves, snapshot) || newer : newer;
}

bool settings_tree::remove_unlisted(std::map<std::string, leaf>& leaves, const subtree_snapshot& complete) {
    std::set<std::string_view> listed_paths; // of the leaves that exist at the snapshot's revision
    for (const auto& item : complete.leaves) {
        if (!item.removed) {
            listed_paths.insert(item.path);
        }
    }
    const auto version = highest_version(complete.leaves);
    bool removed = false;
    for (auto& [path, stored] : leaves) {
        const bool is_older = stored.revision <= complete.revision && stored.version <= version;
        if (!stored.removed && is_older && !listed_paths.contains(path)) {
            stored = {.path = path,
                      .revision = complete.revision,
                      .removed = true,
                      .value = {},
                      .version = stored.version == 0 ? 0 : version};
            removed = true;
        }
    }
    return removed;
}

std::optional<settings_error> settings_tree::compile(const std::string& subtree,
                                                     const std::map<std::string, leaf>& leaves,
                                                     revision_number revision) {
    auto next_model = std::make_shared<model>(*this->compiled);
    if (subtree == host_subtree) {
        auto hosts = read_hosts(present_leaves(leaves));
        if (!succeeded(hosts)) {
            return error_of(hosts);
        }
        next_model->hosts = value_of(std::move(hosts));
        next_model->hosts_revision = revision;
    } else {
        auto compiled_team = check_team(subtree, present_leaves(leaves));
        if (!succeeded(compiled_team)) {
            return error_of(compiled_team);
        }
        auto accepted = value_of(std::move(compiled_team));
        accepted.revision = revision;
        next_model->teams[subtree] = std::move(accepted);
    }
    this->compiled = std::move(next_model);
    return std::nullopt;
}

} // namespace chervilturn
