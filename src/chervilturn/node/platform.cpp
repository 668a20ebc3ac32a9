// Requests to the platform over HTTP and checks of its responses.
#include "chervilturn/node/platform.hpp"

#include "chervilturn/core/json.hpp"

#include <nlohmann/json.hpp>

namespace chervilturn {

namespace {

constexpr microseconds read_timeout = std::chrono::seconds{3};
constexpr std::size_t max_value_bytes = 1 << 20;
constexpr std::size_t max_response_bytes = 4 << 20;
constexpr std::uint16_t status_ok = 200;

[[nodiscard]] bool has_revision(const nlohmann::json& object) {
    return object.is_object() && object.contains("revision") && object["revision"].is_number_unsigned();
}

[[nodiscard]] bool has_path(const nlohmann::json& object) {
    return has_revision(object) && object.contains("path") && object["path"].is_string();
}

[[nodiscard]] result<watch_result, platform_error> parse_watch(const std::string& body) {
    const auto json = parse_json(body);
    if (!has_revision(json) || !json.contains("changed") || !json["changed"].is_array()) {
        return platform_error{"watch response has no revision or no list \"changed\""};
    }
    watch_result parsed{.revision = json["revision"].get<revision_number>(), .changed = {}};
    for (const auto& item : json["changed"]) {
        if (!has_path(item)) {
            return platform_error{"watch response lists a leaf without path or revision"};
        }
        parsed.changed.push_back({item["path"].get<std::string>(), item["revision"].get<revision_number>()});
    }
    return parsed;
}

[[nodiscard]] result<leaf, platform_error> parse_leaf(const std::string& body, const std::string& path) {
    const auto json = parse_json(body);
    if (!has_path(json) || json["path"].get<std::string>() != path) {
        return platform_error{"response for leaf \"" + path + "\" has another path or no revision"};
    }
    leaf parsed{.path = path, .revision = json["revision"].get<revision_number>(), .value = {}};
    const auto value = json.find("value");
    parsed.removed = value == json.end() || value->is_null();
    if (parsed.removed) {
        return parsed;
    }
    if (!value->is_string() || value->get_ref<const std::string&>().size() > max_value_bytes) {
        return platform_error{"leaf \"" + path + "\" has a value that is no string or is larger than 1 MiB"};
    }
    parsed.value = value->get<std::string>();
    return parsed;
}

} // namespace

http_platform::http_platform(event_loop& loop, const std::vector<address>& addresses) {
    for (const auto& endpoint : addresses) {
        this->clients.push_back(std::make_unique<http_client>(
            loop, endpoint, http_client_options{.max_body_bytes = max_response_bytes, .max_idle = 4}));
    }
}

void http_platform::watch(revision_number after, microseconds wait, watch_handler handler) {
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const auto target =
        "/v1/watch?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(milliseconds);
    this->get(target, wait + read_timeout,
              [handler = std::move(handler)](const result<std::string, platform_error>& body) {
                  if (succeeded(body)) {
                      handler(parse_watch(value_of(body)));
                  } else {
                      handler(error_of(body));
                  }
              });
}

void http_platform::read(const std::string& path, read_handler handler) {
    this->get("/v1/leaf/" + path, read_timeout,
              [path, handler = std::move(handler)](const result<std::string, platform_error>& body) {
                  if (succeeded(body)) {
                      handler(parse_leaf(value_of(body), path));
                  } else {
                      handler(error_of(body));
                  }
              });
}

void http_platform::get(const std::string& target, microseconds timeout, body_handler handler) {
    const http_request request{.method = "GET", .target = target, .headers = {}, .body = {}};
    auto& client = *this->clients.at(this->current_index);
    const auto used_index = this->current_index;
    static_cast<void>(client.send(
        request, timeout, [this, used_index, handler = std::move(handler)](const http_result& received) {
            const auto* response = std::get_if<http_response>(&received);
            if (response != nullptr && response->status == status_ok) {
                handler(response->body);
                return;
            }
            if (this->current_index == used_index) {
                this->current_index = (used_index + 1) % this->clients.size();
            }
            handler(platform_error{response == nullptr
                                       ? std::string{to_string(std::get<http_failure>(received))}
                                       : "status " + std::to_string(response->status)});
        }));
}

} // namespace chervilturn
