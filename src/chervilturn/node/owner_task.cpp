// The owner's decisions in order: recognise repeats, check beliefs, settle the key, admit, dispatch.
#include "chervilturn/node/owner_task.hpp"

#include "chervilturn/observe/log.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr microseconds tick_period = std::chrono::milliseconds{10};
constexpr microseconds reply_margin = std::chrono::milliseconds{5}; // before the entry's own deadline
constexpr std::int64_t margin_share = 10; // the margin takes at most this part of the remaining time
constexpr microseconds long_pause = std::chrono::seconds{19}; // settings may have moved keys away and back

// The owner gives up a little earlier than the entry, so that its word on the outcome arrives in time.
[[nodiscard]] instant owner_deadline(instant now, microseconds remaining) {
    return now + remaining - std::min(reply_margin, remaining / margin_share);
}

[[nodiscard]] bool needs_key_settled(const call& checked) {
    return checked.key.given() && !checked.idempotent;
}

} // namespace

owner_task::owner_task(const node_context& shared)
    : context{&shared}, beliefs{shared.settings}, admission{admission_options{}, now_monotonic()},
      attempts{attempt_record_options{}}, keys{shared,
                                               [this](call&& received, const key_decision& decision) {
                                                   this->on_key_resolved(std::move(received), decision);
                                               }},
      backend{shared, this->admission}, pauses{now_monotonic()}, tick{*shared.loop,
                                                                      [this] { this->advance(); }},
      probe{shared, this->backend.http(), this->admission.warm_up(),
            [this](const probe_report& report) { this->on_probed(report); }} {
    shared.mailboxes->owner.on_message([this](owner_message&& received) {
        this->watch_for_pause();
        std::visit([this](auto&& item) { this->handle(std::forward<decltype(item)>(item)); },
                   std::move(received));
    });
    this->tick.start_periodic(tick_period);
}

void owner_task::handle(const settings_changed& message) {
    this->beliefs.accept(message.settings);
    this->keys.observe(*message.settings);
    this->configure_door();
    this->recheck_waiting();
}

void owner_task::handle(const settings_stale&) {
    this->beliefs.mark_stale();
    this->refuse_waiting(reason::settings_unconfirmed);
}

void owner_task::handle(const settings_confirmed&) {
    this->beliefs.confirm();
}

void owner_task::handle(const shutdown_started&) {
    this->beliefs.begin_shutdown();
    this->refuse_waiting(reason::shutting_down);
}

void owner_task::handle(call&& received) {
    if (this->repeat_known(received)) {
        return;
    }
    this->attempts.begin(received.attempt, now_monotonic() + received.remaining);
    const auto objection = this->beliefs.refusal_reason(received);
    if (objection != reason::none) {
        log_call(log_level::info, "call_refused",
                 {{"request", received.request_id},
                  {"entry", received.attempt.entry},
                  {"reason", to_string(objection)},
                  {"settings_in_doubt", this->beliefs.is_stale() ? "yes" : "no"}});
        this->reply(refuse(received.attempt, outcome::not_run, objection));
        return;
    }
    if (!needs_key_settled(received)) {
        this->admit(std::move(received));
        return;
    }
    const auto here = this->beliefs.resolve(received);
    const auto regions = home_regions_of(*here.owning_team, received);
    const auto home =
        key_home(home_candidates(this->beliefs.current_settings(), *here.owning_team, *here.target), regions,
                 scoped_key(received).text);
    if (home != this->context->settings.reachable_at) {
        this->reply(refuse(received.attempt, outcome::not_run, reason::not_the_key_home));
        return;
    }
    this->keys.resolve(std::move(received), *here.owning_team, *here.target, regions);
}

void owner_task::handle(const cancel& request) {
    const auto found = this->calls.find(request.attempt);
    if (found == this->calls.end()) {
        return;
    }
    auto& cancelled = found->second;
    if (!cancelled.running && cancelled.repeats.empty()) {
        static_cast<void>(this->admission.withdraw(request.attempt));
        this->finish(refuse(request.attempt, outcome::not_run, reason::cancelled));
        return;
    }
    log_call(log_level::info, "call_cancelled",
             {{"request", cancelled.received.request_id},
              {"running", cancelled.running ? "yes" : "no"},
              {"stopped", cancelled.received.idempotent ? "yes" : "no"}});
    if (cancelled.running && cancelled.received.idempotent) {
        this->backend.cancel(cancelled.running_call);
    }
}

void owner_task::handle(const inquiry& request) {
    switch (this->attempts.state_of(request.attempt)) {
    case attempt_state::absent:
        this->attempts.fence(request.attempt, now_monotonic());
        [[fallthrough]];
    case attempt_state::fenced:
        this->reply(refuse(request.attempt, outcome::not_run, reason::fenced));
        break;
    case attempt_state::in_progress:
        this->context->mailboxes->peer_server.post(return_pending{request.attempt});
        break;
    case attempt_state::ended:
        this->reply(this->attempts.cached_answer(request.attempt)
                        .value_or(refuse(request.attempt, outcome::unknown, reason::answer_too_large)));
        break;
    }
}

void owner_task::handle(const key_inquiry_received& asked) {
    const auto report = this->keys.report_and_fence(asked.inquiry);
    this->context->mailboxes->peer_server.post(
        return_key_report{asked.connection, {asked.inquiry.number, report}});
}

void owner_task::handle(const key_inquiry_reply& reply) {
    this->keys.on_reply(reply);
}

void owner_task::handle(const describe_request& request) {
    const auto load = this->admission.report();
    request.reply({{"state", std::string{name_of(this->admission.warm_up().state())}},
                   {"in_use", load.in_use},
                   {"queued", load.queued},
                   {"limit", load.limit},
                   {"normal_service_time_us", this->admission.warm_up().normal_service_time().count()},
                   {"recorded_keys", this->keys.recorded_keys()},
                   {"recorded_attempts", this->attempts.size()},
                   {"beliefs_in_doubt", this->beliefs.is_stale()},
                   {"shutting_down", this->beliefs.is_shutting_down()}});
}

// A pause is noticed at the first event after it, before that event's call can be dispatched.
void owner_task::watch_for_pause() {
    const auto pause = this->pauses.observe(now_monotonic());
    if (pause == microseconds::zero()) {
        return;
    }
    ++this->context->stats->counters().pauses;
    log_event(log_level::warn, "pause_noticed",
              {{"pause_us", pause.count()}, {"waiting_calls", this->admission.report().queued}});
    if (pause >= long_pause) {
        this->keys.restart();
    }
    this->handle(settings_stale{});
    this->context->mailboxes->control.post(settings_stale{});
}

bool owner_task::repeat_known(const call& received) {
    switch (this->attempts.state_of(received.attempt)) {
    case attempt_state::absent:
        return false;
    case attempt_state::fenced:
        this->reply(refuse(received.attempt, outcome::not_run, reason::fenced));
        break;
    case attempt_state::ended:
        if (const auto cached = this->attempts.cached_answer(received.attempt)) {
            this->reply(*cached);
        }
        break;
    case attempt_state::in_progress:
        break;
    }
    ++this->context->stats->counters().duplicate_attempts;
    return true;
}

void owner_task::on_key_resolved(call&& received, const key_decision& decision) {
    std::visit(overloaded{[&](const key_unseen&) { this->admit(std::move(received)); },
                          [&](const key_in_progress&) { this->join_repeat(received); },
                          [&](const key_answered& known) {
                              auto repeated = known.cached;
                              repeated.attempt = received.attempt;
                              this->reply(std::move(repeated));
                          },
                          [&](const key_refused& refusal) {
                              auto refused_key = refuse(received.attempt, refusal.result, refusal.why);
                              refused_key.key_never_ran = refusal.result == outcome::not_run;
                              this->reply(std::move(refused_key));
                          },
                          [&](const key_unresolved&) {
                              this->reply(
                                  refuse(received.attempt, outcome::unknown, reason::key_record_young));
                          }},
               decision);
}

void owner_task::join_repeat(const call& received) {
    const auto carrier = this->key_carriers.find(scoped_key(received).text);
    if (carrier == this->key_carriers.end()) {
        this->reply(refuse(received.attempt, outcome::unknown, reason::timed_out));
        return;
    }
    this->calls.at(carrier->second).repeats.push_back(received.attempt);
}

void owner_task::admit(call&& received) {
    const auto now = now_monotonic();
    const auto attempt = received.attempt;
    const auto objection = this->beliefs.refusal_reason(received);
    if (objection != reason::none) {
        this->reply(refuse(attempt, outcome::not_run, objection));
        return;
    }
    const auto here = this->beliefs.resolve(received);
    const auto customer = here.owning_team->workspaces.find(received.workspace);
    const queue_entry wanted{
        .attempt = attempt,
        .workspace = received.team + '/' + received.workspace,
        .weight = customer == here.owning_team->workspaces.end() ? 1 : customer->second.weight,
        .urgent = received.urgent,
        .last_resort = received.last_resort,
        .deadline = owner_deadline(now, received.remaining),
        .latest_start = received.until_soft_deadline > microseconds::zero()
                            ? now + received.until_soft_deadline - received.baseline_service_time
                            : instant::max(),
        .baseline_service_time = received.baseline_service_time};
    const auto admitted = this->admission.admit(wanted, now);
    this->log_admission(received, admitted);
    if (const auto* refusal = std::get_if<refused>(&admitted)) {
        auto refused_call = refuse(attempt, outcome::not_run, refusal->why);
        refused_call.retry_after = refusal->retry_after;
        refused_call.key_never_ran = needs_key_settled(received);
        this->reply(std::move(refused_call));
        return;
    }
    if (needs_key_settled(received)) {
        this->keys.begin(received);
        this->key_carriers[scoped_key(received).text] = attempt;
    }
    owned_call owned{.received = std::move(received),
                     .admitted = now,
                     .deadline = wanted.deadline,
                     .server_name = {},
                     .running_call = {},
                     .repeats = {}};
    this->calls.emplace(attempt, std::move(owned));
    if (const auto* waiting = std::get_if<queued>(&admitted)) {
        if (waiting->evicted) {
            this->finish(refuse(waiting->evicted->attempt, outcome::not_run, reason::queue_full));
        }
        return;
    }
    this->dispatch(attempt);
}

void owner_task::log_admission(const call& received, const admission_decision& admitted) const {
    const auto* refusal = std::get_if<refused>(&admitted);
    const auto load = this->admission.report();
    log_call(log_level::info,
             refusal != nullptr                         ? "call_refused"
             : std::holds_alternative<queued>(admitted) ? "call_queued"
                                                        : "call_admitted",
             {{"request", received.request_id},
              {"entry", received.attempt.entry},
              {"reason", to_string(refusal != nullptr ? refusal->why : reason::none)},
              {"state", name_of(this->admission.warm_up().state())},
              {"in_use", load.in_use},
              {"queued", load.queued},
              {"limit", load.limit},
              {"slowdown_percent", load.slowdown_percent},
              {"recent_service_us", this->admission.warm_up().recent_service_time().count()},
              {"remaining_us", received.remaining.count()}});
}

// A call that was admitted or waited, and is refused after all.
void owner_task::log_withdrawal(const call& received, reason why) const {
    const auto load = this->admission.report();
    log_call(log_level::info, "call_refused",
             {{"request", received.request_id},
              {"entry", received.attempt.entry},
              {"reason", to_string(why)},
              {"after", "waiting"},
              {"in_use", load.in_use},
              {"queued", load.queued},
              {"limit", load.limit},
              {"slowdown_percent", load.slowdown_percent}});
}

// The last check before a call may run.
void owner_task::dispatch(const attempt_id& attempt) {
    auto& owned = this->calls.at(attempt);
    const auto now = now_monotonic();
    const auto objection = this->beliefs.refusal_reason(owned.received);
    if (objection != reason::none || owned.deadline <= now) {
        this->admission.release(attempt);
        const auto why = objection != reason::none ? objection : reason::deadline_too_near;
        this->finish(refuse(attempt, outcome::not_run, why));
        return;
    }
    this->context->stats->record_step(
        {.service = owned.received.service, .urgent = owned.received.urgent, .step = call_step::queue},
        elapsed(owned.admitted, now));
    owned.server_name = this->beliefs.resolve(owned.received).server->name;
    owned.running = true;
    owned.running_call =
        this->backend.run({.sent = &owned.received,
                           .remaining = elapsed(now, owned.deadline),
                           .server_name = owned.server_name},
                          [this](answer ended) { this->on_backend_answer(std::move(ended)); });
}

void owner_task::on_backend_answer(answer ended) {
    this->watch_for_pause();
    const auto found = this->calls.find(ended.attempt);
    if (found == this->calls.end()) {
        return;
    }
    log_call(log_level::info, "backend_ended",
             {{"request", found->second.received.request_id},
              {"outcome", to_string(ended.result)},
              {"reason", to_string(ended.why)},
              {"status", ended.status},
              {"service_us", ended.service_time.count()}});
    const auto& received = found->second.received;
    this->context->stats->record_step(
        {.service = received.service, .urgent = received.urgent, .step = call_step::backend_server},
        ended.service_time);
    ended.backend_server = found->second.server_name;
    if (ended.why == reason::backend_renamed) {
        log_event(log_level::warn, "backend_server_renamed",
                  {{"request", received.request_id}, {"sent_to", ended.backend_server}});
        this->beliefs.reject_server_name(ended.backend_server);
    }
    this->finish(std::move(ended));
    this->advance();
}

void owner_task::on_probed(const probe_report& report) {
    const auto now = now_monotonic();
    const auto before = this->beliefs.server_name();
    if (this->beliefs.set_server_name(report.server_name)) {
        log_event(log_level::info, "backend_server_named",
                  {{"name", report.server_name}, {"before", before}});
        this->admission.rate_limit().presume_cold(now);
    }
    if (report.cold_left) {
        if (this->admission.rate_limit().is_cold(now) != (*report.cold_left > microseconds::zero())) {
            log_event(log_level::info, "backend_server_cold",
                      {{"server", this->beliefs.server_name()}, {"cold_left_us", report.cold_left->count()}});
        }
        this->admission.rate_limit().on_reported(*report.cold_left, now);
    }
    if (report.load) {
        this->admission.set_slowdown(report.load->slowdown_percent, now);
    }
}

void owner_task::refuse_waiting(reason why) {
    for (const auto& entry_waiting : this->admission.clear_queue()) {
        this->finish(refuse(entry_waiting.attempt, outcome::not_run, why));
    }
}

// New settings may forbid calls that wait; they are refused now rather than when their turn comes.
void owner_task::recheck_waiting() {
    std::vector<answer> refusals;
    for (const auto& [attempt, owned] : this->calls) {
        const auto objection = owned.running ? reason::none : this->beliefs.refusal_reason(owned.received);
        if (objection != reason::none) {
            refusals.push_back(refuse(attempt, outcome::not_run, objection));
        }
    }
    for (auto& refusal : refusals) {
        static_cast<void>(this->admission.withdraw(refusal.attempt));
        this->finish(std::move(refusal));
    }
}

// Ends a call that was admitted: settles its key and answers it and its repeats.
void owner_task::finish(answer ended) {
    const auto found = this->calls.find(ended.attempt);
    if (found == this->calls.end()) {
        return;
    }
    const auto owned = std::move(found->second);
    this->calls.erase(found);
    if (!owned.running) {
        this->log_withdrawal(owned.received, ended.why);
    }
    if (needs_key_settled(owned.received)) {
        this->key_carriers.erase(scoped_key(owned.received).text);
        this->keys.finish(owned.received, ended);
        ended.key_never_ran = ended.result == outcome::not_run;
    }
    for (const auto& repeat : owned.repeats) {
        auto copy = ended;
        copy.attempt = repeat;
        this->reply(std::move(copy));
    }
    this->reply(std::move(ended));
}

void owner_task::reply(answer ended) {
    ended.load = this->admission.report();
    ended.owner_host = this->context->settings.host;
    if (ended.result != outcome::completed) {
        ++this->context->stats->counters().refusals.at(static_cast<std::size_t>(ended.why));
    }
    this->attempts.finish(ended, now_monotonic());
    if (ended.attempt.entry == this->context->incarnation) {
        this->context->mailboxes->entry.post(attempt_ended{std::move(ended), true});
        return;
    }
    this->context->mailboxes->peer_server.post(return_answer{std::move(ended)});
}

void owner_task::advance() {
    this->watch_for_pause();
    const auto now = now_monotonic();
    const auto leaving = this->admission.advance(now);
    for (const auto& attempt : leaving.expired) {
        this->finish(refuse(attempt, outcome::not_run, reason::deadline_too_near));
    }
    for (const auto& attempt : leaving.shed) {
        this->finish(refuse(attempt, outcome::not_run, reason::backend_slow));
    }
    for (const auto& attempt : leaving.dispatch) {
        this->dispatch(attempt);
    }
    this->attempts.expire(now);
    this->keys.check_overdue(now);
    this->show_beliefs(now);
}

void owner_task::show_beliefs(instant now) {
    const auto load = this->admission.report();
    auto& shown = this->context->stats->gauges();
    shown.admission_limit = load.limit;
    shown.admission_in_use = load.in_use;
    shown.admission_queued = load.queued;
    shown.backend_server_cold = this->admission.rate_limit().is_cold(now);
}

void owner_task::configure_door() {
    for (const auto& [team_name, owner] : this->beliefs.current_settings().teams) {
        for (const auto& [service_name, target] : owner.services) {
            for (const auto& server : target.backend_servers) {
                if (server.node != this->context->settings.reachable_at) {
                    continue;
                }
                this->admission.configure(
                    {.warm_up = {.slots = server.slots,
                                 .cold_slots = target.cold_slots,
                                 .answers_per_slot = target.warm_up_answers},
                     .cold = {.calls_per_second = target.cold_per_second, .cold_start = target.cold_start},
                     .max_queue = target.max_queue},
                    now_monotonic());
                this->probe.set_path(target.probe_path);
                return;
            }
        }
    }
}

} // namespace chervilturn
