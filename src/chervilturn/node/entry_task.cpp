// The entry's path of a call: read, choose, send, decide, answer.
#include "chervilturn/node/entry_task.hpp"

#include "chervilturn/admission/home_history.hpp"
#include "chervilturn/node/key_resolver.hpp"
#include "chervilturn/observe/log.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr double percent = 100.0;
constexpr std::uint16_t status_misdirected = 421;
constexpr std::uint16_t status_unavailable = 503;

} // namespace

entry_task::entry_task(const node_context& shared)
    : context{&shared}, selection{make_policy(shared.settings.policy)}, random{shared.settings.seed} {
    shared.mailboxes->entry.on_message([this](entry_message&& received) {
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
    this->usual.retain([this](const std::string& route) { return this->has_route(route); });
}

void entry_task::handle(const attempt_ended& message) {
    const auto now = now_monotonic();
    const auto& ended = message.ended;
    const auto found = this->attempts.find(ended.attempt);
    if (found == this->attempts.end()) {
        ++this->context->stats->counters().late_answers;
        return;
    }
    const auto opened = found->second;
    this->attempts.erase(found);
    auto& life = opened->life;
    const auto sent = *life.in_progress();
    const auto latency = elapsed(sent.sent_at, now);
    this->learn(life.original_call().route, sent, message, now);
    const auto next =
        life.end_attempt(ended, this->selection->reconsiders_refusals(),
                         this->budget_of(life.original_call(), life.request().retry_percent), now);
    this->count_step(life, latency);
    log_call(log_level::info, "attempt_ended",
             {{"request", life.original_call().request_id},
              {"attempt", life.plan().attempts()},
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
              {"next", to_string(life.plan().cause())}});
    if (next == retry_action::retry) {
        this->try_next(opened);
        return;
    }
    this->close(opened);
}

void entry_task::learn(const std::string& route, const entry_call::attempt& sent,
                       const attempt_ended& message, instant now) {
    const auto& ended = message.ended;
    const bool served = ended.result == outcome::completed && !is_backend_failure(ended);
    if (served) {
        this->usual.learn(route, ended.service_time, ended.load.slowdown_percent);
    }
    const auto view = this->views.find(sent.owner);
    if (view == this->views.end()) {
        return;
    }
    if (!message.from_owner) {
        view->second.on_no_answer(now);
        return;
    }
    view->second.on_answer(ended, elapsed(sent.sent_at, now), now);
    if (served) {
        view->second.learn_slowdown(ended.service_time, this->usual.of(route), ended.load.slowdown_percent,
                                    now);
    }
}

void entry_task::count_step(const entry_call& life, microseconds latency) {
    auto& counters = this->context->stats->counters();
    const auto cause = life.plan().cause();
    counters.reroutes += cause == retry_cause::rerouted ? 1 : 0;
    counters.retries += cause == retry_cause::retried ? 1 : 0;
    counters.retry_budget_spent += cause == retry_cause::budget_spent ? 1 : 0;
    this->context->stats->record_step({.service = life.original_call().service,
                                       .urgent = life.original_call().urgent,
                                       .step = call_step::attempt},
                                      latency);
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
        request.original_call.service = pick_split_part(request.split, this->random).service;
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
    this->budget_of(request.original_call, request.retry_percent).count_first_attempt();
    this->calls.push_back(
        open_call{.exchange = std::move(exchange),
                  .life = entry_call{std::move(request), this->context->settings.limits.max_reroutes, now},
                  .expiry = nullptr});
    const auto opened = std::prev(this->calls.end());
    opened->exchange->on_abandoned([this, opened] { this->on_caller_gone(opened); });
    opened->expiry =
        std::make_unique<timer>(*this->context->loop, [this, opened] { this->on_deadline(opened); });
    opened->expiry->start_once(elapsed(now, opened->life.deadline()));
    this->try_next(opened);
}

void entry_task::try_next(call_iterator opened) {
    auto& life = opened->life;
    const auto* owner = this->settings->find_team(life.original_call().team);
    const auto* target = owner != nullptr && owner->services.contains(life.original_call().service)
                             ? &owner->services.at(life.original_call().service)
                             : nullptr;
    const backend_server* server = nullptr;
    if (target != nullptr) {
        server = life.goes_to_key_home() ? this->choose_key_home(life, *owner, *target)
                                         : this->choose(life, *owner, *target);
    }
    if (server == nullptr) {
        this->close(opened);
        return;
    }
    this->send(opened, *server);
}

const backend_server* entry_task::choose(entry_call& life, const team& owner, const service& target) {
    const auto now = now_monotonic();
    const auto candidates = eligible_candidates(
        this->eligibility_of(owner, target, life.request().regions), life.history(),
        [this](const backend_server& backend) -> const load_view& { return this->view_of(backend); }, now);
    if (candidates.empty()) {
        return nullptr;
    }
    const auto usual_here = this->usual.of(life.original_call().route);
    const auto& picked =
        candidates[this->selection->pick(candidates, life.estimate(usual_here, now), this->random, now)];
    const auto& server = target.backend_servers[picked.index];
    life.pick(server.name, candidates.size() == 1 || picked.refused_before, usual_here);
    return &server;
}

const backend_server* entry_task::choose_key_home(const entry_call& life, const team& owner,
                                                  const service& target) const {
    const auto candidates = home_candidates(*this->settings, owner, target);
    const auto home = key_home(candidates, life.request().regions, scoped_key(life.original_call()).text);
    for (const auto& backend : target.backend_servers) {
        if (home == backend.node) {
            return &backend;
        }
    }
    return nullptr;
}

void entry_task::send(call_iterator opened, const backend_server& backend) {
    const auto now = now_monotonic();
    auto& life = opened->life;
    auto attempt = life.begin_attempt({.entry = this->context->incarnation, .sequence = ++this->sequence},
                                      backend.node, now);
    auto& view = this->view_of(backend);
    const auto age = view.report_age(now);
    log_call(log_level::info, "attempt_sent",
             {{"request", attempt.request_id},
              {"attempt", life.plan().attempts()},
              {"route", attempt.route},
              {"service", attempt.service},
              {"server", backend.name},
              {"owner", to_string(backend.node)},
              {"revision", this->settings->teams.at(attempt.team).revision},
              {"last_resort", attempt.last_resort ? "yes" : "no"},
              {"estimated_calls", view.estimated_calls(now)},
              {"report_age_us", age ? std::to_string(age->count()) : "none"},
              {"remaining_us", attempt.remaining.count()}});
    this->attempts.emplace(attempt.attempt, opened);
    view.on_sent(now);
    if (backend.node == this->context->settings.reachable_at) {
        this->context->mailboxes->owner.post(std::move(attempt));
    } else {
        this->context->mailboxes->peer_client.post(send_attempt{backend.node, std::move(attempt)});
    }
}

void entry_task::on_deadline(call_iterator opened) {
    this->give_up_attempt(opened->life);
    opened->life.end_with(outcome::unknown, reason::timed_out);
    this->close(opened);
}

void entry_task::on_caller_gone(call_iterator opened) {
    auto& life = opened->life;
    log_call(log_level::info, "caller_left",
             {{"request", life.original_call().request_id}, {"attempt", life.plan().attempts()}});
    this->give_up_attempt(life);
    life.end_with(outcome::unknown, reason::cancelled);
    this->close(opened);
}

void entry_task::give_up_attempt(entry_call& life) {
    if (!life.in_progress()) {
        return;
    }
    const auto attempt = *life.in_progress();
    life.abandon_attempt();
    const auto now = now_monotonic();
    this->attempts.erase(attempt.id);
    const auto view = this->views.find(attempt.owner);
    if (view != this->views.end()) {
        view->second.on_cancelled(elapsed(attempt.sent_at, now), now);
    }
    if (attempt.owner == this->context->settings.reachable_at) {
        this->context->mailboxes->owner.post(cancel{attempt.id});
    } else {
        this->context->mailboxes->peer_client.post(cancel_attempt{attempt.owner, attempt.id});
    }
}

void entry_task::close(call_iterator opened) {
    this->respond(*opened);
    this->calls.erase(opened);
}

void entry_task::respond(open_call& opened) {
    const auto& life = opened.life;
    const auto& made = life.original_call();
    auto told = life.final_answer();
    const auto took = elapsed(life.started(), now_monotonic());
    auto& series = this->context->stats->series(
        {.team = made.team, .service = made.service, .workspace = made.workspace, .urgent = made.urgent});
    series.latency.record(took);
    ++series.outcomes.at(static_cast<std::size_t>(told.result));
    series.extra_attempts += std::max(1U, life.plan().attempts()) - 1;
    const bool failed = told.result != outcome::completed || is_backend_failure(told);
    log_call(failed ? log_level::warn : log_level::info, "call_ended",
             {{"request", made.request_id},
              {"route", made.route},
              {"service", made.service},
              {"outcome", to_string(told.result)},
              {"reason", to_string(told.why)},
              {"status", told.status},
              {"server", told.backend_server},
              {"attempts", life.plan().attempts()},
              {"because", to_string(life.plan().cause())},
              {"took_us", took.count()},
              {"retry_after_us", life.retry_after().count()}});
    told.retry_after = life.retry_after();
    opened.exchange->respond(this->context->protocols.callers->respond(
        told, {.entry_host = this->context->settings.host, .attempts = life.plan().attempts()}));
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
    const auto& bounds = this->context->settings.fleet_retries;
    const bool by_fleet = bounds.ratio > 0.0;
    const auto options = by_fleet ? share_of_fleet(bounds.ratio, bounds.slack, this->settings->hosts.size())
                                  : retry_options{.earned_per_call = retry_percent / percent};
    const auto name = made.team + '/' + (by_fleet ? made.service : made.workspace);
    auto& budget = this->budgets.try_emplace(name, retry_budget{options}).first->second;
    budget.configure(options);
    this->context->stats->gauges().retry_budget_left[name] = budget.left();
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
