// Parsing and checks of callers' requests.
#include "chervilturn/node/request_reader.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace chervilturn {

namespace {

constexpr std::uint32_t max_depth = 16;           // of nested calls; a deeper call is assumed to be a loop
constexpr std::int64_t max_extra_attempts = 1000; // also applies when the header is absent
constexpr std::size_t max_key_length = 200;       // characters of an idempotency key
constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_misdirected = 421;
constexpr std::uint16_t status_unavailable = 503;

struct target_parts {
    std::string team;
    std::string service;
    std::string path; // starts with "/"
};

[[nodiscard]] std::optional<target_parts> split_request_target(const std::string& target) {
    const auto query = std::min(target.find('?'), target.size());
    const auto team_end = target.find('/', 1);
    if (!target.starts_with('/') || team_end == std::string::npos || team_end >= query) {
        return std::nullopt;
    }
    const auto service_end = std::min({target.find('/', team_end + 1), query});
    target_parts parts{.team = target.substr(1, team_end - 1),
                       .service = target.substr(team_end + 1, service_end - team_end - 1),
                       .path = target.substr(service_end)};
    if (!parts.path.starts_with('/')) {
        parts.path.insert(0, 1, '/');
    }
    return parts;
}

[[nodiscard]] std::optional<std::int64_t> to_integer(std::string_view text) {
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

struct number_limits {
    std::int64_t low;
    std::int64_t high;
};

// Parses a whole number from a header; returns the fallback when the header is absent.
[[nodiscard]] result<std::int64_t, request_error> read_number(const std::vector<header>& headers,
                                                              const char* name, number_limits limits,
                                                              std::int64_t fallback) {
    const auto text = find_header(headers, name);
    if (text.empty()) {
        return fallback;
    }
    const auto value = to_integer(text);
    if (!value || *value < limits.low || *value > limits.high) {
        return request_error{.message = std::string{"header "} + name + " is not a whole number from " +
                                        std::to_string(limits.low) + " to " + std::to_string(limits.high)};
    }
    return *value;
}

[[nodiscard]] bool accepts_host(const node_settings& node, std::string_view host) {
    return host == to_string(node.callers) || host == node.callers.ip ||
           node.accepted_hosts.contains(std::string{host});
}

[[nodiscard]] request_error not_found(const std::string& kind, const std::string& name) {
    return {.status = status_not_found, .message = kind + " \"" + name + "\" does not exist"};
}

[[nodiscard]] result<microseconds, request_error> read_deadline(const node_settings& node,
                                                                const std::vector<header>& headers) {
    constexpr const char* name = "chervilturn-deadline-ms";
    const auto to_milliseconds = [](microseconds span) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    };
    const auto fallback = to_milliseconds(node.limits.default_deadline);
    const auto parsed = read_number(headers, name, {1, to_milliseconds(node.limits.max_deadline)}, fallback);
    if (!succeeded(parsed)) {
        return error_of(parsed);
    }
    if (value_of(parsed) == 0) {
        return request_error{.message = std::string{"header "} + name + " is absent"};
    }
    return microseconds{std::chrono::milliseconds{value_of(parsed)}};
}

[[nodiscard]] result<idempotency_key, request_error> read_key(const std::vector<header>& headers) {
    const auto text = find_header(headers, "idempotency-key");
    if (text.size() > max_key_length) {
        return request_error{.message = "header idempotency-key is longer than " +
                                        std::to_string(max_key_length) + " characters"};
    }
    const auto created = read_number(headers, "chervilturn-key-created-ms", {1, INT64_MAX / 1'000'000}, 0);
    if (!succeeded(created)) {
        return error_of(created);
    }
    idempotency_key key{.text = std::string{text}, .created = creation_time_of(text)};
    if (value_of(created) > 0) {
        key.created = wall_time{std::chrono::milliseconds{value_of(created)}};
    }
    return key;
}

// Whether a header belongs to this protocol or is set again in the request to the backend server.
[[nodiscard]] bool is_removed(const header& item) {
    constexpr std::array<const char*, 7> names{"host",
                                               "idempotency-key",
                                               "chervilturn-workspace",
                                               "chervilturn-deadline-ms",
                                               "chervilturn-depth",
                                               "chervilturn-extra-attempts",
                                               "chervilturn-key-created-ms"};
    return std::any_of(names.begin(), names.end(),
                       [&item](const char* name) { return is_same_name(item.name, name); });
}

[[nodiscard]] std::vector<header> forwarded_headers(std::vector<header>&& headers) {
    std::erase_if(headers, [](const header& item) { return is_removed(item) || is_hop_by_hop(item.name); });
    return std::move(headers);
}

/// @brief The entries of the settings that match a request.
struct matched_entries {
    const service* target = nullptr;
    const workspace* caller_workspace = nullptr;
    const route* matched_route = nullptr;
};

[[nodiscard]] result<matched_entries, request_error>
find_entries(const model& settings, const target_parts& parts, const std::string& workspace_name) {
    const auto* owning_team = settings.find_team(parts.team);
    if (owning_team == nullptr) {
        return not_found("team", parts.team);
    }
    const auto target = owning_team->services.find(parts.service);
    if (target == owning_team->services.end()) {
        return not_found("service", parts.service);
    }
    const auto caller_workspace = owning_team->workspaces.find(workspace_name);
    if (caller_workspace == owning_team->workspaces.end()) {
        return not_found("workspace", workspace_name);
    }
    const auto* matched_route = match_route(*owning_team, parts.service, parts.path);
    if (matched_route == nullptr) {
        return not_found("route for path", parts.path);
    }
    return matched_entries{&target->second, &caller_workspace->second, matched_route};
}

/// @brief The call's options from the headers of a request.
struct call_options {
    microseconds deadline{};
    idempotency_key key;
    std::uint32_t extra_attempts = 0;
    std::uint32_t depth = 0;
};

[[nodiscard]] result<call_options, request_error> read_call_options(const node_settings& node,
                                                                    const std::vector<header>& headers) {
    const auto deadline = read_deadline(node, headers);
    if (!succeeded(deadline)) {
        return error_of(deadline);
    }
    auto key = read_key(headers);
    if (!succeeded(key)) {
        return error_of(key);
    }
    const auto extra_attempts =
        read_number(headers, "chervilturn-extra-attempts", {0, max_extra_attempts}, max_extra_attempts);
    if (!succeeded(extra_attempts)) {
        return error_of(extra_attempts);
    }
    const auto depth = read_number(headers, "chervilturn-depth", {0, max_depth}, 0);
    if (!succeeded(depth)) {
        return error_of(depth);
    }
    return call_options{.deadline = value_of(deadline),
                        .key = value_of(std::move(key)),
                        .extra_attempts = static_cast<std::uint32_t>(value_of(extra_attempts)),
                        .depth = static_cast<std::uint32_t>(value_of(depth))};
}

[[nodiscard]] accepted_request assemble(http_request&& request, target_parts&& parts,
                                        const matched_entries& entries, call_options&& options) {
    accepted_request accepted;
    accepted.regions = common_regions(
        common_regions(entries.caller_workspace->home_regions, entries.matched_route->home_regions),
        entries.target->home_regions);
    accepted.retry_percent = entries.caller_workspace->retry_percent;
    accepted.extra_attempts = options.extra_attempts;
    auto& original = accepted.original_call;
    original.team = std::move(parts.team);
    original.workspace = entries.caller_workspace->name;
    original.service = std::move(parts.service);
    original.route = entries.matched_route->name;
    original.urgent = entries.matched_route->urgent;
    original.idempotent = entries.matched_route->idempotent;
    original.remaining = options.deadline;
    original.depth = options.depth;
    original.key = std::move(options.key);
    original.method = std::move(request.method);
    original.target = std::move(parts.path);
    original.headers = forwarded_headers(std::move(request.headers));
    original.body = std::move(request.body);
    return accepted;
}

} // namespace

result<accepted_request, request_error> read_request(const request_context& context, http_request&& request) {
    if (context.settings->teams.empty()) {
        return request_error{status_unavailable, reason::no_backend_server, "no settings accepted yet"};
    }
    if (!accepts_host(*context.node, find_header(request.headers, "host"))) {
        return request_error{status_misdirected, reason::bad_request,
                             "header host does not name this node; it listens on " +
                                 to_string(context.node->callers)};
    }
    auto parts = split_request_target(request.target);
    if (!parts) {
        return request_error{.message = "path is not /TEAM/SERVICE/..."};
    }
    const std::string workspace_name{find_header(request.headers, "chervilturn-workspace")};
    const auto entries = find_entries(*context.settings, *parts, workspace_name);
    if (!succeeded(entries)) {
        return error_of(entries);
    }
    auto options = read_call_options(*context.node, request.headers);
    if (!succeeded(options)) {
        return error_of(options);
    }
    return assemble(std::move(request), std::move(*parts), value_of(entries), value_of(std::move(options)));
}

bool is_idempotent_request(const request_context& context, const http_request& request) {
    const auto parts = split_request_target(request.target);
    const auto* owning_team = parts ? context.settings->find_team(parts->team) : nullptr;
    const auto* matched_route =
        owning_team == nullptr ? nullptr : match_route(*owning_team, parts->service, parts->path);
    return matched_route != nullptr && matched_route->idempotent;
}

} // namespace chervilturn
