// Probing of the backend server on this host.
#include "chervilturn/node/backend_probe.hpp"

#include "chervilturn/observe/log.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr double max_burst = 2.0; // probes

[[nodiscard]] token_bucket_options rate_of(const node_settings& settings) {
    return {.tokens_per_second = settings.probes.probes_per_second,
            .capacity = std::min(max_burst, settings.probes.probes_per_second),
            .now = now_monotonic()};
}

} // namespace

backend_probe::backend_probe(const node_context& shared, http_client& used, warm_up_limit& taught,
                             report_handler handler)
    : context{&shared}, client{&used}, limit{&taught}, receiver{std::move(handler)},
      budget{rate_of(shared.settings)}, tick{*shared.loop, [this] { this->send(); }} {
    const std::chrono::duration<double> period{1.0 / shared.settings.probes.probes_per_second};
    this->tick.start_periodic(std::chrono::duration_cast<microseconds>(period));
}

void backend_probe::send() {
    const auto now = now_monotonic();
    if (this->path.empty() || this->in_progress || !this->budget.take(1.0, now)) {
        return;
    }
    this->in_progress = true;
    ++this->context->stats->counters().probes;
    const auto request = this->context->protocols.backend->probe(this->path);
    static_cast<void>(this->client->send(request, this->context->settings.probes.timeout,
                                         [this, now](const http_result& result) {
                                             this->in_progress = false;
                                             this->on_result(result, now);
                                         }));
}

void backend_probe::on_result(const http_result& result, instant sent_at) {
    auto& counters = this->context->stats->counters();
    counters.probe_micros += static_cast<std::uint64_t>(elapsed(sent_at, now_monotonic()).count());
    if (const auto* failure = std::get_if<http_failure>(&result)) {
        if (*failure == http_failure::refused) {
            this->limit->on_lost();
        }
        return;
    }
    const auto& response = std::get<http_response>(result);
    counters.probe_bytes += response.body.size();
    this->limit->on_reached();
    if (const auto report = this->context->protocols.backend->read_probe(response)) {
        this->learn(*report);
    }
}

void backend_probe::learn(const probe_report& report) {
    if (!report.boot_mark.empty()) {
        if (!this->boot_mark.empty() && report.boot_mark != this->boot_mark) {
            log_event(log_level::warn, "backend_server_restarted", {{"boot", report.boot_mark}});
            this->limit->on_restarted();
        }
        this->boot_mark = report.boot_mark;
    }
    this->limit->on_drain(report.draining);
    this->receiver(report);
}

} // namespace chervilturn
