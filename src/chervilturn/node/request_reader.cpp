// Checks of callers' requests.
#include "chervilturn/node/request_reader.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace chervilturn {

namespace {

constexpr std::uint32_t max_depth = 16; // of nested calls; deeper ones are taken for a loop
constexpr std::int64_t max_extra_attempts = 1000;
constexpr std::size_t max_key_length = 200; // characters of an idempotency key
constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_misdirected = 421;
constexpr std::uint16_t status_unavailable = 503;

struct split_target {
    std::string team;
    std::string service;
    std::string path; // starts with "/"
};

[[nodiscard]] std::optional<split_target> split(const std::string& target) {
    const auto query = std::min(target.find('?'), target.size());
    const auto team_end = target.find('/', 1);
    if (!target.starts_with('/') || team_end == std::string::npos || team_end >= query) {
        return std::nullopt;
    }
    const auto service_end = std::min({target.find('/', team_end + 1), query});
    split_target parts{.team = target.substr(1, team_end - 1),
                       .service = target.substr(team_end + 1, service_end - team_end - 1),
                       .path = target.substr(service_end)};
    if (!parts.path.starts_with('/')) {
        parts.path.insert(0, 1, '/');
    }
    return parts;
}

[[nodiscard]] std::optional<std::int64_t> to_integer(std::string_view text) {
    std::int64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

struct number_limits {
    std::int64_t low;
    std::int64_t high;
};

// A whole number from a header; the fallback when the header is absent.
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
    const auto read = read_number(headers, name, {1, to_milliseconds(node.limits.max_deadline)}, fallback);
    if (!succeeded(read)) {
        return error_of(read);
    }
    if (value_of(read) == 0) {
        return request_error{.message = std::string{"header "} + name + " is absent"};
    }
    return microseconds{std::chrono::milliseconds{value_of(read)}};
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

// Headers that are this system's own, or that it writes anew for the backend server.
[[nodiscard]] bool is_replaced(const header& item) {
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
    std::erase_if(headers, [](const header& item) { return is_replaced(item) || is_hop_by_hop(item.name); });
    return std::move(headers);
}

/// @brief What settings say about the names in a request.
struct found_names {
    const service* target = nullptr;
    const workspace* customer = nullptr;
    const route* matched = nullptr;
};

[[nodiscard]] result<found_names, request_error> find_names(const model& settings, const split_target& parts,
                                                            const std::string& customer_name) {
    const auto* owner = settings.find_team(parts.team);
    if (owner == nullptr) {
        return not_found("team", parts.team);
    }
    const auto target = owner->services.find(parts.service);
    if (target == owner->services.end()) {
        return not_found("service", parts.service);
    }
    const auto customer = owner->workspaces.find(customer_name);
    if (customer == owner->workspaces.end()) {
        return not_found("workspace", customer_name);
    }
    const auto* matched = match_route(*owner, parts.service, parts.path);
    if (matched == nullptr) {
        return not_found("route for path", parts.path);
    }
    return found_names{&target->second, &customer->second, matched};
}

/// @brief What a request says about its call in headers.
struct call_headers {
    microseconds deadline{};
    idempotency_key key;
    std::uint32_t extra_attempts = 0;
    std::uint32_t depth = 0;
};

[[nodiscard]] result<call_headers, request_error> read_call_headers(const node_settings& node,
                                                                    const std::vector<header>& headers) {
    const auto deadline = read_deadline(node, headers);
    if (!succeeded(deadline)) {
        return error_of(deadline);
    }
    auto key = read_key(headers);
    if (!succeeded(key)) {
        return error_of(key);
    }
    const auto extra =
        read_number(headers, "chervilturn-extra-attempts", {0, max_extra_attempts}, max_extra_attempts);
    if (!succeeded(extra)) {
        return error_of(extra);
    }
    const auto depth = read_number(headers, "chervilturn-depth", {0, max_depth}, 0);
    if (!succeeded(depth)) {
        return error_of(depth);
    }
    return call_headers{.deadline = value_of(deadline),
                        .key = value_of(std::move(key)),
                        .extra_attempts = static_cast<std::uint32_t>(value_of(extra)),
                        .depth = static_cast<std::uint32_t>(value_of(depth))};
}

[[nodiscard]] accepted_request assemble(http_request&& request, split_target&& parts,
                                        const found_names& names, call_headers&& given) {
    accepted_request accepted;
    accepted.regions =
        common_regions(common_regions(names.customer->home_regions, names.matched->home_regions),
                       names.target->home_regions);
    accepted.retry_percent = names.customer->retry_percent;
    accepted.extra_attempts = given.extra_attempts;
    auto& made = accepted.original_call;
    made.team = std::move(parts.team);
    made.workspace = names.customer->name;
    made.service = std::move(parts.service);
    made.route = names.matched->name;
    made.urgent = names.matched->urgent;
    made.idempotent = names.matched->idempotent;
    made.remaining = given.deadline;
    made.depth = given.depth;
    made.key = std::move(given.key);
    made.method = std::move(request.method);
    made.target = std::move(parts.path);
    made.headers = forwarded_headers(std::move(request.headers));
    made.body = std::move(request.body);
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
    auto parts = split(request.target);
    if (!parts) {
        return request_error{.message = "path is not /TEAM/SERVICE/..."};
    }
    const std::string customer_name{find_header(request.headers, "chervilturn-workspace")};
    const auto names = find_names(*context.settings, *parts, customer_name);
    if (!succeeded(names)) {
        return error_of(names);
    }
    auto given = read_call_headers(*context.node, request.headers);
    if (!succeeded(given)) {
        return error_of(given);
    }
    return assemble(std::move(request), std::move(*parts), value_of(names), value_of(std::move(given)));
}

} // namespace chervilturn
