// Connections that this node opens to peers, and the outcome of attempts whose connection is silent or lost.
#include "chervilturn/node/peer_client_task.hpp"

#include "chervilturn/observe/log.hpp"

#include <utility>

namespace chervilturn {

namespace {

constexpr microseconds check_period = std::chrono::milliseconds{50};
constexpr microseconds connect_timeout = std::chrono::milliseconds{500};
constexpr microseconds idle_timeout = std::chrono::seconds{60};
// A peer that was told nothing for so long is compared no longer.
constexpr microseconds comparison_timeout = std::chrono::seconds{3};
void log_update(const address& peer, const settings_update& update, const frame_arrival& arrival) {
    if (!update.subtrees.empty()) {
        log_event(log_level::info, "settings_received",
                  {{"peer", to_string(peer)},
                   {"leaves", leaf_count(update)},
                   {"bytes", arrival.bytes},
                   {"transfer_us", arrival.transfer_time.count()}});
    }
}

} // namespace

peer_client_task::peer_client_task(const node_context& shared)
    : context{&shared}, sender{shared}, random{shared.incarnation}, check_timer{*shared.loop, [this] {
                                                                                    this->check_links();
                                                                                }} {
    shared.mailboxes->peer_client.on_message([this](peer_client_message&& received) {
        std::visit([this](auto&& item) { this->handle(std::forward<decltype(item)>(item)); },
                   std::move(received));
    });
    this->check_timer.start_periodic(check_period);
}

void peer_client_task::handle(send_attempt&& request) {
    const auto now = now_monotonic();
    auto& target = this->link_to(request.owner);
    if (target.outstanding.empty()) {
        target.health.on_first_outstanding(now);
    }
    target.outstanding.add(request.request.attempt, now + request.request.remaining);
    if (target.is_ready()) {
        this->write_call(target, std::move(request.request));
    } else {
        target.unsent.emplace_back(std::move(request.request));
    }
}

void peer_client_task::handle(const cancel_attempt& request) {
    const auto found = this->links.find(request.owner);
    if (found == this->links.end()) {
        return;
    }
    auto& target = found->second;
    if (!target.outstanding.cancel(request.attempt, now_monotonic())) {
        return;
    }
    const auto dropped = std::erase_if(target.unsent, [&request](const message& queued_message) {
        const auto* queued_call = std::get_if<call>(&queued_message);
        return queued_call != nullptr && queued_call->attempt == request.attempt;
    });
    if (dropped > 0) {
        static_cast<void>(target.outstanding.on_not_sent(request.attempt)); // cancelled: nobody waits for it
    } else if (target.is_ready()) {
        this->send_on(target, cancel{request.attempt}); // otherwise it goes out on the replacement
    }
}

void peer_client_task::handle(const send_subscription& request) {
    auto& target = this->link_to(request.peer);
    if (!target.is_subscribed()) {
        target.health.on_first_subscribed(now_monotonic());
    }
    target.followed = target.followed || request.request.follow;
    this->send_on(target, request.request);
}

void peer_client_task::handle(const end_subscription& request) {
    const auto found = this->links.find(request.peer);
    if (found == this->links.end()) {
        return;
    }
    found->second.followed = false;
    this->send_on(found->second, subscription{.revisions = request.revisions, .ends = true});
}

void peer_client_task::handle(const send_key_inquiry& request) {
    this->send_on(this->link_to(request.peer), request.inquiry);
}

void peer_client_task::handle(const spread_report& request) {
    std::vector<link*> ready;
    for (auto& [peer, target] : this->links) {
        if (target.is_ready() && target.accepts_reports) {
            ready.push_back(&target);
        }
    }
    for (auto* target : this->random.sample(std::move(ready), request.peers)) {
        this->send_report(*target, request.report);
    }
}

void peer_client_task::handle(const send_comparison& request) {
    const auto now = now_monotonic();
    auto& target = this->link_to(request.peer);
    if (!target.is_subscribed()) {
        target.health.on_first_subscribed(now);
    }
    target.compared = true;
    target.last_compared_at = now;
    if (!target.is_ready()) {
        std::erase_if(target.unsent,
                      [](const message& queued) { return std::holds_alternative<comparison>(queued); });
        target.unsent.emplace_back(request.told);
    } else if (target.accepts_comparisons) {
        this->send_on(target, request.told);
    }
}

void peer_client_task::send_report(link& target, const crash_report& report) {
    const auto permitted = report_for(target.data_centre, report);
    if (!permitted.evidence.empty()) {
        this->send_on(target, permitted);
    }
}

void peer_client_task::handle(const describe_request& request) {
    auto links_json = nlohmann::json::array();
    for (const auto& [peer, target] : this->links) {
        links_json.push_back({{"peer", to_string(peer)},
                              {"state", std::string{name_of(target.health.state())}},
                              {"outstanding", target.outstanding.size()},
                              {"followed", target.followed}});
    }
    request.reply(std::move(links_json));
}

connection_demand peer_client_task::link::demand() const noexcept {
    if (this->outstanding.empty()) {
        return connection_demand::subscription;
    }
    return this->is_subscribed() ? connection_demand::calls_and_subscription : connection_demand::calls;
}

connection_options peer_client_task::health_options() const {
    const auto& reading = this->context->settings.reading;
    return {.with_subscription = {reading.parent_ping, reading.parent_suspect}};
}

peer_client_task::link& peer_client_task::link_to(const address& peer) {
    const auto now = now_monotonic();
    const auto found = this->links.find(peer);
    if (found != this->links.end()) {
        found->second.last_used_at = now;
        return found->second;
    }
    link new_link{.peer = peer,
                  .current = nullptr,
                  .replacement = nullptr,
                  .health = connection_health{this->health_options(), now},
                  .outstanding = {},
                  .unsent = {},
                  .data_centre = {},
                  .incoming = {}};
    auto& target = this->links.emplace(peer, std::move(new_link)).first->second;
    this->open_current(target);
    return target;
}

std::shared_ptr<peer_connection> peer_client_task::open_connection(link& target, std::uint64_t generation) {
    auto connection = peer_connection::open(*this->context->loop, target.peer);
    const auto peer = target.peer;
    connection->set_handlers(
        {.opened = [] {},
         .received =
             [this, peer, generation](message&& received, const frame_arrival& arrival) {
                 this->on_message(peer, generation, std::move(received), arrival);
             },
         .progressed = [this, peer, generation] { this->on_progress(peer, generation); },
         .closed = [this, peer,
                    generation](close_cause cause) { this->on_closed(peer, generation, cause); }});
    this->sender.introduce(*connection, target.data_centre);
    return connection;
}

void peer_client_task::open_current(link& target) {
    const auto now = now_monotonic();
    target.current_generation = ++this->last_generation;
    target.current = this->open_connection(target, target.current_generation);
    target.health = connection_health{this->health_options(), now};
    target.owner_incarnation = 0;
    target.opened_at = now;
    target.last_used_at = now;
}

void peer_client_task::open_replacement(link& target) {
    ++this->context->stats->counters().silent_connections;
    log_event(log_level::warn, "connection_suspect",
              {{"peer", to_string(target.peer)}, {"outstanding", target.outstanding.size()}});
    target.replacement_opened_at = now_monotonic();
    if (target.followed) {
        const bool ended = target.current->is_closed();
        this->context->mailboxes->control.post(peer_silent{
            target.peer, ended ? microseconds::zero() : target.health.subscription_silence(now_monotonic())});
    }
    target.replacement_generation = ++this->last_generation;
    target.replacement = this->open_connection(target, target.replacement_generation);
}

void peer_client_task::on_message(const address& peer, std::uint64_t generation, message&& received,
                                  const frame_arrival& arrival) {
    const auto found = this->links.find(peer);
    if (found == this->links.end()) {
        return;
    }
    auto& target = found->second;
    if (is_control(received)) {
        this->context->stats->counters().control_bytes_received += arrival.bytes;
    }
    if (generation == target.current_generation) {
        target.health.on_received(now_monotonic());
    }
    std::visit(
        overloaded{[&](const hello& item) { this->on_hello(target, generation, item); },
                   [&](crash_report& item) { this->context->mailboxes->crash_reports.post(std::move(item)); },
                   [&](answer& item) { this->on_answer(target, std::move(item)); },
                   [&](const body_request& item) { this->on_body_request(target, item); },
                   [&](settings_update& item) {
                       log_update(target.peer, item, arrival);
                       this->context->mailboxes->control.post(update_received{target.peer, std::move(item)});
                   },
                   [&](const update_part& item) {
                       if (generation == target.current_generation) {
                           this->on_update_part(target, item);
                       }
                   },
                   [&](key_inquiry_reply& item) { this->context->mailboxes->owner.post(std::move(item)); },
                   [&](const ping& item) { this->send_on(target, pong{item.nonce}); }, [](const auto&) {}},
        received);
}

void peer_client_task::on_hello(link& target, std::uint64_t generation, const hello& peer_hello) {
    target.data_centre = peer_hello.data_centre;
    target.accepts_reports = peer_hello.accepts_reports;
    target.accepts_comparisons = peer_hello.accepts_comparisons;
    target.requests_bodies = peer_hello.requests_bodies;
    this->on_introduced(target, generation, peer_hello);
    if (!peer_hello.accepts_reports) {
        return;
    }
    this->context->mailboxes->crash_reports.post(
        peer_introduced{[this, peer = target.peer](const crash_report& report) {
            const auto found = this->links.find(peer);
            if (found != this->links.end() && found->second.accepts_reports) {
                this->send_report(found->second, report);
            }
        }});
}

// A long message that is on its way shows that the peer lives, although its pongs wait behind it.
void peer_client_task::on_progress(const address& peer, std::uint64_t generation) {
    const auto found = this->links.find(peer);
    if (found != this->links.end() && generation == found->second.current_generation) {
        found->second.health.on_received(now_monotonic());
    }
}

void peer_client_task::on_introduced(link& target, std::uint64_t generation, const hello& peer_hello) {
    if (generation == target.replacement_generation) {
        this->switch_to_replacement(target, peer_hello.incarnation);
        return;
    }
    target.health.on_connected(now_monotonic());
    target.owner_incarnation = peer_hello.incarnation;
    this->send_unsent(target);
}

void peer_client_task::switch_to_replacement(link& target, std::uint64_t owner_incarnation) {
    log_event(log_level::warn, "connection_replaced",
              {{"peer", to_string(target.peer)}, {"outstanding", target.outstanding.size()}});
    const auto now = now_monotonic();
    target.health.on_replaced();
    target.current->close();
    target.current = std::move(target.replacement);
    target.current_generation = std::exchange(target.replacement_generation, 0);
    target.health = connection_health{this->health_options(), now};
    target.health.on_connected(now);
    target.owner_incarnation = owner_incarnation;
    this->resume(target);
    target.incoming = {};
    if (target.followed) {
        this->context->mailboxes->control.post(peer_reconnected{target.peer});
    }
    this->send_unsent(target);
}

// A call is sent only after the owner has introduced itself on the connection. If the connection ends
// before that, the call certainly did not run.
void peer_client_task::send_unsent(link& target) {
    const auto messages = std::exchange(target.unsent, {});
    for (const auto& queued_message : messages) {
        if (const auto* queued_call = std::get_if<call>(&queued_message)) {
            this->write_call(target, call{*queued_call});
        } else if (target.accepts_comparisons || !std::holds_alternative<comparison>(queued_message)) {
            this->send_on(target, queued_message);
        }
    }
}

void peer_client_task::write_call(link& target, call&& outgoing) {
    const auto attempt = outgoing.attempt;
    target.outstanding.on_sending(outgoing, target.owner_incarnation, target.requests_bodies,
                                  now_monotonic());
    if (this->sender.send(*target.current, target.data_centre, message{std::move(outgoing)}) > 0) {
        return;
    }
    if (auto unsent = target.outstanding.on_not_sent(attempt)) {
        this->end_attempt(std::move(*unsent));
    }
}

void peer_client_task::on_body_request(link& target, const body_request& request) {
    if (!target.is_ready()) {
        return;
    }
    if (auto part = target.outstanding.body_part(request)) {
        this->send_on(
            target,
            call_body{.attempt = request.attempt, .offset = request.offset, .bytes = std::move(*part)});
    }
}

void peer_client_task::on_answer(link& target, answer&& ended) {
    if (this->context->bodies != nullptr && ended.body.size() > max_uncounted_body) {
        ended.held = std::make_shared<byte_share>(*this->context->bodies, ended.body.size());
    }
    if (auto forwarded = target.outstanding.on_answer(std::move(ended), now_monotonic())) {
        this->context->mailboxes->entry.post(attempt_ended{std::move(*forwarded), true});
    } else {
        ++this->context->stats->counters().late_answers;
    }
}

void peer_client_task::on_update_part(link& target, const update_part& part) {
    const auto now = now_monotonic();
    auto added = target.incoming.add(part, now);
    if (!succeeded(added)) {
        log_event(log_level::warn, "settings_part_rejected",
                  {{"peer", to_string(target.peer)}, {"because", error_of(added).message}});
        target.current->close();
        this->on_closed(address{target.peer}, target.current_generation, close_cause::malformed_frame);
        return;
    }
    this->send_on(target, target.incoming.receipt());
    if (auto update = value_of(std::move(added))) {
        log_update(target.peer, *update, {.bytes = part.total, .transfer_time = target.incoming.age(now)});
        this->context->mailboxes->control.post(update_received{target.peer, std::move(*update)});
    } else {
        this->context->mailboxes->control.post(update_part_received{});
    }
}

void peer_client_task::on_closed(const address& peer, std::uint64_t generation, close_cause cause) {
    const auto found = this->links.find(peer);
    if (found == this->links.end()) {
        return;
    }
    auto& target = found->second;
    if (cause == close_cause::malformed_frame) {
        ++this->context->stats->counters().malformed_frames;
        log_event(log_level::warn, "frame_malformed", {{"peer", to_string(peer)}});
    }
    const bool current_closed = generation == target.current_generation;
    if (!current_closed && generation != target.replacement_generation) {
        return;
    }
    if (cause == close_cause::refused || !current_closed) {
        this->fail_link(target);
        return;
    }
    if (target.owner_incarnation == 0) {
        this->fail_link(target);
    } else if (!target.in_demand()) {
        this->links.erase(found);
    } else if (target.replacement == nullptr) {
        this->open_replacement(target);
    }
}

void peer_client_task::resume(link& target) {
    auto following = target.outstanding.on_replaced(target.owner_incarnation, now_monotonic());
    for (const auto& outgoing : following.outgoing) {
        this->send_on(target, outgoing);
    }
    for (auto& ended : following.ended) {
        this->end_attempt(std::move(ended));
    }
}

void peer_client_task::fail_link(link& target) {
    const auto peer = target.peer;
    const bool had_subscription = target.followed;
    auto attempts = std::move(target.outstanding);
    log_event(log_level::info, "link_failed", {{"peer", to_string(peer)}, {"outstanding", attempts.size()}});
    this->links.erase(peer);
    for (auto& ended : attempts.on_failed()) {
        this->end_attempt(std::move(ended));
    }
    if (had_subscription) {
        this->context->mailboxes->control.post(peer_lost{peer});
    }
}

// The link ends an attempt, without a word of its owner.
void peer_client_task::end_attempt(answer&& ended) {
    this->context->mailboxes->entry.post(attempt_ended{std::move(ended), false});
}

void peer_client_task::send_on(link& target, const message& outgoing) {
    if (target.is_ready()) {
        this->sender.send(*target.current, target.data_centre, outgoing);
    } else {
        target.unsent.push_back(outgoing);
    }
}

void peer_client_task::expire_comparisons(link& target, instant now) {
    target.compared = target.compared && now - target.last_compared_at < comparison_timeout;
}

void peer_client_task::check_links() {
    const auto now = now_monotonic();
    std::vector<address> peers;
    std::uint64_t connected = 0;
    for (const auto& [peer, target] : this->links) {
        peers.push_back(peer);
        connected += target.is_ready() ? 1 : 0;
    }
    this->context->stats->gauges().peers_connected = connected;
    for (const auto& peer : peers) {
        const auto found = this->links.find(peer);
        if (found != this->links.end()) {
            found->second.outstanding.expire(now);
            expire_comparisons(found->second, now);
            this->check_link(found->second, now);
        }
    }
}

void peer_client_task::check_link(link& target, instant now) {
    if (target.replacement != nullptr) {
        if (now - target.replacement_opened_at > connect_timeout) {
            this->fail_link(target);
        }
        return;
    }
    if (target.health.state() == connection_state::connecting) {
        if (now - target.opened_at > connect_timeout) {
            this->fail_link(target);
        }
        return;
    }
    if (!target.in_demand()) {
        if (now - target.last_used_at > idle_timeout) {
            this->links.erase(target.peer);
        }
        return;
    }
    switch (target.health.advise(target.demand(), now)) {
    case connection_advice::ping:
        this->send_on(target, ping{});
        break;
    case connection_advice::open_replacement:
        this->open_replacement(target);
        break;
    case connection_advice::nothing:
        break;
    }
}

} // namespace chervilturn
