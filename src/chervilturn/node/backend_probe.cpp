// Sends probes to the backend server on this host and evaluates their results.
#include "chervilturn/node/backend_probe.hpp"

#include "chervilturn/observe/log.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr double max_burst = 2.0; // probes

[[nodiscard]] token_bucket_options make_bucket_options(const node_settings& settings) {
    return {.tokens_per_second = settings.probes.probes_per_second,
            .capacity = std::min(max_burst, settings.probes.probes_per_second),
            .now = now_monotonic()};
}

} // namespace

backend_probe::backend_probe(const node_context& shared_context, http_client& http, warm_up_limit& limit,
                             report_handler handler, std::function<void()> end_handler)
    : context{&shared_context}, client{&http}, warm_up{&limit}, on_report{std::move(handler)},
      on_ended{std::move(end_handler)}, budget{make_bucket_options(shared_context.settings)},
      send_timer{*shared_context.loop, [this] { this->send(); }} {
    const std::chrono::duration<double> period{1.0 / shared_context.settings.probes.probes_per_second};
    this->send_timer.start_periodic(std::chrono::duration_cast<microseconds>(period));
}

void backend_probe::set_path(const std::string& new_path) {
    this->path = new_path;
    if (this->awaits_first_result()) {
        this->send();
    }
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
                                             this->has_result = true;
                                             this->on_result(result, now);
                                         }));
}

void backend_probe::on_result(const http_result& result, instant sent_at) {
    auto& counters = this->context->stats->counters();
    counters.probe_micros += static_cast<std::uint64_t>(elapsed(sent_at, now_monotonic()).count());
    if (const auto* failure = std::get_if<http_failure>(&result)) {
        if (*failure == http_failure::refused) {
            this->warm_up->on_lost();
            this->on_ended();
        }
        this->log_unreadable(*failure);
        return;
    }
    const auto& response = std::get<http_response>(result);
    counters.probe_bytes += response.body.size();
    this->warm_up->on_reached();
    this->last_unreadable = false;
    if (const auto report = this->context->protocols.backend->read_probe(response)) {
        this->apply_report(*report, sent_at);
    }
}

// Logs the first of several unreadable results in a row.
void backend_probe::log_unreadable(http_failure failure) {
    const bool unreadable = failure == http_failure::malformed || failure == http_failure::too_large;
    if (unreadable && !std::exchange(this->last_unreadable, true)) {
        log_event(log_level::warn, "probe_unreadable", {{"failure", to_string(failure)}});
    }
}

void backend_probe::apply_report(const probe_report& report, instant sent_at) {
    if (!report.boot_id.empty()) {
        if (!this->last_boot_id.empty() && report.boot_id != this->last_boot_id) {
            log_event(log_level::warn, "backend_server_restarted", {{"boot", report.boot_id}});
            this->warm_up->on_restarted();
            this->on_ended();
        }
        this->last_boot_id = report.boot_id;
    }
    this->on_report(report, sent_at);
}

} // namespace chervilturn
