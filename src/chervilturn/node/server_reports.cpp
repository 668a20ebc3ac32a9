// Effects of probe reports and statements of the backend server.
#include "chervilturn/node/server_reports.hpp"

#include "chervilturn/node/owner_log.hpp"
#include "chervilturn/observe/log.hpp"

#include <utility>

namespace chervilturn {

void server_reports::on_probe(const probe_report& report, instant sent_at) {
    const auto previous_name = this->owner.state->server_name();
    if (this->owner.state->set_server_name(report.server_name)) {
        this->on_renamed(previous_name, report.server_name);
    }
    if (!report.boot_id.empty()) {
        this->owner.crashes->on_probed(sent_at); // the probe has reported another process before
    }
    this->probe_says_draining = report.draining;
    this->on_statement(report.statement, sent_at, "probe");
    this->update_draining();
    if (report.cold_left) {
        this->on_cold_left(*report.cold_left);
    }
    if (report.load) {
        this->owner.admission->set_slowdown(report.load->slowdown_percent, now_monotonic());
    }
}

void server_reports::on_call(const std::string& sent_to, const server_statement& stated, instant sent_at) {
    const auto& named = this->owner.state->server_name();
    if (named.empty() || sent_to == named) {
        this->on_statement(stated, sent_at, "call");
    }
}

void server_reports::on_renamed(const std::string& previous_name, const std::string& name) {
    const auto now = now_monotonic();
    log_event(log_level::info, "backend_server_named", {{"name", name}, {"before", previous_name}});
    this->owner.crashes->on_server_ended(previous_name);
    this->owner.admission->cold_limit().presume_cold(now);
    this->in_force.reset();
    this->owner.admission->stated_limit().set_rate(std::nullopt, now);
}

void server_reports::on_cold_left(microseconds cold_left) {
    const auto now = now_monotonic();
    auto& limit = this->owner.admission->cold_limit();
    if (limit.is_reported_cold(now) != (cold_left > microseconds::zero())) {
        log_event(log_level::info, "backend_server_cold",
                  {{"server", this->owner.state->server_name()},
                   {"cold_left_us", cold_left.count()},
                   {"calls_per_second", rate_text(limit.rate_limit())}});
    }
    limit.on_reported(cold_left, now);
}

void server_reports::on_statement(const server_statement& stated, instant sent_at, const char* source) {
    const auto previous_rate = this->in_force.calls_per_second();
    this->log_unreadable_rate(stated, source);
    const auto now = now_monotonic();
    if (!this->in_force.on_response(stated, sent_at, now)) {
        return;
    }
    const auto rate = this->in_force.calls_per_second();
    this->owner.admission->stated_limit().set_rate(rate, now);
    this->update_draining();
    log_event(log_level::info, "server_statement_changed",
              {{"server", this->owner.state->server_name()},
               {"calls_per_second", rate_text(rate)},
               {"before", rate_text(previous_rate)},
               {"leaving", this->in_force.leaving() ? "yes" : "no"},
               {"source", source}});
}

void server_reports::log_unreadable_rate(const server_statement& stated, const char* source) {
    const bool changed =
        std::exchange(this->last_unreadable_rate, stated.unreadable_rate) != stated.unreadable_rate;
    if (stated.unreadable_rate.empty()) {
        return;
    }
    ++this->context->stats->counters().unreadable_statements;
    if (changed) {
        log_event(log_level::warn, "server_rate_unreadable",
                  {{"server", this->owner.state->server_name()},
                   {"value", stated.unreadable_rate},
                   {"source", source}});
    }
}

// The backend server takes no new calls while its probe report or its own statement says so.
void server_reports::update_draining() {
    this->owner.admission->warm_up().on_drain(this->probe_says_draining || this->in_force.leaving());
}

} // namespace chervilturn
