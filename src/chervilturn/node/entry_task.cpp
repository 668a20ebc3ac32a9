// The entry's path of a call: read, choose, send, decide, answer.
#include "chervilturn/node/entry_task.hpp"

#include "chervilturn/admission/home_history.hpp"
#include "chervilturn/node/key_desk.hpp"
#include "chervilturn/observe/log.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr double percent = 100.0;
constexpr double falling_weight = 0.1; // of a shorter answer in a route's usual service time
constexpr double rising_weight = 0.05; // of a longer one
constexpr std::uint16_t status_misdirected = 421;
constexpr std::uint16_t status_unavailable = 503;

} // namespace

entry_task::entry_task(const node_context& shared)
    : context{&shared}, selection{make_policy(shared.settings.policy)}, random{shared.settings.seed} {
    shared.boxes->entry.on_message([this](entry_message&& received) {
        std::visit([this](const auto& item) { this->handle(item); }, received);
    });
}

result<success, transport_error> entry_task::start() {
    const auto& limits = this->context->settings.limits;
    auto listening = http_server::listen(
        *this->context->loop, this->context->settings.callers,
        {.max_header_bytes = limits.max_header_bytes, .max_body_bytes = limits.max_body_bytes},
        [this](std::shared_ptr<http_exchange> exchange) { this->on_request(std::move(exchange)); });
    if (!succeeded(listening)) {
        return error_of(listening);
    }
    this->server = value_of(std::move(listening));
    return success{};
}

bool entry_task::idle() const noexcept {
    return this->calls.empty() && this->server->idle();
}

bool entry_task::has_settings() const noexcept {
    const auto& teams = this->settings->teams;
    return std::any_of(teams.begin(), teams.end(),
                       [](const auto& named) { return !named.second.services.empty(); });
}

bool entry_task::has_route(const std::string& name) const {
    const auto& teams = this->settings->teams;
    return std::any_of(teams.begin(), teams.end(),
                       [&name](const auto& named) { return named.second.routes.contains(name); });
}

void entry_task::handle(const settings_changed& message) {
    this->settings = message.settings;
    this->configure_server();
    std::map<address, load_view> kept;
    for (const auto& [team_name, owner] : this->settings->teams) {
        for (const auto& [service_name, target] : owner.services) {
            for (const auto& backend : target.backend_servers) {
                const auto known = this->views.find(backend.node);
                kept.emplace(backend.node,
                             known == this->views.end() ? load_view{backend.slots} : known->second);
            }
        }
    }
    this->views = std::move(kept);
    std::erase_if(this->usual_micros, [this](const auto& known) { return !this->has_route(known.first); });
}

void entry_task::handle(const attempt_ended& message) {
    const auto now = now_monotonic();
    const auto found = this->attempts.find(message.ended.attempt);
    if (found == this->attempts.end()) {
        ++this->context->measured->counters().late_answers;
        return;
    }
    const auto opened = found->second;
    this->attempts.erase(found);
    opened->in_progress = false;
    const auto view = this->views.find(opened->owner);
    if (view != this->views.end()) {
        if (message.answered) {
            view->second.on_answer(message.ended, elapsed(opened->sent_at, now), now);
        } else {
            view->second.on_silence(now);
        }
    }
    opened->last = message.ended;
    if (message.ended.retry_after > microseconds::zero() &&
        (opened->retry_after == microseconds::zero() || message.ended.retry_after < opened->retry_after)) {
        opened->retry_after = message.ended.retry_after;
    }
    opened->may_have_run = opened->may_have_run || message.ended.result == outcome::unknown;
    auto& budget = this->budget_of(opened->request.made, opened->request.retry_percent);
    const auto next = opened->plan.decide(message.ended, elapsed(now, opened->deadline), budget);
    auto& counters = this->context->measured->counters();
    counters.moves += opened->plan.cause() == step_cause::moved ? 1 : 0;
    counters.retries += opened->plan.cause() == step_cause::retried ? 1 : 0;
    counters.retry_budget_spent += opened->plan.cause() == step_cause::budget_spent ? 1 : 0;
    log_call(log_level::info, "attempt_ended",
             {{"request", opened->request.made.request_id},
              {"attempt", opened->plan.attempts()},
              {"server", message.ended.backend_server},
              {"outcome", to_string(message.ended.result)},
              {"reason", to_string(message.ended.why)},
              {"status", message.ended.status},
              {"took_us", elapsed(opened->sent_at, now).count()},
              {"service_us", message.ended.service_time.count()},
              {"in_use", message.ended.load.in_use},
              {"queued", message.ended.load.queued},
              {"limit", message.ended.load.limit},
              {"slowdown_percent", message.ended.load.slowdown_percent},
              {"next", to_string(opened->plan.cause())}});
    this->learn_service(*opened, message.ended, now);
    if (next == next_step::try_again) {
        this->try_next(opened);
        return;
    }
    this->close(opened, opened->last);
}

// The usual service time leans to the shorter answers, so that slow hosts and spells stay visible against it.
void entry_task::learn_service(open_call& opened, const answer& ended, instant now) {
    if (ended.result == outcome::not_run) {
        const bool for_now = ended.why == reason::would_be_late || ended.why == reason::queue_full ||
                             ended.why == reason::deadline_too_near || ended.why == reason::backend_slow;
        if (for_now && this->selection->reconsiders_refusals() && !opened.request.made.last_resort &&
            !opened.history.tried.empty()) {
            opened.history.refused.push_back(opened.history.tried.back());
            opened.history.tried.pop_back();
        }
        return;
    }
    if (ended.result != outcome::completed || is_backend_failure(ended)) {
        return;
    }
    const double host = std::max(1.0, ended.load.slowdown_percent / percent);
    const double micros = static_cast<double>(ended.service_time.count()) / host;
    auto& usual = this->usual_micros[opened.request.made.route];
    const double weight = micros < usual ? falling_weight : rising_weight;
    usual = usual == 0.0 ? micros : usual + weight * (micros - usual);
    const auto view = this->views.find(opened.owner);
    if (view != this->views.end()) {
        view->second.learn_pace(ended.service_time, this->usual_service(opened.request.made.route),
                                ended.load.slowdown_percent, now);
    }
}

microseconds entry_task::usual_service(const std::string& route) const {
    const auto found = this->usual_micros.find(route);
    return found == this->usual_micros.end() ? microseconds::zero()
                                             : microseconds{static_cast<std::int64_t>(found->second)};
}

void entry_task::handle(const shutdown_started&) {
    this->shutting_down = true;
    this->server->close_after_responses();
    this->server->stop_accepting();
}

void entry_task::handle(const describe_request& request) {
    auto described = nlohmann::json::array();
    const auto now = now_monotonic();
    for (const auto& [owner, view] : this->views) {
        described.push_back({{"owner", to_string(owner)},
                             {"outstanding", view.outstanding()},
                             {"estimated_calls", view.estimated_calls(now)},
                             {"limit", view.limit(now)},
                             {"latency_us", view.latency(now).count()},
                             {"in_penalty", view.in_penalty(now)}});
    }
    request.reply({{"open_calls", this->calls.size()},
                   {"policy", std::string{this->selection->name()}},
                   {"backend_servers", std::move(described)}});
}

void entry_task::handle(const explain_request& request) {
    const auto* owner = this->settings->find_team(request.team);
    if (owner == nullptr || !owner->services.contains(request.service) ||
        !owner->workspaces.contains(request.workspace)) {
        request.reply({{"error", "team, service or workspace does not exist"}});
        return;
    }
    const auto& target = owner->services.at(request.service);
    const auto* matched = match_route(*owner, request.service, request.path);
    auto regions = owner->workspaces.at(request.workspace).home_regions;
    if (matched != nullptr) {
        regions = common_regions(regions, matched->home_regions);
    }
    const auto checked = this->eligibility_of(*owner, target, regions);
    const auto now = now_monotonic();
    auto servers = nlohmann::json::array();
    for (const auto& backend : target.backend_servers) {
        const auto& view = this->view_of(backend);
        servers.push_back({{"backend_server", backend.name},
                           {"data_centre", backend.data_centre},
                           {"region", this->settings->region_of(backend.data_centre)},
                           {"excluded_by", std::string{to_string(exclusion_of(checked, backend))}},
                           {"estimated_calls", view.estimated_calls(now)},
                           {"limit", view.limit(now)},
                           {"latency_us", view.latency(now).count()},
                           {"in_penalty", view.in_penalty(now)}});
    }
    request.reply({{"route", matched == nullptr ? "" : matched->name},
                   {"policy", std::string{this->selection->name()}},
                   {"candidates", std::move(servers)}});
}

void entry_task::on_request(std::shared_ptr<http_exchange> exchange) {
    const auto id = this->context->protocols.callers->request_id(exchange->request());
    if (this->shutting_down) {
        this->reject(*exchange, {status_unavailable, reason::shutting_down, "the node shuts down"}, id);
        return;
    }
    if (this->calls.size() >= this->context->settings.limits.max_calls) {
        this->reject(*exchange,
                     {status_unavailable, reason::queue_full, "too many calls in progress at this node"}, id);
        return;
    }
    auto read = this->context->protocols.callers->read(
        {.settings = this->settings.get(), .node = &this->context->settings}, std::move(exchange->request()));
    if (!succeeded(read)) {
        this->reject(*exchange, error_of(read), id);
        return;
    }
    auto request = value_of(std::move(read));
    if (!request.split.empty()) {
        request.made.service = pick_split_part(request.split, this->random).service;
    }
    const auto here = this->settings->region_of(this->context->settings.data_centre);
    if (!request.any_entry && !admits(request.regions, here)) {
        this->reject(*exchange,
                     {status_misdirected, reason::outside_home_regions,
                      "this node is outside the call's home regions"},
                     id);
        return;
    }
    this->open(std::move(exchange), std::move(request));
}

void entry_task::open(std::shared_ptr<http_exchange> exchange, accepted_request&& request) {
    const auto now = now_monotonic();
    const call_plan plan{request.made.idempotent || request.made.key.given(), request.extra_attempts,
                         this->context->settings.limits.max_moves};
    const auto deadline = now + request.made.remaining;
    const auto late_at =
        request.target_latency > microseconds::zero() ? now + request.target_latency : deadline;
    this->budget_of(request.made, request.retry_percent).count_first_attempt();
    this->calls.push_back(open_call{.exchange = std::move(exchange),
                                    .request = std::move(request),
                                    .plan = plan,
                                    .started = now,
                                    .deadline = deadline,
                                    .late_at = late_at,
                                    .history = {},
                                    .attempt = {},
                                    .owner = {},
                                    .last = {},
                                    .expiry = nullptr});
    const auto opened = std::prev(this->calls.end());
    opened->exchange->on_abandoned([this, opened] { this->on_caller_gone(opened); });
    opened->expiry =
        std::make_unique<timer>(*this->context->loop, [this, opened] { this->on_deadline(opened); });
    opened->expiry->start_once(elapsed(now, deadline));
    this->try_next(opened);
}

void entry_task::try_next(call_iterator opened) {
    const auto& made = opened->request.made;
    const auto* owner = this->settings->find_team(made.team);
    const auto* target = owner != nullptr && owner->services.contains(made.service)
                             ? &owner->services.at(made.service)
                             : nullptr;
    const backend_server* server = nullptr;
    if (target != nullptr && made.key.given() && !made.idempotent) {
        server = this->choose_key_home(*opened, *owner, *target);
    } else if (target != nullptr) {
        server = this->choose(*opened, *owner, *target);
    }
    if (server != nullptr) {
        this->send(opened, *server);
        return;
    }
    if (opened->plan.attempts() == 0) {
        opened->last = refuse({}, outcome::not_run, reason::no_backend_server);
    }
    this->close(opened, opened->last);
}

const backend_server* entry_task::choose(open_call& opened, const team& owner, const service& target) {
    const auto now = now_monotonic();
    const auto candidates = eligible_candidates(
        this->eligibility_of(owner, target, opened.request.regions), opened.history,
        [this](const backend_server& backend) -> const load_view& { return this->view_of(backend); }, now);
    if (candidates.empty()) {
        return nullptr;
    }
    auto& made = opened.request.made;
    const auto usual = this->usual_service(made.route);
    const call_estimate estimate{.service = usual,
                                 .until_late = std::max(microseconds::zero(), elapsed(now, opened.late_at))};
    const auto& picked = candidates[this->selection->pick(candidates, estimate, this->random, now)];
    made.last_resort = candidates.size() == 1 || picked.refused_before;
    made.usual_service = usual;
    const auto& server = target.backend_servers[picked.index];
    opened.history.tried.push_back(server.name);
    std::erase(opened.history.refused, server.name);
    return &server;
}

const backend_server* entry_task::choose_key_home(const open_call& opened, const team& owner,
                                                  const service& target) const {
    const auto candidates = home_candidates(*this->settings, owner, target);
    const auto home = key_home(candidates, opened.request.regions, scoped_key(opened.request.made).text);
    for (const auto& backend : target.backend_servers) {
        if (home == backend.node) {
            return &backend;
        }
    }
    return nullptr;
}

void entry_task::send(call_iterator opened, const backend_server& backend) {
    const auto now = now_monotonic();
    auto attempt = opened->request.made;
    attempt.attempt = {.entry = this->context->incarnation, .sequence = ++this->sequence};
    attempt.remaining = elapsed(now, opened->deadline);
    attempt.until_late = std::max(microseconds::zero(), elapsed(now, opened->late_at));
    attempt.extra_attempts = opened->plan.extra_for_nested();
    opened->plan.count_attempt();
    opened->attempt = attempt.attempt;
    opened->owner = backend.node;
    opened->sent_at = now;
    opened->in_progress = true;
    const auto& view = this->view_of(backend);
    log_call(log_level::info, "attempt_sent",
             {{"request", attempt.request_id},
              {"attempt", opened->plan.attempts()},
              {"route", attempt.route},
              {"service", attempt.service},
              {"server", backend.name},
              {"owner", to_string(backend.node)},
              {"revision", this->settings->teams.at(attempt.team).revision},
              {"last_resort", attempt.last_resort ? "yes" : "no"},
              {"estimated_calls", view.estimated_calls(now)},
              {"report_age_us", view.report_age(now).count()},
              {"remaining_us", attempt.remaining.count()}});
    this->attempts.emplace(attempt.attempt, opened);
    this->view_of(backend).on_sent(now);
    if (backend.node == this->context->settings.reachable_at) {
        this->context->boxes->owner.post(std::move(attempt));
    } else {
        this->context->boxes->links.post(send_attempt{backend.node, std::move(attempt)});
    }
}

void entry_task::on_deadline(call_iterator opened) {
    this->give_up_attempt(*opened);
    this->close(opened, refuse(opened->attempt, outcome::unknown, reason::timed_out));
}

void entry_task::on_caller_gone(call_iterator opened) {
    log_call(log_level::info, "caller_left",
             {{"request", opened->request.made.request_id}, {"attempt", opened->plan.attempts()}});
    this->give_up_attempt(*opened);
    this->close(opened, refuse(opened->attempt, outcome::unknown, reason::cancelled));
}

void entry_task::give_up_attempt(open_call& opened) {
    if (!opened.in_progress) {
        return;
    }
    const auto now = now_monotonic();
    this->attempts.erase(opened.attempt);
    const auto view = this->views.find(opened.owner);
    if (view != this->views.end()) {
        view->second.on_given_up(elapsed(opened.sent_at, now), now);
    }
    if (opened.owner == this->context->settings.reachable_at) {
        this->context->boxes->owner.post(cancel{opened.attempt});
    } else {
        this->context->boxes->links.post(cancel_attempt{opened.owner, opened.attempt});
    }
}

void entry_task::close(call_iterator opened, const answer& ended) {
    auto final_answer = ended;
    if (final_answer.result == outcome::not_run && !this->certainly_not_run(*opened, final_answer)) {
        final_answer.result = outcome::unknown;
    }
    this->respond(*opened, final_answer);
    this->calls.erase(opened);
}

// The outcome of a call with a key speaks of the key, so that a caller may act on it: only the key's home
// can say that no earlier call with the key ran.
bool entry_task::certainly_not_run(const open_call& opened, const answer& ended) const {
    const auto& made = opened.request.made;
    if (made.key.given() && !made.idempotent) {
        return ended.key_never_ran;
    }
    return !opened.may_have_run;
}

void entry_task::respond(open_call& opened, const answer& ended) {
    const auto& made = opened.request.made;
    auto& series = this->context->measured->series(
        {.team = made.team, .workspace = made.workspace, .urgent = made.urgent});
    series.latency.record(elapsed(opened.started, now_monotonic()));
    ++series.outcomes.at(static_cast<std::size_t>(ended.result));
    series.extra_attempts += std::max(1U, opened.plan.attempts()) - 1;
    const bool failed = ended.result != outcome::completed || is_backend_failure(ended);
    log_call(failed ? log_level::warn : log_level::info, "call_ended",
             {{"request", made.request_id},
              {"route", made.route},
              {"service", made.service},
              {"outcome", to_string(ended.result)},
              {"reason", to_string(ended.why)},
              {"status", ended.status},
              {"server", ended.backend_server},
              {"attempts", opened.plan.attempts()},
              {"because", to_string(opened.plan.cause())},
              {"took_us", elapsed(opened.started, now_monotonic()).count()},
              {"retry_after_us", opened.retry_after.count()}});
    auto told = ended;
    told.retry_after = opened.retry_after;
    opened.exchange->respond(this->context->protocols.callers->respond(
        told, {.entry_host = this->context->settings.host, .attempts = opened.plan.attempts()}));
}

void entry_task::reject(http_exchange& exchange, const request_error& error, const std::string& id) {
    ++this->context->measured->counters().refusals.at(static_cast<std::size_t>(error.why));
    log_call(log_level::warn, "request_rejected",
             {{"request", id},
              {"status", error.status},
              {"reason", to_string(error.why)},
              {"because", error.message}});
    exchange.respond(this->context->protocols.callers->refuse(error));
}

// Limits of accepted settings go before those of the settings file.
void entry_task::configure_server() {
    for (const auto& [name, owner] : this->settings->teams) {
        if (owner.limits) {
            this->server->configure({.max_header_bytes = owner.limits->max_header_bytes,
                                     .max_body_bytes = owner.limits->max_body_bytes,
                                     .header_timeout = owner.limits->header_timeout,
                                     .idle_timeout = owner.limits->idle_timeout});
        }
    }
}

load_view& entry_task::view_of(const backend_server& backend) {
    return this->views.try_emplace(backend.node, load_view{backend.slots}).first->second;
}

retry_budget& entry_task::budget_of(const call& made, std::uint32_t retry_percent) {
    const auto& bounds = this->context->settings.repeats;
    const bool by_fleet = bounds.ratio > 0.0;
    const auto options = by_fleet ? share_of_fleet(bounds.ratio, bounds.slack, this->settings->hosts.size())
                                  : retry_options{.earned_per_call = retry_percent / percent};
    const auto name = made.team + '/' + (by_fleet ? made.service : made.workspace);
    auto& budget = this->budgets.try_emplace(name, retry_budget{options}).first->second;
    budget.configure(options);
    return budget;
}

eligibility_request entry_task::eligibility_of(const team& owner, const service& target,
                                               const region_set& regions) const {
    return {.settings = this->settings.get(),
            .owner = &owner,
            .target = &target,
            .regions = regions,
            .entry_data_centre = this->context->settings.data_centre};
}

} // namespace chervilturn
