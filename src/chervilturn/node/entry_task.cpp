// The path of a call through the entry: parse, select a backend server, send, retry or respond.
#include "chervilturn/node/entry_task.hpp"

#include "chervilturn/admission/home_history.hpp"
#include "chervilturn/node/key_resolver.hpp"
#include "chervilturn/observe/log.hpp"

#include <algorithm>
#include <limits>
#include <sys/resource.h>

namespace chervilturn {

namespace {

constexpr double percent = 100.0;
constexpr std::uint16_t status_misdirected = 421;
constexpr std::uint16_t status_bad_gateway = 502;
constexpr std::uint16_t status_unavailable = 503;
// The descriptors that the process may have open.
[[nodiscard]] std::size_t max_descriptors() {
    rlimit allowed{};
    return getrlimit(RLIMIT_NOFILE, &allowed) == 0 ? static_cast<std::size_t>(allowed.rlim_cur)
                                                   : std::numeric_limits<std::size_t>::max();
}

// A shorter time between the first byte of a request and its start is not reported.
constexpr microseconds min_reported_wait = std::chrono::milliseconds{5};

} // namespace

entry_task::entry_task(const node_context& shared_context)
    : context{&shared_context}, selection_policy{make_policy(shared_context.settings.policy)},
      random{shared_context.settings.seed}, views{shared_context.settings.data_centre} {
    shared_context.mailboxes->entry.on_message([this](entry_message&& received) {
        std::visit([this](auto&& item) { this->handle(std::forward<decltype(item)>(item)); },
                   std::move(received));
    });
}

result<success, transport_error> entry_task::start() {
    auto listen_result = http_server::listen(
        *this->context->loop, this->context->settings.callers, this->server_options(),
        [this](std::shared_ptr<http_exchange> exchange) { this->on_request(std::move(exchange)); },
        [this](const http_request& request) {
            return this->context->protocols.callers->is_idempotent(this->request_context_now(), request);
        });
    if (!succeeded(listen_result)) {
        return error_of(listen_result);
    }
    this->server = value_of(std::move(listen_result));
    return success{};
}

bool entry_task::idle() const noexcept {
    return this->calls.empty() && this->server->idle();
}

bool entry_task::has_settings() const noexcept {
    const auto& teams = this->settings->teams;
    return std::any_of(teams.begin(), teams.end(),
                       [](const auto& named_team) { return !named_team.second.services.empty(); });
}

void entry_task::handle(const settings_changed& message) {
    const auto started_at = now_monotonic();
    this->settings = message.settings;
    this->configure_server();
    this->views.update(message.settings);
    log_event(log_level::info, "settings_applied",
              {{"task", "entry"}, {"took_us", elapsed(started_at, now_monotonic()).count()}});
}

void entry_task::handle(attempt_ended&& message) {
    const auto now = now_monotonic();
    const auto found = this->attempts.find(message.ended.attempt);
    if (found == this->attempts.end()) {
        ++this->context->stats->counters().late_answers;
        return;
    }
    const auto active = found->second;
    this->attempts.erase(found);
    auto& state = active->state;
    const auto ended_attempt = *state.attempt_in_progress();
    const auto latency = elapsed(ended_attempt.sent_at, now);
    this->learn(state.original_call(), ended_attempt, message, now);
    const auto reroute_limit = this->views.room_at(state.original_call().team, state.original_call().service)
                                   .reroute_limit(this->context->settings.limits.max_reroutes, now);
    const auto action = state.end_attempt(
        std::move(message.ended),
        {.reconsider_refusals = this->selection_policy->reconsiders_refusals(), .reroutes = reroute_limit},
        this->retry_budget_for(state.original_call(), state.request().retry_percent), now);
    this->record_attempt_metrics(state, latency);
    const auto& ended = state.latest_answer();
    log_call(log_level::info, "attempt_ended",
             {{"request", state.original_call().request_id},
              {"attempt", state.retry_status().attempts()},
              {"server", ended.backend_server},
              {"outcome", to_string(ended.result)},
              {"reason", to_string(ended.why)},
              {"status", ended.status},
              {"took_us", latency.count()},
              {"service_us", ended.service_time.count()},
              {"in_use", ended.load.in_use},
              {"queued", ended.load.queued},
              {"limit", ended.load.limit},
              {"slowdown_percent", ended.load.slowdown_percent},
              {"reroute_limit", reroute_limit},
              {"next", to_string(state.retry_status().cause())}});
    if (action == retry_action::retry) {
        this->start_attempt(active);
        return;
    }
    this->finish_call(active);
}

void entry_task::learn(const call& original, const entry_call::attempt& ended_attempt,
                       const attempt_ended& message, instant now) {
    const ended_offer offer{.team = original.team,
                            .service = original.service,
                            .route = original.route,
                            .server = ended_attempt.server,
                            .data_centre = ended_attempt.data_centre,
                            .owner = ended_attempt.owner,
                            .sent_at = ended_attempt.sent_at};
    if (message.from_owner) {
        this->views.on_answered(offer, message.ended, now);
    } else {
        this->views.on_unanswered(offer, now);
    }
}

void entry_task::record_attempt_metrics(const entry_call& state, microseconds latency) {
    auto& counters = this->context->stats->counters();
    const auto cause = state.retry_status().cause();
    counters.reroutes += cause == retry_cause::rerouted ? 1 : 0;
    counters.retries += cause == retry_cause::retried ? 1 : 0;
    counters.retry_budget_spent += cause == retry_cause::budget_spent ? 1 : 0;
    this->context->stats->record_step({.service = state.original_call().service,
                                       .urgent = state.original_call().urgent,
                                       .step = call_step::attempt},
                                      latency);
}

void entry_task::handle(const suspects_changed& message) {
    this->suspects = message.suspects;
}

bool entry_task::is_held(const call& checked) const {
    const auto& held = this->suspects->held;
    return !held.empty() && held.contains(fingerprint_of(checked));
}

void entry_task::handle(const shutdown_announced& message) {
    this->last_end = message.last_end;
}

void entry_task::handle(const shutdown_started&) {
    this->shutting_down = true;
    this->server->close_after_responses();
    this->server->stop_accepting();
}

void entry_task::handle(const describe_request& request) {
    auto descriptions = nlohmann::json::array();
    const auto now = now_monotonic();
    for (const auto& [owner, view] : this->views.all()) {
        descriptions.push_back({{"owner", to_string(owner)},
                                {"outstanding", view.outstanding()},
                                {"estimated_calls", view.estimated_calls(now)},
                                {"limit", view.limit(now)},
                                {"latency_us", view.latency(now).count()},
                                {"in_penalty", view.in_penalty(now)}});
    }
    request.reply({{"open_calls", this->calls.size()},
                   {"policy", std::string{this->selection_policy->name()}},
                   {"backend_servers", std::move(descriptions)}});
}

void entry_task::handle(const explain_request& request) {
    const auto* owning_team = this->settings->find_team(request.team);
    if (owning_team == nullptr || !owning_team->services.contains(request.service) ||
        !owning_team->workspaces.contains(request.workspace)) {
        request.reply({{"error", "team, service or workspace does not exist"}});
        return;
    }
    const auto& target = owning_team->services.at(request.service);
    const auto* matched_route = match_route(*owning_team, request.service, request.path);
    auto regions = owning_team->workspaces.at(request.workspace).home_regions;
    if (matched_route != nullptr) {
        regions = common_regions(regions, matched_route->home_regions);
    }
    const auto eligibility = this->make_eligibility_request(*owning_team, target, regions);
    const auto now = now_monotonic();
    auto servers = nlohmann::json::array();
    for (const auto& backend : target.backend_servers) {
        const auto& view = this->views.of(backend);
        servers.push_back({{"backend_server", backend.name},
                           {"data_centre", backend.data_centre},
                           {"region", this->settings->region_of(backend.data_centre)},
                           {"excluded_by", std::string{to_string(exclusion_reason(eligibility, backend))}},
                           {"estimated_calls", view.estimated_calls(now)},
                           {"limit", view.limit(now)},
                           {"latency_us", view.latency(now).count()},
                           {"in_penalty", view.in_penalty(now)},
                           {"leaving", view.is_leaving(backend.name, now)},
                           {"rate_wait_us", view.rate_wait(now).count()}});
    }
    request.reply({{"route", matched_route == nullptr ? "" : matched_route->name},
                   {"policy", std::string{this->selection_policy->name()}},
                   {"candidates", std::move(servers)}});
}

void entry_task::on_request(std::shared_ptr<http_exchange> exchange) {
    this->context->stats->gauges().caller_connections = this->server->connection_count();
    const auto id = this->context->protocols.callers->request_id(exchange->request());
    if (exchange->client_has_left()) {
        ++this->context->stats->counters().refusals.at(static_cast<std::size_t>(reason::cancelled));
        log_call(log_level::info, "caller_left", {{"request", id}, {"attempt", 0}});
        return;
    }
    if (const auto refusal = this->refusal_of_all()) {
        this->reject(*exchange, *refusal, id);
        return;
    }
    auto parsed =
        this->context->protocols.callers->read(this->request_context_now(), std::move(exchange->request()));
    if (!succeeded(parsed)) {
        this->reject(*exchange, error_of(parsed), id);
        return;
    }
    auto request = value_of(std::move(parsed));
    if (!request.split.empty()) {
        request.original_call.service = pick_split_part(request.split, this->random).service;
    }
    const auto now = now_monotonic();
    this->deduct_wait(request, elapsed(exchange->arrived(), now));
    if (const auto refusal = this->refusal_of(request, now)) {
        this->reject(*exchange, *refusal, id);
        return;
    }
    this->start_call(std::move(exchange), std::move(request), now);
}

std::optional<request_error> entry_task::refusal_of_all() const {
    if (this->shutting_down) {
        return request_error{status_unavailable, reason::shutting_down, "the node is shutting down"};
    }
    if (this->calls.size() >= this->context->settings.limits.max_calls) {
        return request_error{status_unavailable, reason::queue_full,
                             "too many calls in progress at this node"};
    }
    return std::nullopt;
}

void entry_task::deduct_wait(accepted_request& request, microseconds waited) {
    auto& accepted_call = request.original_call;
    accepted_call.remaining -= waited;
    request.target_latency = std::max(microseconds::zero(), request.target_latency - waited);
    if (waited >= min_reported_wait) {
        ++this->context->stats->counters().delayed_requests;
        log_call(log_level::info, "request_delayed",
                 {{"request", accepted_call.request_id},
                  {"waited_us", waited.count()},
                  {"remaining_us", accepted_call.remaining.count()}});
    }
}

std::optional<request_error> entry_task::refusal_of(const accepted_request& request, instant now) const {
    const auto& accepted_call = request.original_call;
    const auto entry_region = this->settings->region_of(this->context->settings.data_centre);
    if (!request.any_entry && !admits(request.regions, entry_region)) {
        return request_error{status_misdirected, reason::outside_home_regions,
                             "this node is outside the home regions of the call"};
    }
    if (accepted_call.remaining <= min_service_time(this->views.baseline_of(accepted_call.route))) {
        return request_error{status_unavailable, reason::deadline_too_near,
                             "too little time is left until the deadline"};
    }
    if (this->last_end && now + accepted_call.remaining > *this->last_end) {
        return request_error{status_unavailable, reason::shutting_down,
                             "the node shuts down before the call's deadline"};
    }
    if (this->is_held(accepted_call)) {
        return request_error{status_bad_gateway, reason::request_held,
                             "the same request crashed backend servers"};
    }
    return std::nullopt;
}

void entry_task::start_call(std::shared_ptr<http_exchange> exchange, accepted_request&& request,
                            instant now) {
    this->retry_budget_for(request.original_call, request.retry_percent).count_first_attempt();
    this->calls.push_back(
        active_call{.exchange = std::move(exchange),
                    .state = entry_call{std::move(request), this->context->settings.limits.max_reroutes, now},
                    .deadline_timer = nullptr});
    const auto active = std::prev(this->calls.end());
    active->exchange->on_abandoned([this, active] { this->on_caller_disconnected(active); });
    active->deadline_timer =
        std::make_unique<timer>(*this->context->loop, [this, active] { this->on_deadline(active); });
    active->deadline_timer->start_once(elapsed(now, active->state.deadline()));
    this->start_attempt(active);
}

void entry_task::start_attempt(call_iterator active) {
    auto& state = active->state;
    if (state.retry_status().attempts() > 0 && this->is_held(state.original_call())) {
        state.end_without_answer(outcome::not_run, reason::request_held);
        this->finish_call(active);
        return;
    }
    const auto target = this->target_of(state.original_call());
    const backend_server* server = nullptr;
    if (target.requested != nullptr) {
        server = state.needs_key_home() ? this->select_key_home(state, *target.owning_team, *target.requested)
                                        : this->select_server(state, *target.owning_team, *target.requested);
    }
    if (server == nullptr) {
        this->finish_call(active);
        return;
    }
    this->send(active, *server);
}

const backend_server* entry_task::select_server(entry_call& state, const team& owning_team,
                                                const service& target) {
    const auto now = now_monotonic();
    const auto candidates = this->views.candidates(
        this->make_eligibility_request(owning_team, target, state.request().regions), state.history(), now);
    if (candidates.empty()) {
        return nullptr;
    }
    const auto baseline = this->views.baseline_of(state.original_call().route);
    const auto& selected = candidates[this->selection_policy->pick(candidates, state.estimate(baseline, now),
                                                                   this->random, now)];
    const auto& server = target.backend_servers[selected.index];
    state.record_selection(server.name, candidates.size() == 1 || selected.refused_before, baseline);
    return &server;
}

const backend_server* entry_task::select_key_home(const entry_call& state, const team& owning_team,
                                                  const service& target) const {
    const auto candidates = home_candidates(*this->settings, owning_team, target);
    const auto home = key_home(candidates, state.request().regions, scoped_key(state.original_call()).text);
    for (const auto& backend : target.backend_servers) {
        if (home == backend.node) {
            return &backend;
        }
    }
    return nullptr;
}

void entry_task::send(call_iterator active, const backend_server& backend) {
    const auto now = now_monotonic();
    auto& state = active->state;
    auto attempt = state.begin_attempt({.entry = this->context->incarnation, .sequence = ++this->sequence},
                                       backend, now);
    auto& view = this->views.of(backend);
    const auto age = view.report_age(now);
    log_call(log_level::info, "attempt_sent",
             {{"request", attempt.request_id},
              {"attempt", state.retry_status().attempts()},
              {"route", attempt.route},
              {"service", attempt.service},
              {"server", backend.name},
              {"owner", to_string(backend.node)},
              {"revision", this->settings->teams.at(attempt.team).revision},
              {"last_resort", attempt.last_resort ? "yes" : "no"},
              {"estimated_calls", view.estimated_calls(now)},
              {"report_age_us", age ? std::to_string(age->count()) : "none"},
              {"remaining_us", attempt.remaining.count()}});
    this->attempts.emplace(attempt.attempt, active);
    view.on_sent(now);
    if (backend.node == this->context->settings.reachable_at) {
        this->context->mailboxes->owner.post(std::move(attempt));
    } else {
        this->context->mailboxes->peer_client.post(send_attempt{backend.node, std::move(attempt)});
    }
}

void entry_task::on_deadline(call_iterator active) {
    this->cancel_current_attempt(active->state);
    active->state.end_without_answer(outcome::unknown, reason::timed_out);
    this->finish_call(active);
}

void entry_task::on_caller_disconnected(call_iterator active) {
    auto& state = active->state;
    log_call(log_level::info, "caller_left",
             {{"request", state.original_call().request_id}, {"attempt", state.retry_status().attempts()}});
    this->cancel_current_attempt(state);
    state.end_without_answer(outcome::unknown, reason::cancelled);
    this->finish_call(active);
}

void entry_task::cancel_current_attempt(entry_call& state) {
    if (!state.attempt_in_progress()) {
        return;
    }
    const auto attempt = *state.attempt_in_progress();
    state.abandon_attempt();
    const auto now = now_monotonic();
    this->attempts.erase(attempt.id);
    this->views.on_cancelled(attempt.owner, attempt.sent_at, now);
    if (attempt.owner == this->context->settings.reachable_at) {
        this->context->mailboxes->owner.post(cancel{attempt.id});
    } else {
        this->context->mailboxes->peer_client.post(cancel_attempt{attempt.owner, attempt.id});
    }
}

void entry_task::finish_call(call_iterator active) {
    this->respond(*active);
    this->calls.erase(active);
}

void entry_task::respond(active_call& active) {
    const auto& state = active.state;
    const auto& original = state.original_call();
    auto caller_answer = state.final_answer();
    const auto duration = elapsed(state.start_time(), now_monotonic());
    auto& series = this->context->stats->series({.team = original.team,
                                                 .service = original.service,
                                                 .workspace = original.workspace,
                                                 .urgent = original.urgent});
    series.latency.record(duration);
    ++series.outcomes.at(static_cast<std::size_t>(caller_answer.result));
    series.extra_attempts += std::max(1U, state.retry_status().attempts()) - 1;
    const bool failed = caller_answer.result != outcome::completed || is_backend_failure(caller_answer);
    log_call(failed ? log_level::warn : log_level::info, "call_ended",
             {{"request", original.request_id},
              {"route", original.route},
              {"service", original.service},
              {"outcome", to_string(caller_answer.result)},
              {"reason", to_string(caller_answer.why)},
              {"status", caller_answer.status},
              {"server", caller_answer.backend_server},
              {"attempts", state.retry_status().attempts()},
              {"because", to_string(state.retry_status().cause())},
              {"took_us", duration.count()},
              {"retry_after_us", state.retry_after().count()}});
    this->count_refusal(state, caller_answer);
    caller_answer.retry_after = service_room::retry_after(state.retry_after(), this->random);
    active.exchange->respond(this->context->protocols.callers->respond(
        std::move(caller_answer),
        {.entry_host = this->context->settings.host, .attempts = state.retry_status().attempts()}));
}

// The price of refusing a call after a few offers: a server that was not asked may have had room.
void entry_task::count_refusal(const entry_call& state, const answer& final_answer) {
    const auto target = this->target_of(state.original_call());
    if (final_answer.result != outcome::not_run || !is_lack_of_room(final_answer.why) ||
        target.requested == nullptr) {
        return;
    }
    const auto request =
        this->make_eligibility_request(*target.owning_team, *target.requested, state.request().regions);
    this->context->stats->counters().refused_with_room +=
        this->views.shows_free_server(request, now_monotonic()) ? 1 : 0;
}

void entry_task::reject(http_exchange& exchange, const request_error& error, const std::string& id) {
    ++this->context->stats->counters().refusals.at(static_cast<std::size_t>(error.why));
    log_call(log_level::warn, "request_rejected",
             {{"request", id},
              {"status", error.status},
              {"reason", to_string(error.why)},
              {"because", error.message}});
    exchange.respond(this->context->protocols.callers->refuse(error));
}

http_server_options entry_task::server_options() const {
    const auto& limits = this->context->settings.limits;
    return {
        .max_header_bytes = limits.max_header_bytes,
        .max_body_bytes = limits.max_body_bytes,
        .pipeline = {.max_requests = limits.max_pipelined_requests, .max_bytes = limits.max_pipelined_bytes},
        .bodies = this->context->bodies,
        .max_connections = std::min(limits.max_connections, max_descriptors() / 2)};
}

// Caller limits in the accepted settings override those of the node's settings file.
void entry_task::configure_server() {
    auto options = this->server_options();
    for (const auto& [name, owning_team] : this->settings->teams) {
        if (owning_team.limits) {
            const auto& limits = *owning_team.limits;
            options.max_header_bytes = limits.max_header_bytes.value_or(options.max_header_bytes);
            options.max_body_bytes = limits.max_body_bytes.value_or(options.max_body_bytes);
            options.header_timeout = limits.header_timeout.value_or(options.header_timeout);
            options.idle_timeout = limits.idle_timeout.value_or(options.idle_timeout);
        }
    }
    this->server->configure(options);
}

retry_budget& entry_task::retry_budget_for(const call& original, std::uint32_t retry_percent) {
    const auto& fleet_limits = this->context->settings.fleet_retries;
    const auto options = fleet_limits ? node_retry_options(fleet_limits->ratio, fleet_limits->slack,
                                                           this->settings->hosts.size())
                                      : retry_options{.earned_per_call = retry_percent / percent};
    const auto name = original.team + '/' + (fleet_limits ? original.service : original.workspace);
    auto& budget = this->retry_budgets.try_emplace(name, retry_budget{options}).first->second;
    budget.configure(options);
    this->context->stats->gauges().retry_budget_left[name] = budget.left();
    return budget;
}

request_context entry_task::request_context_now() const noexcept {
    return {.settings = this->settings.get(), .node = &this->context->settings};
}

entry_task::call_target entry_task::target_of(const call& original) const {
    const auto* owning_team = this->settings->find_team(original.team);
    if (owning_team == nullptr) {
        return {};
    }
    const auto found = owning_team->services.find(original.service);
    return {owning_team, found == owning_team->services.end() ? nullptr : &found->second};
}

eligibility_request entry_task::make_eligibility_request(const team& owning_team, const service& target,
                                                         const region_set& regions) const {
    return {.settings = this->settings.get(),
            .owning_team = &owning_team,
            .target_service = &target,
            .regions = regions,
            .entry_data_centre = this->context->settings.data_centre};
}

} // namespace chervilturn
