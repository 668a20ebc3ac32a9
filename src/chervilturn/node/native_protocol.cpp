// Responses to callers, requests to backend servers and probes of the native protocols.
#include "chervilturn/node/native_protocol.hpp"

#include "chervilturn/core/json.hpp"
#include "chervilturn/node/request_reader.hpp"

#include <nlohmann/json.hpp>

namespace chervilturn {

namespace {

constexpr std::uint16_t status_misdirected = 421;
constexpr std::uint16_t status_unavailable = 503;

[[nodiscard]] std::uint16_t status_for(const answer& ended) {
    constexpr std::uint16_t bad_request = 400;
    constexpr std::uint16_t conflict = 409;
    constexpr std::uint16_t bad_gateway = 502;
    constexpr std::uint16_t gateway_timeout = 504;
    if (ended.result == outcome::completed) {
        return ended.status == 0 ? conflict : ended.status;
    }
    if (ended.why == reason::bad_request) {
        return bad_request;
    }
    if (ended.why == reason::outside_home_regions) {
        return status_misdirected;
    }
    if (ended.result == outcome::not_run && ended.why != reason::request_held) {
        return status_unavailable;
    }
    return ended.why == reason::timed_out ? gateway_timeout : bad_gateway;
}

[[nodiscard]] bool is_refusal(const http_response& response) {
    return response.status == status_unavailable &&
           find_header(response.headers, "chervilturn-outcome") == to_string(outcome::not_run);
}

[[nodiscard]] server_statement statement_of(const http_response& response) {
    return read_statement(response.headers, {.calls_per_second = "chervilturn-calls-per-second",
                                             .leaving = "chervilturn-leaving"});
}

[[nodiscard]] http_response refusal_response(std::uint16_t status, outcome result, reason why,
                                             const std::string& message) {
    const nlohmann::json body{{"outcome", std::string{to_string(result)}},
                              {"reason", std::string{to_string(why)}},
                              {"message", message}};
    return {.status = status,
            .headers = {{"content-type", "application/json"},
                        {"chervilturn-outcome", std::string{to_string(result)}},
                        {"chervilturn-reason", std::string{to_string(why)}}},
            .body = body.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace) + '\n'};
}

} // namespace

result<accepted_request, request_error> native_caller_protocol::read(const request_context& context,
                                                                     http_request&& request) const {
    return read_request(context, std::move(request));
}

bool native_caller_protocol::is_idempotent(const request_context& context,
                                           const http_request& request) const {
    return is_idempotent_request(context, request);
}

std::string native_caller_protocol::request_id(const http_request& request) const {
    return std::string{find_header(request.headers, "chervilturn-request-id")};
}

http_response native_caller_protocol::refuse(const request_error& error) const {
    return refusal_response(error.status, outcome::not_run, error.why, error.message);
}

http_response native_caller_protocol::respond(answer&& ended, const answer_context& context) const {
    const bool has_answer = ended.result == outcome::completed && ended.status != 0;
    auto response = has_answer ? http_response{.status = ended.status,
                                               .headers = std::move(ended.headers),
                                               .body = std::move(ended.body),
                                               .held = std::move(ended.held)}
                               : refusal_response(status_for(ended), ended.result, ended.why, "");
    if (has_answer) {
        response.headers.push_back({"chervilturn-outcome", std::string{to_string(ended.result)}});
    }
    response.headers.push_back({"chervilturn-entry", context.entry_host});
    response.headers.push_back({"chervilturn-owner", ended.owner_host});
    response.headers.push_back({"chervilturn-backend-server", ended.backend_server});
    response.headers.push_back({"chervilturn-attempts", std::to_string(context.attempts)});
    return response;
}

http_request native_backend_protocol::request(const outgoing_call& outgoing) const {
    const auto& received = *outgoing.received;
    http_request request{.method = received.method,
                         .target = received.target,
                         .headers = received.headers,
                         .body = received.body};
    const auto remaining_ms = std::chrono::ceil<std::chrono::milliseconds>(outgoing.remaining).count();
    request.headers.push_back({"chervilturn-deadline-ms", std::to_string(remaining_ms)});
    request.headers.push_back({"chervilturn-extra-attempts", std::to_string(received.extra_attempts)});
    request.headers.push_back({"chervilturn-depth", std::to_string(received.depth + 1)});
    request.headers.push_back({"chervilturn-workspace", received.workspace});
    if (received.key.is_present()) {
        request.headers.push_back({"idempotency-key", received.key.text});
    }
    return request;
}

// Responses carry no request id. A refusal is the one response that must not be taken for a later call's.
response_match native_backend_protocol::match(const std::string&, const http_response& response) const {
    return is_refusal(response) ? response_match::unmarked : response_match::own;
}

backend_response native_backend_protocol::read(const http_response& response) const {
    return {.kind = is_refusal(response) ? response_kind::refused : response_kind::answered,
            .load = {},
            .statement = statement_of(response)};
}

http_request native_backend_protocol::probe(const std::string& path) const {
    return {.method = "GET", .target = path, .headers = {}, .body = {}};
}

std::optional<probe_report> native_backend_protocol::read_probe(const http_response& response) const {
    const auto document = parse_json(response.body);
    if (!document.is_object()) {
        return std::nullopt;
    }
    probe_report report;
    const auto boot = document.find("boot");
    if (boot != document.end() && boot->is_string()) {
        report.boot_id = boot->get<std::string>();
    }
    const auto draining = document.find("draining");
    report.draining = draining != document.end() && draining->is_boolean() && draining->get<bool>();
    report.statement = statement_of(response);
    return report;
}

node_protocols native_protocols() {
    return {
        .callers = std::make_shared<native_caller_protocol>(),
        .backend = std::make_shared<native_backend_protocol>(),
        .make_platform = [](event_loop& loop, const node_settings& settings) -> std::unique_ptr<platform> {
            if (settings.platform.empty()) {
                return nullptr;
            }
            return std::make_unique<http_platform>(loop, settings.platform);
        }};
}

} // namespace chervilturn
