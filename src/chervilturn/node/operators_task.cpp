// Responses on the operators' port: readiness, status page, metrics and explanations.
#include "chervilturn/node/operators_task.hpp"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace chervilturn {

namespace {

constexpr std::size_t status_part_count = 5; // entry, owner, links, control, crashes

void respond_json(http_exchange& exchange, std::uint16_t status, const nlohmann::json& body) {
    exchange.respond({.status = status,
                      .headers = {{"content-type", "application/json"}},
                      .body = body.dump(2, ' ', true, nlohmann::json::error_handler_t::replace) + '\n'});
}

/// @brief Collects the parts of a status page from the tasks and responds when the last one has arrived.
struct status_page {
    std::shared_ptr<http_exchange> exchange;
    nlohmann::json body;
    std::size_t part_count = 0;

    void add(const char* name, nlohmann::json part) {
        this->body[name] = std::move(part);
        if (++this->part_count == status_part_count) {
            respond_json(*this->exchange, 200, this->body);
        }
    }
};

/// @brief The decoded parameters of a request target, for instance /explain?team=a.
class query_string {
  public:
    explicit query_string(const std::string& target) {
        const auto start = target.find('?');
        const auto text = start == std::string::npos ? std::string{} : target.substr(start + 1);
        evhttp_parse_query_str(text.c_str(), &this->values);
    }
    query_string(const query_string&) = delete;
    query_string& operator=(const query_string&) = delete;
    ~query_string() { evhttp_clear_headers(&this->values); }

    /// @brief The value of a parameter; empty when there is none.
    [[nodiscard]] std::string get(const char* name) const {
        const auto* value = evhttp_find_header(&this->values, name);
        return value == nullptr ? std::string{} : std::string{value};
    }

  private:
    evkeyvalq values{};
};

} // namespace

operators_task::operators_task(const node_context& shared, std::function<bool()> ready_check)
    : context{&shared}, is_ready{std::move(ready_check)} {}

result<success, transport_error> operators_task::start() {
    auto listening = http_server::listen(
        *this->context->loop, this->context->settings.operators, {},
        [this](const std::shared_ptr<http_exchange>& exchange) { this->on_request(exchange); });
    if (!succeeded(listening)) {
        return error_of(listening);
    }
    this->server = value_of(std::move(listening));
    return success{};
}

void operators_task::on_request(const std::shared_ptr<http_exchange>& exchange) {
    const auto& target = exchange->request().target;
    const auto path = target.substr(0, target.find('?'));
    if (path == "/ready") {
        const bool serving = this->is_ready();
        respond_json(*exchange, serving ? 200 : 503, {{"ready", serving}});
    } else if (path == "/release" && exchange->request().method == "POST") {
        this->release(exchange);
    } else if (exchange->request().method != "GET") {
        respond_json(*exchange, 405, {{"error", "method is not GET"}});
    } else if (path == "/status") {
        this->respond_status(exchange);
    } else if (path == "/explain") {
        this->respond_explanation(exchange);
    } else if (path == "/metrics") {
        exchange->respond({.status = 200,
                           .headers = {{"content-type", "text/plain; version=0.0.4"}},
                           .body = this->context->stats->text()});
    } else {
        respond_json(*exchange, 404, {{"error", "path is not /ready, /status, /metrics or /explain"}});
    }
}

void operators_task::respond_status(const std::shared_ptr<http_exchange>& exchange) {
    const auto& settings = this->context->settings;
    auto page = std::make_shared<status_page>();
    page->exchange = exchange;
    page->body = {{"host", settings.host},
                  {"data_centre", settings.data_centre},
                  {"callers", to_string(settings.callers)},
                  {"peers", to_string(settings.reachable_at)},
                  {"incarnation", std::to_string(this->context->incarnation)}};
    const auto part_request = [page](const char* name) {
        return describe_request{[page, name](nlohmann::json body) { page->add(name, std::move(body)); }};
    };
    this->context->mailboxes->entry.post(part_request("entry"));
    this->context->mailboxes->owner.post(part_request("owner"));
    this->context->mailboxes->peer_client.post(part_request("links"));
    this->context->mailboxes->control.post(part_request("control"));
    this->context->mailboxes->crash_reports.post(part_request("crashes"));
}

void operators_task::release(const std::shared_ptr<http_exchange>& exchange) {
    const query_string query{exchange->request().target};
    this->context->mailboxes->crash_reports.post(release_request{
        .fingerprint = query.get("fingerprint"),
        .reply = [exchange](const nlohmann::json& body) { respond_json(*exchange, 200, body); }});
}

void operators_task::respond_explanation(const std::shared_ptr<http_exchange>& exchange) {
    const query_string query{exchange->request().target};
    this->context->mailboxes->entry.post(explain_request{
        .team = query.get("team"),
        .workspace = query.get("workspace"),
        .service = query.get("service"),
        .path = query.get("path"),
        .reply = [exchange](const nlohmann::json& body) { respond_json(*exchange, 200, body); }});
}

} // namespace chervilturn
