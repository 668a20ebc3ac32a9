// Steps of a call at the owner: detect duplicates, check the settings, resolve the key, admit, dispatch.
#include "chervilturn/node/owner_task.hpp"

#include "chervilturn/node/owner_log.hpp"
#include "chervilturn/observe/log.hpp"
#include "chervilturn/transport/codec.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr microseconds advance_period = std::chrono::milliseconds{10};
// How much earlier than the entry the owner times out.
constexpr microseconds reply_margin = std::chrono::milliseconds{5};
constexpr std::int64_t reply_margin_divisor = 10; // the margin is at most a tenth of the remaining time
// Longest wait for room in a rate that is reported to entries, so that each asks again in time.
constexpr microseconds max_reported_wait = std::chrono::seconds{1};
// During a pause of this length, settings may have moved a key's home to another owner and back.
constexpr microseconds long_pause = std::chrono::seconds{19};

// The owner times out slightly before the entry, so that its answer reaches the entry in time.
[[nodiscard]] instant owner_deadline(instant now, microseconds remaining) {
    return now + remaining - std::min(reply_margin, remaining / reply_margin_divisor);
}

// Half of the slack covers the calls that an owner has dispatched before it was restarted.
[[nodiscard]] cold_rate_limit_options cold_options(const service& target, const cold_allowance& allowance) {
    constexpr double used_slack = 0.5;
    const double burst = std::max(1.0, allowance.slack * used_slack);
    return {.calls_per_second = target.cold_per_second,
            .overshoot = allowance.overshoot,
            .burst = burst,
            .slack = std::max(burst, allowance.slack),
            .cold_start = target.cold_start};
}

[[nodiscard]] bool needs_key_resolution(const call& received) {
    return received.key.is_present() && !received.idempotent;
}

} // namespace

owner_task::owner_task(const node_context& shared_context)
    : context{&shared_context}, state{shared_context.settings},
      admission{admission_options{}, now_monotonic()}, crashes{shared_context, this->state},
      reports{shared_context,
              {.state = &this->state, .admission = &this->admission, .crashes = &this->crashes}},
      attempts{attempt_record_options{}}, keys{shared_context,
                                               [this](call&& received, const key_decision& decision) {
                                                   this->on_key_resolved(std::move(received), decision);
                                               }},
      backend{shared_context,
              this->admission,
              [this](const attempt_id& attempt, const server_statement& stated, instant sent_at) {
                  this->on_call_statement(attempt, stated, sent_at);
              },
              {.on_cut = [this](const attempt_id& attempt) { this->on_call_cut(attempt); },
               .on_refused = [this] { this->crashes.on_server_ended(this->state.server_name()); }}},
      pauses{now_monotonic()}, advance_timer{*shared_context.loop, [this] { this->advance(); }},
      probe{shared_context, this->backend.http(), this->admission.warm_up(),
            [this](const probe_report& report, instant sent_at) { this->on_probe_report(report, sent_at); },
            [this] { this->crashes.on_server_ended(this->state.server_name()); }} {
    shared_context.mailboxes->owner.on_message([this](owner_message&& received) {
        this->check_for_pause();
        std::visit([this](auto&& item) { this->handle(std::forward<decltype(item)>(item)); },
                   std::move(received));
    });
    this->advance_timer.start_periodic(advance_period);
}

void owner_task::handle(const settings_changed& message) {
    const auto started_at = now_monotonic();
    this->state.accept(message.settings);
    this->keys.update_settings(*message.settings);
    this->configure_admission();
    this->state.set_probed(!this->probe.awaits_first_result());
    this->recheck_queued();
    log_event(log_level::info, "settings_applied",
              {{"task", "owner"}, {"took_us", elapsed(started_at, now_monotonic()).count()}});
}

void owner_task::handle(const settings_stale&) {
    this->state.mark_stale();
    this->refuse_queued(reason::settings_unconfirmed);
}

void owner_task::handle(const settings_confirmed&) {
    this->state.confirm();
}

void owner_task::handle(const suspects_changed& message) {
    this->crashes.update(message);
    this->recheck_queued();
}

void owner_task::handle(const shutdown_announced& message) {
    this->state.announce_shutdown(message.last_end);
}

void owner_task::handle(const shutdown_started&) {
    this->state.begin_shutdown();
    this->refuse_queued(reason::shutting_down);
}

void owner_task::handle(call&& received) {
    if (this->is_duplicate(received)) {
        return;
    }
    const auto now = now_monotonic();
    this->attempts.begin(received.attempt, now + received.remaining);
    const auto refusal_cause = this->arrival_refusal(received, now);
    if (refusal_cause != reason::none) {
        log_call(log_level::info, "call_refused",
                 {{"request", received.request_id},
                  {"entry", received.attempt.entry},
                  {"reason", to_string(refusal_cause)},
                  {"settings_in_doubt", this->state.is_stale() ? "yes" : "no"}});
        this->reply(refuse(received.attempt, outcome::not_run, refusal_cause));
        return;
    }
    if (!needs_key_resolution(received)) {
        this->admit(std::move(received));
        return;
    }
    const auto resolved = this->state.resolve(received);
    const auto regions = home_regions_of(*resolved.owning_team, received);
    const auto home =
        key_home(home_candidates(this->state.current_settings(), *resolved.owning_team, *resolved.target),
                 regions, scoped_key(received).text);
    if (home != this->context->settings.reachable_at) {
        this->reply(refuse(received.attempt, outcome::not_run, reason::not_the_key_home));
        return;
    }
    this->keys.resolve(std::move(received), *resolved.owning_team, *resolved.target, regions);
}

void owner_task::handle(const cancel& request) {
    const auto found = this->calls.find(request.attempt);
    if (found == this->calls.end()) {
        this->cancel_before_admission(request.attempt);
        return;
    }
    auto& cancelled = found->second;
    if (!cancelled.running && cancelled.duplicates.empty()) {
        this->refuse_unstarted(request.attempt, reason::cancelled);
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

void owner_task::handle(call_body&& received) {
    const auto arrival = this->bodies.arrive(received.attempt, received.offset, received.bytes);
    if (arrival == body_arrival::unwanted) {
        return; // the call has ended since the body was requested, or the part was requested again
    }
    if (arrival == body_arrival::partial) {
        this->request_body_part(received.attempt);
        return;
    }
    auto& owned = this->calls.at(received.attempt);
    if (arrival == body_arrival::wrong_size) {
        log_event(log_level::warn, "call_body_rejected",
                  {{"request", owned.received.request_id},
                   {"entry", received.attempt.entry},
                   {"offset", received.offset},
                   {"bytes", received.bytes.size()},
                   {"announced", owned.received.withheld_bytes}});
        this->refuse_unstarted(received.attempt, reason::body_not_received);
        return;
    }
    owned.received.body = this->bodies.take(received.attempt);
    owned.received.withheld_bytes = 0;
    const auto refusal_cause = this->refusal_reason(owned.received);
    if (refusal_cause != reason::none) {
        this->refuse_unstarted(received.attempt, refusal_cause);
    } else if (owned.has_slot) {
        this->dispatch(received.attempt);
    }
}

reason owner_task::arrival_refusal(const call& received, instant now) const {
    if (received.withheld_bytes > max_frame_bytes) {
        return reason::bad_request; // no message can carry it
    }
    return this->state.outlasts_node(received, now) ? reason::shutting_down : this->refusal_reason(received);
}

reason owner_task::refusal_reason(const call& received) const {
    const auto why = this->state.refusal_reason(received);
    return why == reason::none && this->crashes.is_held(received) ? reason::request_held : why;
}

void owner_task::on_call_cut(const attempt_id& attempt) {
    const auto found = this->calls.find(attempt);
    if (found != this->calls.end()) {
        this->crashes.on_call_cut(found->second.received);
        this->probe.confirm();
    }
}

// The call of the attempt waits for its key to be resolved, or has not arrived: it may be on its way on an
// earlier connection of its entry.
void owner_task::cancel_before_admission(const attempt_id& attempt) {
    const bool withdrawn = this->keys.withdraw(attempt);
    if (!withdrawn && this->attempts.state_of(attempt) != attempt_state::absent) {
        return;
    }
    if (!withdrawn) {
        this->attempts.fence(attempt, now_monotonic());
        log_call(log_level::info, "attempt_fenced",
                 {{"entry", attempt.entry}, {"sequence", attempt.sequence}, {"because", "cancelled"}});
    }
    this->reply(refuse(attempt, outcome::not_run, reason::cancelled));
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
        if (this->bodies.contains(request.attempt)) { // the request for it may be lost with its connection
            this->request_body_part(request.attempt);
        }
        break;
    case attempt_state::ended:
        this->reply(this->attempts.cached_answer(request.attempt)
                        .value_or(refuse(request.attempt, outcome::unknown, reason::answer_too_large)));
        break;
    }
}

void owner_task::handle(const key_inquiry_received& request) {
    const auto report = this->keys.report_and_fence(request.inquiry);
    this->context->mailboxes->peer_server.post(
        return_key_report{request.connection, {request.inquiry.number, report}});
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
                   {"beliefs_in_doubt", this->state.is_stale()},
                   {"shutting_down", this->state.is_shutting_down()},
                   {"stated_rate", rate_text(this->reports.statements().calls_per_second())},
                   {"leaving", this->reports.statements().leaving()}});
}

// Runs before each message, backend answer and queue advance, so that no call is dispatched with settings
// from before a pause.
void owner_task::check_for_pause() {
    const auto pause = this->pauses.check(now_monotonic());
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

bool owner_task::is_duplicate(const call& received) {
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
                          [&](const key_in_progress&) { this->join_duplicate(received); },
                          [&](const key_answered& earlier) {
                              auto duplicate_answer = earlier.cached;
                              duplicate_answer.attempt = received.attempt;
                              this->reply(std::move(duplicate_answer));
                          },
                          [&](const key_refused& refusal) {
                              auto key_refusal = refuse(received.attempt, refusal.result, refusal.why);
                              key_refusal.key_never_ran = refusal.result == outcome::not_run;
                              this->reply(std::move(key_refusal));
                          },
                          [&](const key_unresolved&) {
                              this->reply(
                                  refuse(received.attempt, outcome::unknown, reason::key_record_young));
                          }},
               decision);
}

void owner_task::join_duplicate(const call& received) {
    const auto in_progress_attempt = this->attempts_by_key.find(scoped_key(received).text);
    if (in_progress_attempt == this->attempts_by_key.end()) {
        this->reply(refuse(received.attempt, outcome::unknown, reason::timed_out));
        return;
    }
    this->calls.at(in_progress_attempt->second).duplicates.push_back(received.attempt);
}

void owner_task::admit(call&& received) {
    const auto now = now_monotonic();
    const auto attempt = received.attempt;
    const auto refusal_cause = needs_key_resolution(received) ? this->refusal_reason(received)
                                                              : this->state.refusal_reason(received);
    if (refusal_cause != reason::none) {
        this->reply(refuse(attempt, outcome::not_run, refusal_cause));
        return;
    }
    const auto resolved = this->state.resolve(received);
    const auto workspace_entry = resolved.owning_team->workspaces.find(received.workspace);
    const queue_entry new_entry{
        .attempt = attempt,
        .workspace = received.team + '/' + received.workspace,
        .weight =
            workspace_entry == resolved.owning_team->workspaces.end() ? 1 : workspace_entry->second.weight,
        .nested = received.depth > 0,
        .urgent = received.urgent,
        .last_resort = received.last_resort,
        .deadline = owner_deadline(now, received.remaining),
        .latest_start = received.until_soft_deadline > microseconds::zero()
                            ? now + received.until_soft_deadline - received.baseline_service_time
                            : instant::max(),
        .baseline_service_time = received.baseline_service_time};
    const auto decision = this->admission.admit(new_entry, now);
    log_admission(received, decision, this->admission, this->reports.statements());
    if (const auto* refusal = std::get_if<refused>(&decision)) {
        auto refusal_answer = refuse(attempt, outcome::not_run, refusal->why);
        refusal_answer.retry_after = refusal->retry_after;
        refusal_answer.key_never_ran = needs_key_resolution(received);
        this->reply(std::move(refusal_answer));
        return;
    }
    if (needs_key_resolution(received)) {
        this->keys.begin(received);
        this->attempts_by_key[scoped_key(received).text] = attempt;
    }
    const bool is_kept = this->add_admitted(std::move(received), new_entry.deadline, now);
    if (const auto* queue_decision = std::get_if<queued>(&decision)) {
        if (queue_decision->evicted) {
            this->finish(refuse(queue_decision->evicted->attempt, outcome::not_run, reason::queue_full));
        }
        return;
    }
    if (is_kept) {
        this->dispatch(attempt);
    }
}

// An admitted call takes a slot or a place in the queue, so the body that its entry has withheld is requested
// now and is here by the time that a queued call starts. Without room for the body the call is refused.
bool owner_task::add_admitted(call&& received, instant deadline, instant now) {
    const auto attempt = received.attempt;
    owned_call new_call{.received = std::move(received),
                        .admitted_at = now,
                        .deadline = deadline,
                        .server_name = {},
                        .running_call = {},
                        .duplicates = {}};
    const auto withheld_bytes = new_call.received.withheld_bytes;
    this->calls.emplace(attempt, std::move(new_call));
    if (withheld_bytes == 0) {
        return true;
    }
    auto share = this->draw_for_body(withheld_bytes);
    if (this->context->bodies != nullptr && share == nullptr) {
        this->refuse_unstarted(attempt, reason::memory_full);
        return false;
    }
    this->bodies.expect(attempt, withheld_bytes, std::move(share), now);
    this->request_body_part(attempt);
    return true;
}

// Null without room, and without a budget.
std::shared_ptr<byte_share> owner_task::draw_for_body(std::size_t bytes) {
    if (this->context->bodies == nullptr) {
        return nullptr;
    }
    auto share = std::make_shared<byte_share>(
        *this->context->bodies, [] {}, share_kind::request);
    if (share->grow_to(bytes) != byte_grant::granted) {
        return nullptr;
    }
    share->complete(bytes);
    return share;
}

void owner_task::request_body_part(const attempt_id& attempt) {
    const auto part = this->bodies.next_part(attempt);
    this->context->mailboxes->peer_server.post(
        request_body{{.attempt = attempt, .offset = part.offset, .length = part.length}});
}

// Repeats the check of the settings and the deadline, then sends the call to the backend server. A call that
// waits for its body keeps its slot.
void owner_task::dispatch(const attempt_id& attempt) {
    auto& owned = this->calls.at(attempt);
    owned.has_slot = true;
    if (this->bodies.contains(attempt)) {
        return;
    }
    const auto now = now_monotonic();
    const auto refusal_cause = this->state.refusal_reason(owned.received);
    if (refusal_cause != reason::none || owned.deadline <= now) {
        this->admission.release(attempt);
        const auto end_reason = refusal_cause != reason::none ? refusal_cause : reason::deadline_too_near;
        this->finish(refuse(attempt, outcome::not_run, end_reason));
        return;
    }
    this->context->stats->record_step(
        {.service = owned.received.service, .urgent = owned.received.urgent, .step = call_step::queue},
        elapsed(owned.admitted_at, now));
    owned.server_name = this->state.resolve(owned.received).server->name;
    owned.running = true;
    owned.running_call =
        this->backend.run({.received = &owned.received,
                           .remaining = elapsed(now, owned.deadline),
                           .server_name = owned.server_name},
                          [this](answer ended) { this->on_backend_answer(std::move(ended)); });
}

void owner_task::refuse_unstarted(const attempt_id& attempt, reason why) {
    if (!this->admission.withdraw(attempt)) {
        this->admission.release(attempt);
    }
    this->finish(refuse(attempt, outcome::not_run, why));
}

void owner_task::on_backend_answer(answer ended) {
    this->check_for_pause();
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
    if (ended.result == outcome::completed) {
        this->crashes.on_completed(received, ended.service_time);
    }
    ended.backend_server = found->second.server_name;
    if (ended.why == reason::backend_renamed) {
        log_event(log_level::warn, "backend_server_renamed",
                  {{"request", received.request_id}, {"sent_to", ended.backend_server}});
        this->state.reject_server_name(ended.backend_server);
    }
    this->finish(std::move(ended));
    this->advance();
}

void owner_task::on_probe_report(const probe_report& report, instant sent_at) {
    this->reports.on_probe(report, sent_at);
    this->state.set_probed(!this->probe.awaits_first_result());
}

void owner_task::on_call_statement(const attempt_id& attempt, const server_statement& stated,
                                   instant sent_at) {
    const auto found = this->calls.find(attempt);
    if (found != this->calls.end()) {
        this->reports.on_call(found->second.server_name, stated, sent_at);
    }
}

void owner_task::refuse_queued(reason why) {
    for (const auto& removed_entry : this->admission.clear_queue()) {
        this->finish(refuse(removed_entry.attempt, outcome::not_run, why));
    }
}

// Refuses queued calls that new settings no longer allow, without waiting for their dispatch.
void owner_task::recheck_queued() {
    std::vector<std::pair<attempt_id, reason>> refusals;
    for (const auto& [attempt, owned] : this->calls) {
        const auto refusal_cause = owned.running ? reason::none : this->refusal_reason(owned.received);
        if (refusal_cause != reason::none) {
            refusals.emplace_back(attempt, refusal_cause);
        }
    }
    for (const auto& [attempt, refusal_cause] : refusals) {
        this->refuse_unstarted(attempt, refusal_cause);
    }
}

// Ends an admitted call: records the result of its key, replies to the call and to its duplicates.
void owner_task::finish(answer ended) {
    const auto found = this->calls.find(ended.attempt);
    if (found == this->calls.end()) {
        return;
    }
    const auto owned = std::move(found->second);
    this->calls.erase(found);
    this->bodies.forget(ended.attempt);
    if (!owned.running) {
        log_late_refusal(owned.received, ended.why, this->admission);
    }
    if (needs_key_resolution(owned.received)) {
        this->attempts_by_key.erase(scoped_key(owned.received).text);
        this->keys.finish(owned.received, ended);
        ended.key_never_ran = ended.result == outcome::not_run;
    }
    for (const auto& duplicate : owned.duplicates) {
        auto copy = ended;
        copy.attempt = duplicate;
        this->reply(std::move(copy));
    }
    this->reply(std::move(ended));
}

void owner_task::reply(answer ended) {
    ended.load = this->admission.report();
    ended.load.rate_wait = std::min(max_reported_wait, this->admission.rate_wait(now_monotonic()));
    ended.load.leaving = this->reports.statements().leaving();
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
    this->check_for_pause();
    const auto now = now_monotonic();
    this->state.set_probed(!this->probe.awaits_first_result());
    for (const auto& attempt : this->bodies.take_overdue(now)) {
        this->refuse_unstarted(attempt, reason::body_not_received);
    }
    const auto dequeued = this->admission.advance(now);
    for (const auto& attempt : dequeued.expired) {
        this->finish(refuse(attempt, outcome::not_run, reason::deadline_too_near));
    }
    for (const auto& attempt : dequeued.drained) {
        this->finish(refuse(attempt, outcome::not_run, reason::backend_draining));
    }
    for (const auto& attempt : dequeued.shed) {
        this->finish(refuse(attempt, outcome::not_run, reason::backend_slow));
    }
    for (const auto& attempt : dequeued.overtaken) {
        this->finish(refuse(attempt, outcome::not_run, reason::would_be_late));
    }
    for (const auto& attempt : dequeued.dispatch) {
        this->dispatch(attempt);
    }
    this->attempts.expire(now);
    this->keys.expire_inquiries(now);
    this->update_gauges(now);
}

void owner_task::update_gauges(instant now) {
    const auto load = this->admission.report();
    auto& gauge_values = this->context->stats->gauges();
    gauge_values.admission_limit = load.limit;
    gauge_values.admission_in_use = load.in_use;
    gauge_values.admission_queued = load.queued;
    gauge_values.backend_server_cold = this->admission.cold_limit().is_cold(now);
    gauge_values.server_rate_limit = this->reports.statements().calls_per_second();
    gauge_values.server_rate_age = this->reports.statements().rate_age(now);
    gauge_values.body_bytes_held = this->context->bodies == nullptr ? 0 : this->context->bodies->used();
    gauge_values.server_leaving = this->reports.statements().leaving();
}

void owner_task::configure_admission() {
    for (const auto& [team_name, owning_team] : this->state.current_settings().teams) {
        for (const auto& [service_name, target] : owning_team.services) {
            for (const auto& server : target.backend_servers) {
                if (server.node != this->context->settings.reachable_at) {
                    continue;
                }
                this->admission.configure({.warm_up = {.slots = server.slots,
                                                       .cold_slots = target.cold_slots,
                                                       .answers_per_slot = target.warm_up_answers},
                                           .cold = cold_options(target, this->context->settings.cold_servers),
                                           .max_queue = target.max_queue},
                                          now_monotonic());
                this->probe.set_path(target.probe_path);
                return;
            }
        }
    }
}

} // namespace chervilturn
