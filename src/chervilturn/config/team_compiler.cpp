// Reading and validation of a team's leaves.
#include "chervilturn/config/team_compiler.hpp"

#include "chervilturn/core/json.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chervilturn {

namespace {

constexpr integer_range slot_range{1, 1'000'000'000};
constexpr std::int64_t longest_milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(longest_setting).count();
// Zero is no time that a call may take; without a limit the member is absent.
constexpr integer_range timeout_range{1, longest_milliseconds};
constexpr number_range weight_range{0.0, 1e300}; // the sum of all parts stays finite
constexpr number_range rate_range{0.0, 1e9};     // calls per second

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
    service parsed{.name = name, .backend_servers = {}, .cold_per_second = {}, .home_regions = {}};
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
    if (reader.has("cold_per_second")) {
        parsed.cold_per_second = reader.number("cold_per_second", rate_range);
    }
    parsed.cold_start =
        reader.milliseconds_or("cold_start_ms", {0, longest_milliseconds}, microseconds::zero());
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
            {.service = nested.text("service"), .weight = nested.number("weight", weight_range)});
        static_cast<void>(nested.finish());
        reader.take_error(nested);
    }
    if (parsed.split.empty()) {
        parsed.service = reader.text("service");
    }
    parsed.host = normal_host_name(reader.text_or("host", ""));
    parsed.timeout = reader.milliseconds_or("timeout_ms", timeout_range, microseconds::zero());
    parsed.target_latency = reader.milliseconds_or("target_latency_ms", timeout_range, microseconds::zero());
    parsed.max_attempts = static_cast<std::uint32_t>(reader.integer_or("max_attempts", {1, UINT32_MAX}, 0));
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
    constexpr std::int64_t max_bytes = 1LL << 53U;
    const auto bytes_or_none = [&reader](const char* key, std::int64_t least) -> std::optional<std::size_t> {
        if (!reader.has(key)) {
            return std::nullopt;
        }
        return static_cast<std::size_t>(reader.integer(key, {least, max_bytes}));
    };
    const auto time_or_none = [&reader](const char* key) -> std::optional<microseconds> {
        if (!reader.has(key)) {
            return std::nullopt;
        }
        return std::chrono::milliseconds{reader.integer(key, timeout_range)};
    };
    return {.max_header_bytes = bytes_or_none("max_header_bytes", 1),
            .max_body_bytes = bytes_or_none("max_body_bytes", 0),
            .header_timeout = time_or_none("header_timeout_ms"),
            .idle_timeout = time_or_none("idle_timeout_ms")};
}

// The first service of a route which the team does not have.
[[nodiscard]] std::optional<settings_error> check_reference(const team& compiled_team, const route& checked) {
    const auto check = [&](const std::string& target) -> std::optional<settings_error> {
        if (compiled_team.services.contains(target)) {
            return std::nullopt;
        }
        return settings_error{"teams/" + compiled_team.name + "/routes/" + checked.name, "service",
                              '"' + target + '"', "a service of the team"};
    };
    if (checked.split.empty()) {
        return check(checked.service);
    }
    for (const auto& part : checked.split) {
        if (auto error = check(part.service)) {
            return error;
        }
    }
    return std::nullopt;
}

// The first route of a table that leads to a service which the team does not have.
[[nodiscard]] std::optional<settings_error> check_references(const team& compiled_team) {
    for (const auto& [name, checked] : compiled_team.routes->by_name) {
        if (auto error = check_reference(compiled_team, *checked)) {
            return error;
        }
    }
    return std::nullopt;
}

// All routes of a table that lead to a service which the team does not have.
[[nodiscard]] unreadable_leaves find_broken_references(const team& compiled_team) {
    unreadable_leaves found;
    for (const auto& [name, checked] : compiled_team.routes->by_name) {
        if (auto error = check_reference(compiled_team, *checked)) {
            auto path = error->source;
            found.emplace(std::move(path), unreadable_leaf{.error = std::move(*error)});
        }
    }
    return found;
}

[[nodiscard]] bool has_all_services_of(const team& other, const team& checked) {
    return std::all_of(other.services.begin(), other.services.end(),
                       [&checked](const auto& named) { return checked.services.contains(named.first); });
}

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
        return std::make_shared<const route>(read_route(reader, name));
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

// Fills a map with the items of the leaves whose path has a prefix, by name.
template<typename Item, typename Leaves>
void collect(const Leaves& leaves, const std::string& prefix, std::map<std::string, Item>& items) {
    items.clear();
    leaves.for_each(prefix, [&items](const auto& content) {
        const auto& item = std::get<Item>(content);
        items.emplace(item.name, item);
    });
}

[[nodiscard]] bool goes_before(const std::shared_ptr<const route>& left,
                               const std::shared_ptr<const route>& right) {
    return left->prefix.size() != right->prefix.size() ? left->prefix.size() > right->prefix.size()
                                                       : left->name < right->name;
}

} // namespace

result<team_compiler::leaf_content, settings_error> team_compiler::read(const std::string& team_name,
                                                                        const leaf& source) {
    const auto path = split_team_path(team_name, source.path);
    const auto json = parse_json(source.value, json_comments::allowed);
    if (json.is_discarded()) {
        return settings_error{source.path, "(root)", "the text", "valid JSON"};
    }
    if (path.name.empty()) {
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
    return std::move(*content);
}

std::optional<team_compiler::leaf_content> team_compiler::stand_in_for(const std::string& team_name,
                                                                       const leaf& source) {
    const auto path = split_team_path(team_name, source.path);
    const auto json = parse_json(source.value, json_comments::allowed);
    if (path.kind != "routes" || path.name.empty() || !json.is_object()) {
        return std::nullopt;
    }
    object_reader reader{json, source.path, ""};
    auto withheld = std::make_shared<route>();
    withheld->name = path.name;
    withheld->host = normal_host_name(reader.text("host"));
    withheld->prefix = reader.text("prefix");
    if (withheld->host.empty() || !withheld->prefix.starts_with('/')) {
        return std::nullopt;
    }
    return std::shared_ptr<const route>{std::move(withheld)};
}

unreadable_leaves team_compiler::unreadable() const {
    auto found = this->leaves.unreadable();
    found.insert(this->broken_references.begin(), this->broken_references.end());
    return found;
}

bool team_compiler::may_break_references(const team& next) const {
    return next.routes != this->last_valid.routes || !has_all_services_of(this->last_valid, next);
}

team team_compiler::compile_each(const std::string& name, const leaf_changes& changes) {
    this->leaves.update_each(
        changes, [&name](const leaf& source) { return team_compiler::read(name, source); },
        [&name](const leaf& source) { return team_compiler::stand_in_for(name, source); });
    auto next = this->assemble(name);
    if (!this->broken_references.empty() || this->may_break_references(next)) {
        this->broken_references = find_broken_references(next);
    }
    return next;
}

result<team, settings_error> team_compiler::compile(const std::string& name, const leaf_changes& changes) {
    if (this->acceptance == subtree_acceptance::each_leaf) {
        this->last_valid = this->compile_each(name, changes);
        return this->last_valid;
    }
    const auto error = this->leaves.update(
        changes, [&name](const leaf& source) { return team_compiler::read(name, source); });
    if (error) {
        return *error;
    }
    auto next = this->assemble(name);
    if (this->may_break_references(next)) {
        if (const auto reference_error = check_references(next)) {
            this->leaves.undo();
            return *reference_error;
        }
    }
    this->last_valid = std::move(next);
    return this->last_valid;
}

team team_compiler::assemble(const std::string& name) const {
    auto next = this->last_valid;
    next.name = name;
    std::set<std::string> changed_kinds;
    std::vector<std::string> changed_routes;
    for (const auto& path : this->leaves.updated_paths()) {
        auto changed = split_team_path(name, path);
        if (changed.kind == "routes") {
            changed_routes.push_back(std::move(changed.name));
        }
        changed_kinds.insert(std::move(changed.kind));
    }
    const auto prefix = std::string{teams_prefix} + name + '/';
    if (!changed_routes.empty()) {
        next.routes = this->assemble_routes(name, changed_routes);
    }
    if (changed_kinds.contains("services") || changed_kinds.contains("backend_servers")) {
        this->assemble_services(next);
    }
    if (changed_kinds.contains("workspaces")) {
        collect(this->leaves, prefix + "workspaces/", next.workspaces);
    }
    if (changed_kinds.contains("data_centres")) {
        collect(this->leaves, prefix + "data_centres/", next.data_centres);
    }
    if (changed_kinds.contains("limits")) {
        const auto* limits = this->leaves.find(prefix + "limits/callers");
        next.limits = limits == nullptr ? std::nullopt : std::optional{std::get<caller_limits>(*limits)};
    }
    return next;
}

// Adds servers with their own leaf to their service. A server's leaf may be published before its service's
// leaf or remain after it; the server is ignored then.
void team_compiler::assemble_services(team& target) const {
    const auto prefix = std::string{teams_prefix} + target.name + '/';
    collect(this->leaves, prefix + "services/", target.services);
    this->leaves.for_each(prefix + "backend_servers/", [&target](const leaf_content& content) {
        const auto& item = std::get<server_leaf>(content);
        const auto found = target.services.find(item.service);
        if (found != target.services.end()) {
            found->second.backend_servers.push_back(item.server);
        }
    });
}

std::shared_ptr<const route_table>
team_compiler::assemble_routes(const std::string& team_name,
                               const std::vector<std::string>& changed_names) const {
    auto table = std::make_shared<route_table>(*this->last_valid.routes);
    std::set<std::shared_ptr<const route>> outdated;
    std::set<std::string> changed_hosts;
    for (const auto& name : changed_names) {
        const auto present = table->by_name.find(name);
        if (present != table->by_name.end()) {
            changed_hosts.insert(present->second->host);
            outdated.insert(present->second);
            table->by_name.erase(present);
        }
        const auto* content = this->leaves.find(std::string{teams_prefix} + team_name + "/routes/" + name);
        if (content != nullptr) {
            const auto& changed = std::get<std::shared_ptr<const route>>(*content);
            changed_hosts.insert(changed->host);
            table->by_name.emplace(name, changed);
            table->by_host[changed->host].push_back(changed);
        }
    }
    for (const auto& host_name : changed_hosts) {
        auto& listed = table->by_host[host_name];
        std::erase_if(listed, [&outdated](const auto& item) { return outdated.contains(item); });
        std::sort(listed.begin(), listed.end(), goes_before);
    }
    table->by_host.erase(""); // routes that are matched by service
    std::erase_if(table->by_host, [](const auto& listed) { return listed.second.empty(); });
    return table;
}

result<team, settings_error> check_team(const std::string& name, const std::vector<leaf>& leaves) {
    leaf_changes changes;
    for (const auto& item : leaves) {
        changes.emplace(item.path, item);
    }
    return team_compiler{}.compile(name, changes);
}

} // namespace chervilturn
