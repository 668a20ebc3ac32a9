// Reading and validation of a team's leaves.
#include "chervilturn/config/team_compiler.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chervilturn {

namespace {

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

// The settings of a kind of leaf; nothing for an unknown kind.
template<typename Content>
[[nodiscard]] std::optional<Content> read_content(const leaf_name& path, object_reader& reader) {
    const auto& [kind, name] = path;
    if (kind == "services") {
        return read_service(reader, name);
    }
    if (kind == "workspaces") {
        return read_workspace(reader, name);
    }
    if (kind == "routes") {
        return read_route(reader, name);
    }
    if (kind == "backend_servers") {
        return read_server_leaf(reader, name);
    }
    if (kind == "limits" && name == "callers") {
        return read_caller_limits(reader);
    }
    if (kind == "data_centres") {
        return read_data_centre(reader, name);
    }
    return std::nullopt;
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

} // namespace

result<const team_compiler::leaf_content*, settings_error>
team_compiler::content_of(const std::string& team_name, const leaf& source) {
    const auto known = this->read_leaves.find(source.path);
    if (known != this->read_leaves.end() && known->second.value == source.value) {
        return &known->second.content;
    }
    ++this->read_count;
    const auto path = split_team_path(team_name, source.path);
    const auto json = nlohmann::json::parse(source.value, nullptr, false, true);
    if (json.is_discarded()) {
        return settings_error{source.path, "(root)", "the text", "valid JSON"};
    }
    if (path.name.empty() || path.name.find('/') != std::string::npos) {
        return settings_error{source.path, "(path)", "the path", "teams/TEAM/KIND/NAME"};
    }
    object_reader reader{json, source.path, ""};
    auto content = read_content<leaf_content>(path, reader);
    if (!content) {
        return settings_error{source.path, "(path)", '"' + path.kind + '"',
                              "one of \"services\", \"backend_servers\", \"workspaces\", \"routes\", "
                              "\"data_centres\", \"limits/callers\""};
    }
    if (auto error = reader.finish()) {
        return std::move(*error);
    }
    const auto stored = this->read_leaves.insert_or_assign(
        source.path, read_leaf{.value = source.value, .content = std::move(*content)});
    return &stored.first->second.content;
}

result<team, settings_error> team_compiler::compile(const std::string& name,
                                                    const std::map<std::string, leaf>& leaves) {
    team compiled_team{.name = name,
                       .services = {},
                       .workspaces = {},
                       .routes = {},
                       .data_centres = {},
                       .limits = {},
                       .routes_by_host = {}};
    server_leaves separate_servers;
    for (const auto& [path, source] : leaves) {
        if (source.removed) {
            continue;
        }
        const auto content = this->content_of(name, source);
        if (!succeeded(content)) {
            return error_of(content);
        }
        std::visit(
            overloaded{[&](const service& item) { compiled_team.services.emplace(item.name, item); },
                       [&](const workspace& item) { compiled_team.workspaces.emplace(item.name, item); },
                       [&](const route& item) { compiled_team.routes.emplace(item.name, item); },
                       [&](const server_leaf& item) { separate_servers.push_back(item); },
                       [&](const caller_limits& item) { compiled_team.limits = item; },
                       [&](const data_centre& item) { compiled_team.data_centres.emplace(item.name, item); }},
            *value_of(content));
    }
    this->forget_absent(leaves);
    attach_servers(compiled_team, std::move(separate_servers));
    index_routes_by_host(compiled_team);
    if (const auto error = check_references(compiled_team)) {
        return *error;
    }
    return compiled_team;
}

void team_compiler::forget_absent(const std::map<std::string, leaf>& leaves) {
    std::erase_if(this->read_leaves, [&leaves](const auto& read) {
        const auto found = leaves.find(read.first);
        return found == leaves.end() || found->second.removed;
    });
}

result<team, settings_error> check_team(const std::string& name, const std::vector<leaf>& leaves) {
    std::map<std::string, leaf> leaves_by_path;
    for (const auto& item : leaves) {
        leaves_by_path.emplace(item.path, item);
    }
    return team_compiler{}.compile(name, leaves_by_path);
}

} // namespace chervilturn
