// Sends probes to the backend server on this host and evaluates their results.
#include "chervilturn/node/backend_probe.hpp"

#include "chervilturn/observe/log.hpp"

namespace chervilturn {

namespace {

constexpr double max_burst = 2.0;         // regular probes; above 1, or each early timer would skip one
constexpr double max_confirm_burst = 4.0; // probes that confirm an end

[[nodiscard]] token_bucket_options make_bucket_options(const node_settings& settings, double burst) {
    return {
        .tokens_per_second = settings.probes.probes_per_second, .capacity = burst, .now = now_monotonic()};
}

} // namespace

backend_probe::backend_probe(const node_context& shared_context, http_client& http, warm_up_limit& limit,
                             report_handler handler, std::function<void()> end_handler)
    : context{&shared_context}, client{&http}, warm_up{&limit}, on_report{std::move(handler)},
      on_ended{std::move(end_handler)}, budget{make_bucket_options(shared_context.settings, max_burst)},
      confirm_budget{make_bucket_options(shared_context.settings, max_confirm_burst)},
      send_timer{*shared_context.loop, [this] { this->send_regular(); }} {
    const std::chrono::duration<double> period{1.0 / shared_context.settings.probes.probes_per_second};
    this->send_timer.start_periodic(std::chrono::duration_cast<microseconds>(period));
}

void backend_probe::set_path(const std::string& new_path) {
    this->path = new_path;
    if (this->awaits_first_result()) {
        this->send_regular();
    }
}

void backend_probe::send_regular() {
    if (this->confirm_again) {
        this->confirm();
    }
    if (this->path.empty() || this->in_progress || !this->budget.take(1.0, now_monotonic())) {
        return;
    }
    this->in_progress = true;
    this->send(connection_use::any, [this](const http_result&) { this->in_progress = false; });
}

void backend_probe::confirm() {
    this->confirm_again = true;
    if (this->path.empty() || this->confirming || !this->confirm_budget.take(1.0, now_monotonic())) {
        return;
    }
    this->confirm_again = false;
    this->confirming = true;
    this->send(connection_use::own, [this](const http_result& result) { this->on_confirmed(result); });
}

// A process that is ending may still accept the connection, and then cuts it.
void backend_probe::on_confirmed(const http_result& result) {
    this->confirming = false;
    const auto* failure = std::get_if<http_failure>(&result);
    if (this->confirm_again || (failure != nullptr && *failure == http_failure::cut)) {
        this->confirm();
    }
}

void backend_probe::send(connection_use use, std::function<void(const http_result&)> on_end) {
    const auto now = now_monotonic();
    ++this->context->stats->counters().probes;
    static_cast<void>(this->client->send(this->context->protocols.backend->probe(this->path),
                                         {.timeout = this->context->settings.probes.timeout,
                                          .new_connection = use == connection_use::own,
                                          .match = {},
                                          .id = {}},
                                         [this, now, on_end = std::move(on_end)](const http_result& result) {
                                             this->has_result = true;
                                             this->on_result(result, now);
                                             on_end(result);
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
    const bool unreadable = failure == http_failure::malformed || failure == http_failure::too_large ||
                            failure == http_failure::no_room;
    if (unreadable && !std::exchange(this->last_unreadable, true)) {
        log_event(log_level::warn, "probe_unreadable", {{"failure", to_string(failure)}});
    }
}

void backend_probe::apply_report(const probe_report& report, instant sent_at) {
    if (sent_at < this->last_reported) {
        return; // of a process that may have ended since
    }
    this->last_reported = sent_at;
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
