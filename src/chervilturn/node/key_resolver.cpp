// Inquiries between current and earlier homes of idempotency keys.
#include "chervilturn/node/key_resolver.hpp"

#include "chervilturn/observe/log.hpp"

namespace chervilturn {

namespace {

constexpr microseconds reply_timeout = std::chrono::milliseconds{400};
// Earlier homes are kept for longer than regions stay cut off from each other.
constexpr microseconds home_retention = std::chrono::minutes{70};

} // namespace

clock_reading read_clocks() noexcept {
    return {now_monotonic(), now_wall()};
}

idempotency_key scoped_key(const call& keyed_call) {
    idempotency_key scoped{.text = keyed_call.team, .created = keyed_call.key.created};
    for (const auto* part : {&keyed_call.workspace, &keyed_call.service, &keyed_call.key.text}) {
        scoped.text += '/';
        scoped.text += *part;
    }
    return scoped;
}

key_resolver::key_resolver(const node_context& shared_context, resolved_handler handler)
    : context{&shared_context}, on_resolved{std::move(handler)}, record{key_record_options{}, read_clocks()} {
}

void key_resolver::update_settings(const model& settings) {
    const auto now = read_clocks();
    this->listed_hosts.clear();
    for (const auto& [peer_address, listed_host] : settings.hosts) {
        this->listed_hosts.insert(peer_address);
    }
    for (const auto& [team_name, owning_team] : settings.teams) {
        for (const auto& [name, workspace_entry] : owning_team.workspaces) {
            this->bindings.record_regions(team_name + "/workspaces/" + name, workspace_entry.home_regions,
                                          now);
        }
        this->record_routes(owning_team, now);
        for (const auto& [service_name, target] : owning_team.services) {
            auto& history = this->home_histories[team_name + '/' + service_name];
            history.record_candidates(home_candidates(settings, owning_team, target),
                                      service_owners(settings, target), now);
            history.expire(now.monotonic - home_retention);
        }
    }
}

void key_resolver::record_routes(const team& owning_team, const clock_reading& now) {
    auto& recorded = this->recorded_routes[owning_team.name];
    if (recorded == owning_team.routes) {
        return;
    }
    for (const auto& [name, present] : owning_team.routes->by_name) {
        if (recorded == nullptr || recorded->find(name) != present.get()) {
            this->bindings.record_regions(owning_team.name + "/routes/" + name, present->home_regions, now);
        }
    }
    recorded = owning_team.routes;
}

void key_resolver::resolve(call&& received, const team& owning_team, const service& target,
                           const region_set& regions) {
    const auto key = scoped_key(received);
    auto period = this->home_histories[owning_team.name + '/' + target.name].period(
        regions, key.text, this->context->settings.reachable_at);
    for (const auto& binding_name : {owning_team.name + "/workspaces/" + received.workspace,
                                     owning_team.name + "/routes/" + received.route}) {
        this->bindings.raise_known_since(period, binding_name);
    }
    const auto decision = this->record.decide(key, period, read_clocks());
    if (const auto* unresolved = std::get_if<key_unresolved>(&decision)) {
        this->send_inquiries(std::move(received), *unresolved);
        return;
    }
    this->on_resolved(std::move(received), decision);
}

bool key_resolver::withdraw(const attempt_id& attempt) {
    return std::erase_if(this->pending_calls, [&attempt](const auto& numbered) {
               return numbered.second.received.attempt == attempt;
           }) > 0;
}

void key_resolver::begin(const call& received) {
    this->record.begin(scoped_key(received), read_clocks());
}

void key_resolver::finish(const call& received, const answer& ended) {
    if (ended.result == outcome::not_run) {
        this->record.forget(scoped_key(received));
    } else {
        this->record.finish(scoped_key(received), ended);
    }
}

key_report key_resolver::report_and_fence(const key_inquiry& request) {
    return this->record.report_and_fence(request.key, request.home, read_clocks());
}

void key_resolver::on_reply(const key_inquiry_reply& reply) {
    const auto found = this->pending_calls.find(reply.number);
    if (found == this->pending_calls.end()) {
        return;
    }
    found->second.reports.push_back(reply.report);
    if (--found->second.missing_replies == 0) {
        this->finish_inquiry(reply.number);
    }
}

void key_resolver::expire_inquiries(instant now) {
    std::vector<std::uint64_t> overdue;
    for (const auto& [number, pending_entry] : this->pending_calls) {
        if (now >= pending_entry.reply_by) {
            overdue.push_back(number);
        }
    }
    for (const auto number : overdue) {
        this->pending_calls.at(number).reports.push_back({key_finding::unreachable, {}});
        this->finish_inquiry(number);
    }
}

void key_resolver::restart() {
    const auto now = read_clocks();
    this->record.restart(now);
    for (auto& [service_name, history] : this->home_histories) {
        history.restart(now);
    }
}

// Skips hosts that the host list no longer contains: operators removed them, and they run no calls.
void key_resolver::send_inquiries(call&& received, const key_unresolved& unresolved) {
    const auto number = ++this->latest_inquiry;
    const auto now = now_monotonic();
    const auto deadline = now + received.remaining;
    pending_call pending_entry{.received = std::move(received),
                               .reports = {},
                               .missing_replies = 0,
                               .deadline = deadline,
                               .reply_by = std::min(now + reply_timeout, deadline)};
    for (const auto& earlier_home : unresolved.owners_to_ask) {
        if (!this->listed_hosts.contains(earlier_home)) {
            continue;
        }
        ++pending_entry.missing_replies;
        const key_inquiry request{.number = number,
                                  .key = scoped_key(pending_entry.received),
                                  .home = this->context->settings.reachable_at};
        this->context->mailboxes->peer_client.post(send_key_inquiry{earlier_home, request});
    }
    const bool no_inquiry_sent = pending_entry.missing_replies == 0;
    this->pending_calls.emplace(number, std::move(pending_entry));
    if (no_inquiry_sent) {
        this->finish_inquiry(number);
    }
}

void key_resolver::finish_inquiry(std::uint64_t number) {
    auto pending_entry = std::move(this->pending_calls.at(number));
    this->pending_calls.erase(number);
    const auto decision =
        this->record.decide_after_inquiry(scoped_key(pending_entry.received), pending_entry.reports);
    pending_entry.received.remaining = elapsed(now_monotonic(), pending_entry.deadline);
    this->on_resolved(std::move(pending_entry.received), decision);
}

} // namespace chervilturn
