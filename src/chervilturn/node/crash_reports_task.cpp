// Adds evidence from this host and from peers, and passes on what is new.
#include "chervilturn/node/crash_reports_task.hpp"

#include "chervilturn/core/hash.hpp"
#include "chervilturn/observe/log.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr std::size_t peers_at_once = 4; // that get new evidence, of each direction of connections
constexpr std::size_t peers_repeated = 1;
constexpr std::size_t max_repeated = 32; // pieces of evidence each time
constexpr microseconds repeat_period = std::chrono::seconds{1};
constexpr microseconds repeated_for = std::chrono::seconds{30};

} // namespace

crash_reports_task::crash_reports_task(const node_context& shared)
    : context{&shared}, record{{}}, repeat_timer{*shared.loop, [this] { this->repeat(); }} {
    shared.mailboxes->crash_reports.on_message([this](crash_reports_message&& received) {
        std::visit([this](const auto& item) { this->handle(item); }, received);
    });
    this->repeat_timer.start_periodic(repeat_period);
}

void crash_reports_task::handle(const backend_crashed& message) {
    const auto number =
        std::max<std::uint64_t>(1, rendezvous_weight(std::to_string(this->context->incarnation),
                                                     std::to_string(++this->crash_count)));
    log_event(log_level::warn, "backend_server_crashed",
              {{"server", message.server}, {"crash", number}, {"running", message.running.size()}});
    ++this->context->stats->counters().backend_crashes;
    std::vector<crash_evidence> evidence;
    for (const auto& suspect : message.running) {
        evidence.push_back({.request = suspect.request,
                            .crash = number,
                            .cleared = false,
                            .age = microseconds::zero(),
                            .data_centres = suspect.data_centres});
    }
    this->add_all(evidence);
}

void crash_reports_task::handle(const request_completed& message) {
    this->add_all(this->record.clearing(message.request, now_monotonic()));
}

void crash_reports_task::handle(const crash_report& message) {
    this->add_all(message.evidence);
}

void crash_reports_task::handle(const peer_introduced& message) {
    const auto all = this->record.evidence(now_monotonic(), crash_record_options{}.retention);
    if (!all.empty()) {
        message.send({all});
    }
}

// An operator's word that a request may run again counts as a completion.
void crash_reports_task::handle(const release_request& message) {
    std::size_t released = 0;
    for (const auto& request : this->record.held()) {
        if (to_string(request) == message.fingerprint) {
            this->add_all(this->record.clearing(request, now_monotonic()));
            ++released;
        }
    }
    message.reply({{"released", released}});
}

void crash_reports_task::handle(const describe_request& request) {
    auto held = nlohmann::json::array();
    for (const auto& item : this->published->held) {
        held.push_back({{"fingerprint", to_string(item)}, {"crashes", this->record.crashes_of(item)}});
    }
    request.reply({{"held", std::move(held)}, {"suspects", this->published->suspected.size()}});
}

void crash_reports_task::add_all(const std::vector<crash_evidence>& evidence) {
    const auto now = now_monotonic();
    crash_report news;
    for (const auto& item : evidence) {
        if (this->record.add(item, now)) {
            news.evidence.push_back(item);
        }
    }
    if (news.evidence.empty()) {
        return;
    }
    this->update_tasks();
    this->context->mailboxes->peer_client.post(spread_report{news, peers_at_once});
    this->context->mailboxes->peer_server.post(spread_report{std::move(news), peers_at_once});
}

void crash_reports_task::update_tasks() {
    auto current = std::make_shared<const crash_suspects>(
        crash_suspects{.held = this->record.held(), .suspected = this->record.suspects()});
    this->context->stats->gauges().requests_held = current->held.size();
    this->context->stats->gauges().requests_suspected = current->suspected.size();
    if (current->held == this->published->held && current->suspected == this->published->suspected) {
        return;
    }
    for (const auto& request : current->held) {
        if (!this->published->held.contains(request)) {
            log_event(log_level::warn, "request_held",
                      {{"fingerprint", to_string(request)}, {"crashes", this->record.crashes_of(request)}});
        }
    }
    for (const auto& request : this->published->held) {
        if (!current->held.contains(request)) {
            log_event(log_level::warn, "request_released", {{"fingerprint", to_string(request)}});
        }
    }
    this->published = current;
    this->context->mailboxes->entry.post(suspects_changed{current});
    this->context->mailboxes->owner.post(suspects_changed{current});
}

void crash_reports_task::repeat() {
    const auto now = now_monotonic();
    if (this->record.expire(now)) {
        this->update_tasks();
    }
    auto young = this->record.evidence(now, repeated_for);
    // Requests that crashed several servers first: most suspects of one crash never come again.
    std::stable_sort(young.begin(), young.end(), [this](const auto& left, const auto& right) {
        return this->record.crashes_of(left.request) > this->record.crashes_of(right.request);
    });
    young.resize(std::min(young.size(), max_repeated));
    if (!young.empty()) {
        this->context->mailboxes->peer_client.post(spread_report{{young}, peers_repeated});
        this->context->mailboxes->peer_server.post(spread_report{{std::move(young)}, peers_repeated});
    }
}

} // namespace chervilturn
