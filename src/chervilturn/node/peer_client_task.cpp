// Links to other nodes, and what happens to attempts when a link falls silent or breaks.
#include "chervilturn/node/peer_client_task.hpp"

#include "chervilturn/observe/log.hpp"

#include <utility>

namespace chervilturn {

namespace {

constexpr microseconds check_period = std::chrono::milliseconds{50};
constexpr microseconds connect_timeout = std::chrono::milliseconds{500};
constexpr microseconds idle_timeout = std::chrono::seconds{60};

} // namespace

peer_client_task::peer_client_task(const node_context& shared)
    : context{&shared}, tick{*shared.loop, [this] { this->check_links(); }} {
    shared.mailboxes->peer_client.on_message([this](peer_client_message&& received) {
        std::visit([this](auto&& item) { this->handle(std::forward<decltype(item)>(item)); },
                   std::move(received));
    });
    this->tick.start_periodic(check_period);
}

void peer_client_task::handle(send_attempt&& request) {
    const auto now = now_monotonic();
    auto& used = this->link_to(request.owner);
    if (used.outstanding.empty()) {
        used.health.on_first_outstanding(now);
    }
    used.outstanding[request.sent.attempt] = {now + request.sent.remaining, 0};
    if (used.introduced()) {
        this->write_call(used, std::move(request.sent));
    } else {
        used.held.emplace_back(std::move(request.sent));
    }
}

void peer_client_task::handle(const cancel_attempt& request) {
    const auto found = this->links.find(request.owner);
    if (found == this->links.end() || found->second.outstanding.erase(request.attempt) == 0) {
        return;
    }
    const auto dropped = std::erase_if(found->second.held, [&request](const message& held) {
        const auto* waiting = std::get_if<call>(&held);
        return waiting != nullptr && waiting->attempt == request.attempt;
    });
    if (dropped == 0) {
        this->send_on(found->second, cancel{request.attempt});
    }
}

void peer_client_task::handle(const send_subscription& request) {
    auto& used = this->link_to(request.peer);
    if (request.sent.follow) {
        used.followed = request.sent;
    }
    if (!used.in_demand() || used.outstanding.empty()) {
        used.health.on_first_outstanding(now_monotonic());
    }
    this->send_on(used, request.sent);
}

void peer_client_task::handle(const end_subscription& request) {
    const auto found = this->links.find(request.peer);
    if (found != this->links.end()) {
        found->second.followed.reset();
    }
}

void peer_client_task::handle(const send_key_inquiry& request) {
    this->send_on(this->link_to(request.peer), request.inquiry);
}

void peer_client_task::handle(const describe_request& request) {
    auto described = nlohmann::json::array();
    for (const auto& [peer, held] : this->links) {
        described.push_back({{"peer", to_string(peer)},
                             {"state", std::string{name_of(held.health.state())}},
                             {"outstanding", held.outstanding.size()},
                             {"followed", held.followed.has_value()}});
    }
    request.reply(std::move(described));
}

connection_options peer_client_task::health_options() const {
    const auto& reading = this->context->settings.reading;
    return {.with_subscription = {reading.parent_ping, reading.parent_suspect}};
}

peer_client_task::link& peer_client_task::link_to(const address& peer) {
    const auto now = now_monotonic();
    const auto found = this->links.find(peer);
    if (found != this->links.end()) {
        found->second.used_at = now;
        return found->second;
    }
    link made{.peer = peer,
              .current = nullptr,
              .fresh = nullptr,
              .health = connection_health{this->health_options(), now},
              .outstanding = {},
              .held = {},
              .followed = {}};
    auto& added = this->links.emplace(peer, std::move(made)).first->second;
    this->start_current(added);
    return added;
}

std::shared_ptr<peer_connection> peer_client_task::open_connection(link& opened, std::uint64_t generation) {
    auto connection = peer_connection::open(*this->context->loop, opened.peer);
    const auto peer = opened.peer;
    connection->listen_to({.opened = [] {},
                           .received =
                               [this, peer, generation](message&& received, std::size_t bytes) {
                                   this->on_message(peer, generation, std::move(received), bytes);
                               },
                           .closed = [this, peer, generation](
                                         close_cause cause) { this->on_closed(peer, generation, cause); }});
    const auto& settings = this->context->settings;
    const hello introduction{.host = settings.host,
                             .data_centre = settings.data_centre,
                             .incarnation = this->context->incarnation,
                             .peers = settings.reachable_at};
    this->context->stats->counters().control_bytes_sent += connection->send(introduction);
    return connection;
}

void peer_client_task::start_current(link& opened) {
    const auto now = now_monotonic();
    opened.current_generation = ++this->generations;
    opened.current = this->open_connection(opened, opened.current_generation);
    opened.health = connection_health{this->health_options(), now};
    opened.owner_incarnation = 0;
    opened.opened_at = now;
    opened.used_at = now;
}

void peer_client_task::start_fresh(link& suspected) {
    ++this->context->stats->counters().silent_connections;
    log_event(log_level::warn, "connection_suspect",
              {{"peer", to_string(suspected.peer)}, {"outstanding", suspected.outstanding.size()}});
    suspected.fresh_opened_at = now_monotonic();
    suspected.fresh_generation = ++this->generations;
    suspected.fresh = this->open_connection(suspected, suspected.fresh_generation);
}

void peer_client_task::on_message(const address& peer, std::uint64_t generation, message&& received,
                                  std::size_t bytes) {
    const auto found = this->links.find(peer);
    if (found == this->links.end()) {
        return;
    }
    auto& heard = found->second;
    if (is_control(received)) {
        this->context->stats->counters().control_bytes_received += bytes;
    }
    if (generation == heard.current_generation) {
        heard.health.on_heard(now_monotonic());
    }
    std::visit(
        overloaded{[&](const hello& item) { this->on_introduced(heard, generation, item); },
                   [&](const answer& item) { this->on_answer(heard, item); },
                   [&](settings_update& item) {
                       this->context->mailboxes->control.post(update_received{heard.peer, std::move(item)});
                   },
                   [&](key_inquiry_reply& item) { this->context->mailboxes->owner.post(std::move(item)); },
                   [&](const ping& item) { this->send_on(heard, pong{item.nonce}); }, [](const auto&) {}},
        received);
}

void peer_client_task::on_introduced(link& heard, std::uint64_t generation, const hello& introduced) {
    if (generation == heard.fresh_generation) {
        this->adopt_fresh(heard, introduced.incarnation);
        return;
    }
    heard.health.on_connected(now_monotonic());
    heard.owner_incarnation = introduced.incarnation;
    this->send_held(heard);
}

void peer_client_task::adopt_fresh(link& replaced, std::uint64_t owner_incarnation) {
    log_event(log_level::warn, "connection_replaced",
              {{"peer", to_string(replaced.peer)}, {"outstanding", replaced.outstanding.size()}});
    const auto now = now_monotonic();
    replaced.health.on_replaced();
    replaced.current->close();
    replaced.current = std::move(replaced.fresh);
    replaced.current_generation = std::exchange(replaced.fresh_generation, 0);
    replaced.health = connection_health{this->health_options(), now};
    replaced.health.on_connected(now);
    replaced.owner_incarnation = owner_incarnation;
    this->inquire_outstanding(replaced);
    if (replaced.followed) {
        this->send_on(replaced, *replaced.followed);
    }
    this->send_held(replaced);
}

// Calls leave this node only on a connection whose owner has introduced itself. Until then it is certain
// that they did not run, however the connection ends.
void peer_client_task::send_held(link& introduced) {
    const auto held = std::exchange(introduced.held, {});
    for (const auto& waiting : held) {
        if (const auto* sent = std::get_if<call>(&waiting)) {
            this->write_call(introduced, call{*sent});
        } else {
            this->send_on(introduced, waiting);
        }
    }
}

void peer_client_task::write_call(link& used, call&& sent) {
    const auto attempt = sent.attempt;
    auto& waiting = used.outstanding.at(attempt);
    waiting.owner_incarnation = used.owner_incarnation;
    sent.remaining = elapsed(now_monotonic(), waiting.deadline);
    const auto bytes = used.current->send(message{std::move(sent)});
    this->context->stats->counters().call_bytes_sent += bytes;
    if (bytes == 0) {
        used.outstanding.erase(attempt);
        this->end_attempt(attempt, outcome::not_run, reason::no_connection);
    }
}

// An owner of another incarnation knows nothing of earlier attempts, so it is not asked about them.
void peer_client_task::inquire_outstanding(link& resumed) {
    const auto now = now_monotonic();
    std::vector<attempt_id> lost;
    for (const auto& [attempt, waiting] : resumed.outstanding) {
        if (waiting.owner_incarnation == 0) {
            continue;
        }
        const bool same_owner = waiting.owner_incarnation == resumed.owner_incarnation;
        if (same_owner && now < waiting.deadline) {
            this->send_on(resumed, inquiry{attempt});
        } else {
            lost.push_back(attempt);
        }
    }
    for (const auto& attempt : lost) {
        resumed.outstanding.erase(attempt);
        this->end_attempt(attempt, outcome::unknown, reason::connection_lost);
    }
}

void peer_client_task::on_answer(link& heard, const answer& ended) {
    const auto found = heard.outstanding.find(ended.attempt);
    if (found == heard.outstanding.end()) {
        ++this->context->stats->counters().late_answers;
        return;
    }
    const bool late = now_monotonic() >= found->second.deadline;
    heard.outstanding.erase(found);
    auto passed_on = ended;
    if (late && ended.result == outcome::not_run && ended.why == reason::fenced) {
        passed_on.result = outcome::unknown; // the owner may have forgotten the attempt by now
    }
    this->context->mailboxes->entry.post(attempt_ended{std::move(passed_on), true});
}

void peer_client_task::on_closed(const address& peer, std::uint64_t generation, close_cause cause) {
    const auto found = this->links.find(peer);
    if (found == this->links.end()) {
        return;
    }
    auto& closed = found->second;
    if (cause == close_cause::malformed_frame) {
        ++this->context->stats->counters().malformed_frames;
    }
    const bool current_closed = generation == closed.current_generation;
    if (!current_closed && generation != closed.fresh_generation) {
        return;
    }
    if (cause == close_cause::refused || !current_closed) {
        this->fail_link(closed);
        return;
    }
    if (closed.owner_incarnation == 0) {
        this->fail_link(closed);
    } else if (!closed.in_demand()) {
        this->links.erase(found);
    } else if (closed.fresh == nullptr) {
        this->start_fresh(closed);
    }
}

// Attempts that are still held did not leave this node. All others may have run.
void peer_client_task::fail_link(link& failed) {
    const auto peer = failed.peer;
    const bool was_followed = failed.followed.has_value();
    const auto ended = std::move(failed.outstanding);
    log_event(log_level::info, "link_failed", {{"peer", to_string(peer)}, {"outstanding", ended.size()}});
    this->links.erase(peer);
    for (const auto& [attempt, waiting] : ended) {
        if (waiting.owner_incarnation == 0) {
            this->end_attempt(attempt, outcome::not_run, reason::no_connection);
        } else {
            this->end_attempt(attempt, outcome::unknown, reason::connection_lost);
        }
    }
    if (was_followed) {
        this->context->mailboxes->control.post(peer_lost{peer});
    }
}

void peer_client_task::end_attempt(const attempt_id& attempt, outcome result, reason why) {
    this->context->mailboxes->entry.post(attempt_ended{refuse(attempt, result, why), false});
}

void peer_client_task::send_on(link& used, const message& sent) {
    if (used.introduced()) {
        this->context->stats->counters().control_bytes_sent += used.current->send(sent);
    } else {
        used.held.push_back(sent);
    }
}

void peer_client_task::check_links() {
    const auto now = now_monotonic();
    std::vector<address> peers;
    std::uint64_t connected = 0;
    for (const auto& [peer, held] : this->links) {
        peers.push_back(peer);
        connected += held.introduced() ? 1 : 0;
    }
    this->context->stats->gauges().peers_connected = connected;
    for (const auto& peer : peers) {
        const auto found = this->links.find(peer);
        if (found != this->links.end()) {
            this->check_link(found->second, now);
        }
    }
}

void peer_client_task::check_link(link& checked, instant now) {
    if (checked.fresh != nullptr) {
        if (now - checked.fresh_opened_at > connect_timeout) {
            this->fail_link(checked);
        }
        return;
    }
    if (checked.health.state() == connection_state::connecting) {
        if (now - checked.opened_at > connect_timeout) {
            this->fail_link(checked);
        }
        return;
    }
    if (!checked.in_demand()) {
        if (now - checked.used_at > idle_timeout) {
            this->links.erase(checked.peer);
        }
        return;
    }
    const auto demand =
        checked.outstanding.empty() ? connection_demand::subscription : connection_demand::calls;
    switch (checked.health.advise(demand, now)) {
    case connection_advice::ping:
        this->send_on(checked, ping{});
        break;
    case connection_advice::open_fresh:
        this->start_fresh(checked);
        break;
    case connection_advice::nothing:
        break;
    }
}

} // namespace chervilturn
