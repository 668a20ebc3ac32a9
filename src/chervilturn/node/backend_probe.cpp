// Probing of the backend server on this host.
#include "chervilturn/node/backend_probe.hpp"

#include "chervilturn/observe/log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chervilturn {

namespace {

constexpr double max_burst = 2.0; // probes

[[nodiscard]] token_bucket_options rate_of(const node_settings& settings) {
    return {.tokens_per_second = settings.probes.probes_per_second,
            .capacity = std::min(max_burst, settings.probes.probes_per_second),
            .now = now_monotonic()};
}

} // namespace

backend_probe::backend_probe(const node_context& shared, http_client& used, warm_up_limit& taught)
    : context{&shared}, client{&used}, limit{&taught}, budget{rate_of(shared.settings)},
      tick{*shared.loop, [this] { this->send(); }} {
    const std::chrono::duration<double> period{1.0 / shared.settings.probes.probes_per_second};
    this->tick.start_periodic(std::chrono::duration_cast<microseconds>(period));
}

void backend_probe::send() {
    const auto now = now_monotonic();
    if (this->in_progress || !this->budget.take(1.0, now)) {
        return;
    }
    this->in_progress = true;
    ++this->context->measured->counters().probes;
    const http_request request{.method = "GET", .target = "/load", .headers = {}, .body = {}};
    static_cast<void>(this->client->send(request, this->context->settings.probes.timeout,
                                         [this, now](const http_result& result) {
                                             this->in_progress = false;
                                             this->on_result(result, now);
                                         }));
}

void backend_probe::on_result(const http_result& result, instant sent_at) {
    auto& counters = this->context->measured->counters();
    counters.probe_micros += static_cast<std::uint64_t>(elapsed(sent_at, now_monotonic()).count());
    if (const auto* failure = std::get_if<http_failure>(&result)) {
        if (*failure == http_failure::refused) {
            this->limit->on_lost();
        }
        return;
    }
    const auto& body = std::get<http_response>(result).body;
    counters.probe_bytes += body.size();
    this->limit->on_reached();
    this->learn(body);
}

void backend_probe::learn(const std::string& body) {
    const auto report = nlohmann::json::parse(body, nullptr, false);
    if (!report.is_object()) {
        return;
    }
    const auto boot = report.find("boot");
    if (boot != report.end() && boot->is_string()) {
        const auto mark = boot->get<std::string>();
        if (!this->boot_mark.empty() && mark != this->boot_mark) {
            log_event(log_level::warn, "backend_server_restarted", {{"boot", mark}});
            this->limit->on_restarted();
        }
        this->boot_mark = mark;
    }
    const auto draining = report.find("draining");
    if (draining != report.end() && draining->is_boolean()) {
        this->limit->on_drain(draining->get<bool>());
    }
}

} // namespace chervilturn
