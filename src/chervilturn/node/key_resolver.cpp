// Inquiries among homes of idempotency keys.
#include "chervilturn/node/key_resolver.hpp"

#include "chervilturn/observe/log.hpp"

namespace chervilturn {

namespace {

constexpr microseconds reply_timeout = std::chrono::milliseconds{400};
constexpr microseconds home_memory = std::chrono::minutes{70}; // longer than regions lose each other

} // namespace

clock_reading read_clocks() noexcept {
    return {now_monotonic(), now_wall()};
}

idempotency_key scoped_key(const call& carrier) {
    idempotency_key scoped{.text = carrier.team, .created = carrier.key.created};
    for (const auto* part : {&carrier.workspace, &carrier.service, &carrier.key.text}) {
        scoped.text += '/';
        scoped.text += *part;
    }
    return scoped;
}

key_resolver::key_resolver(const node_context& shared, resolved_handler handler)
    : context{&shared}, resolved{std::move(handler)}, record{key_record_options{}, read_clocks()} {}

void key_resolver::observe(const model& settings) {
    const auto now = read_clocks();
    this->listed_hosts.clear();
    for (const auto& [peers, listed] : settings.hosts) {
        this->listed_hosts.insert(peers);
    }
    for (const auto& [team_name, owner] : settings.teams) {
        for (const auto& [name, customer] : owner.workspaces) {
            this->bindings.observe(team_name + "/workspaces/" + name, customer.home_regions, now);
        }
        for (const auto& [name, matched] : owner.routes) {
            this->bindings.observe(team_name + "/routes/" + name, matched.home_regions, now);
        }
        for (const auto& [service_name, target] : owner.services) {
            auto& history = this->homes[team_name + '/' + service_name];
            history.observe(home_candidates(settings, owner, target), service_owners(settings, target), now);
            history.expire(now.monotonic - home_memory);
        }
    }
}

void key_resolver::resolve(call&& carrier, const team& owner, const service& target,
                           const region_set& regions) {
    const auto key = scoped_key(carrier);
    auto period = this->homes[owner.name + '/' + target.name].period(regions, key.text,
                                                                     this->context->settings.reachable_at);
    for (const auto& bound :
         {owner.name + "/workspaces/" + carrier.workspace, owner.name + "/routes/" + carrier.route}) {
        this->bindings.limit(period, bound);
    }
    const auto decision = this->record.decide(key, period, read_clocks());
    if (const auto* wanted = std::get_if<key_unresolved>(&decision)) {
        this->ask(std::move(carrier), *wanted);
        return;
    }
    this->resolved(std::move(carrier), decision);
}

void key_resolver::begin(const call& carrier) {
    this->record.begin(scoped_key(carrier), read_clocks());
}

void key_resolver::finish(const call& carrier, const answer& ended) {
    if (ended.result == outcome::not_run) {
        this->record.forget(scoped_key(carrier));
    } else {
        this->record.finish(scoped_key(carrier), ended);
    }
}

key_report key_resolver::report_and_fence(const key_inquiry& asked) {
    return this->record.report_and_fence(asked.key, asked.home, read_clocks());
}

void key_resolver::on_reply(const key_inquiry_reply& reply) {
    const auto found = this->held.find(reply.number);
    if (found == this->held.end()) {
        return;
    }
    found->second.reports.push_back(reply.report);
    if (--found->second.awaited == 0) {
        this->conclude(reply.number);
    }
}

void key_resolver::check_overdue(instant now) {
    std::vector<std::uint64_t> overdue;
    for (const auto& [number, waiting] : this->held) {
        if (now >= waiting.reply_by) {
            overdue.push_back(number);
        }
    }
    for (const auto number : overdue) {
        this->held.at(number).reports.push_back({key_finding::unreachable, {}});
        this->conclude(number);
    }
}

void key_resolver::restart() {
    const auto now = read_clocks();
    this->record.restart(now);
    for (auto& [service_name, history] : this->homes) {
        history.restart(now);
    }
}

// A host that the platform no longer lists is gone by the operators' word and runs nothing more.
void key_resolver::ask(call&& carrier, const key_unresolved& wanted) {
    const auto number = ++this->inquiries;
    const auto now = now_monotonic();
    const auto deadline = now + carrier.remaining;
    pending_call waiting{.carrier = std::move(carrier),
                         .reports = {},
                         .awaited = 0,
                         .deadline = deadline,
                         .reply_by = std::min(now + reply_timeout, deadline)};
    for (const auto& earlier : wanted.earlier) {
        if (!this->listed_hosts.contains(earlier)) {
            continue;
        }
        ++waiting.awaited;
        const key_inquiry asked{.number = number,
                                .key = scoped_key(waiting.carrier),
                                .home = this->context->settings.reachable_at};
        this->context->mailboxes->peer_client.post(send_key_inquiry{earlier, asked});
    }
    const bool nobody_left = waiting.awaited == 0;
    this->held.emplace(number, std::move(waiting));
    if (nobody_left) {
        this->conclude(number);
    }
}

void key_resolver::conclude(std::uint64_t number) {
    auto waiting = std::move(this->held.at(number));
    this->held.erase(number);
    const auto decision = this->record.decide_after_asking(scoped_key(waiting.carrier), waiting.reports);
    waiting.carrier.remaining = elapsed(now_monotonic(), waiting.deadline);
    this->resolved(std::move(waiting.carrier), decision);
}

} // namespace chervilturn
