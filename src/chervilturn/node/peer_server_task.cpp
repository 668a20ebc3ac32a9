// Connections that other nodes opened to this one.
#include "chervilturn/node/peer_server_task.hpp"

#include "chervilturn/observe/log.hpp"

#include <algorithm>

namespace chervilturn {

peer_server_task::peer_server_task(const node_context& shared)
    : context{&shared}, sender{shared}, random{shared.incarnation} {
    shared.mailboxes->peer_server.on_message([this](peer_server_message&& received) {
        std::visit([this](auto&& item) { this->handle(std::forward<decltype(item)>(item)); },
                   std::move(received));
    });
}

result<success, transport_error> peer_server_task::start() {
    auto listening = peer_listener::listen(
        *this->context->loop, this->context->settings.peers,
        [this](std::shared_ptr<peer_connection> connection) { this->on_accepted(std::move(connection)); });
    if (!succeeded(listening)) {
        return error_of(listening);
    }
    this->listener = value_of(std::move(listening));
    return success{};
}

bool peer_server_task::idle() const noexcept {
    return std::all_of(this->connections.begin(), this->connections.end(),
                       [](const auto& numbered) { return numbered.second.connection->backlog() == 0; });
}

void peer_server_task::handle(return_answer&& request) {
    const auto entry = request.ended.attempt.entry;
    this->send_to_entry(entry, std::move(request.ended));
}

void peer_server_task::handle(const return_pending& request) {
    this->send_to_entry(request.attempt.entry, pending{request.attempt});
}

void peer_server_task::handle(const request_body& request) {
    this->send_to_entry(request.part.attempt.entry, request.part);
}

void peer_server_task::handle(const send_update& request) {
    const auto found = this->connections.find(request.subscriber);
    if (found == this->connections.end()) {
        return;
    }
    const auto started_at = now_monotonic();
    const auto backlog = found->second.connection->backlog();
    const auto bytes = this->send_on(found->second, request.update);
    if (!request.update.subtrees.empty()) {
        log_event(log_level::info, "settings_sent",
                  {{"peer", to_string(found->second.peer_address)},
                   {"leaves", leaf_count(request.update)},
                   {"bytes", bytes},
                   {"backlog", backlog},
                   {"took_us", elapsed(started_at, now_monotonic()).count()}});
    }
}

void peer_server_task::handle(const send_update_part& request) {
    const auto found = this->connections.find(request.subscriber);
    if (found != this->connections.end()) {
        this->send_on(found->second, request.part);
    }
}

void peer_server_task::handle(const return_key_report& request) {
    const auto found = this->connections.find(request.connection);
    if (found != this->connections.end()) {
        this->send_on(found->second, request.reply);
    }
}

void peer_server_task::handle(const spread_report& request) {
    std::vector<std::uint64_t> ready;
    for (const auto& [incarnation, connection_number] : this->newest_by_incarnation) {
        if (this->connections.at(connection_number).accepts_reports) {
            ready.push_back(connection_number);
        }
    }
    for (const auto connection_number : this->random.sample(std::move(ready), request.peers)) {
        this->send_report(connection_number, request.report);
    }
}

void peer_server_task::send_report(std::uint64_t connection_number, const crash_report& report) {
    const auto found = this->connections.find(connection_number);
    if (found == this->connections.end()) {
        return;
    }
    const auto permitted = report_for(found->second.data_centre, report);
    if (!permitted.evidence.empty()) {
        this->send_on(found->second, permitted);
    }
}

void peer_server_task::on_accepted(std::shared_ptr<peer_connection> connection) {
    const auto connection_number = ++this->accepted_count;
    connection->set_handlers(
        {.opened = [] {},
         .received =
             [this, connection_number](message&& received, const frame_arrival& arrival) {
                 this->on_message(connection_number, std::move(received), arrival);
             },
         .progressed = [] {},
         .closed = [this,
                    connection_number](close_cause cause) { this->on_closed(connection_number, cause); }});
    const auto accepted = this->connections.emplace(
        connection_number,
        accepted_connection{.connection = std::move(connection), .data_centre = {}, .peer_address = {}});
    const auto& peer = accepted.first->second;
    this->sender.introduce(*peer.connection, peer.data_centre);
}

void peer_server_task::on_message(std::uint64_t connection_number, message&& received,
                                  const frame_arrival& arrival) {
    const auto found = this->connections.find(connection_number);
    if (found == this->connections.end()) {
        return;
    }
    if (is_control(received)) {
        this->context->stats->counters().control_bytes_received += arrival.bytes;
    }
    if (found->second.incarnation == 0 && !std::holds_alternative<hello>(received)) {
        this->reject(connection_number, "first message is not a hello");
        return;
    }
    auto& peer = found->second;
    std::visit(
        overloaded{[&](const hello& item) { this->on_introduced(connection_number, item); },
                   [&](call& item) {
                       if (item.attempt.entry != peer.incarnation) {
                           this->reject(connection_number, "call with the attempt id of another entry");
                           return;
                       }
                       this->context->mailboxes->owner.post(std::move(item));
                   },
                   [&](call_body& item) {
                       if (item.attempt.entry != peer.incarnation) {
                           this->reject(connection_number, "body with the attempt id of another entry");
                           return;
                       }
                       this->context->mailboxes->owner.post(std::move(item));
                   },
                   [&](const cancel& item) { this->context->mailboxes->owner.post(item); },
                   [&](const inquiry& item) { this->context->mailboxes->owner.post(item); },
                   [&](const ping& item) { this->send_on(peer, pong{item.nonce}); },
                   [&](subscription& item) {
                       this->context->mailboxes->control.post(
                           peer_subscribed{connection_number, peer.peer_address, std::move(item)});
                   },
                   [&](const comparison& item) {
                       this->context->mailboxes->control.post(comparison_received{peer.peer_address, item});
                   },
                   [&](const part_receipt& item) {
                       this->context->mailboxes->control.post(part_received{connection_number, item});
                   },
                   [&](key_inquiry& item) {
                       this->context->mailboxes->owner.post(
                           key_inquiry_received{connection_number, std::move(item)});
                   },
                   [](const pong&) {},
                   [&](crash_report& item) { this->context->mailboxes->crash_reports.post(std::move(item)); },
                   [&](const auto&) {
                       this->reject(connection_number, "message that only the accepting side sends");
                   }},
        received);
}

void peer_server_task::on_introduced(std::uint64_t connection_number, const hello& peer_hello) {
    auto& peer = this->connections.at(connection_number);
    peer.incarnation = peer_hello.incarnation;
    peer.peer_address = peer_hello.peer_address;
    peer.data_centre = peer_hello.data_centre;
    peer.accepts_reports = peer_hello.accepts_reports;
    this->newest_by_incarnation[peer_hello.incarnation] = connection_number;
    if (peer_hello.accepts_reports) {
        this->context->mailboxes->crash_reports.post(
            peer_introduced{[this, connection_number](const crash_report& report) {
                this->send_report(connection_number, report);
            }});
    }
}

void peer_server_task::on_closed(std::uint64_t connection_number, close_cause cause) {
    const auto found = this->connections.find(connection_number);
    if (found == this->connections.end()) {
        return;
    }
    if (cause == close_cause::malformed_frame) {
        ++this->context->stats->counters().malformed_frames;
        log_event(log_level::warn, "frame_malformed", {{"peer", to_string(found->second.peer_address)}});
    }
    const auto newest_entry = this->newest_by_incarnation.find(found->second.incarnation);
    if (newest_entry != this->newest_by_incarnation.end() && newest_entry->second == connection_number) {
        this->newest_by_incarnation.erase(newest_entry);
    }
    this->connections.erase(found);
    this->context->mailboxes->control.post(peer_unsubscribed{connection_number});
}

void peer_server_task::reject(std::uint64_t connection_number, const char* violation) {
    const auto connection = this->connections.at(connection_number).connection;
    log_event(log_level::warn, "peer_rejected", {{"reason", violation}});
    connection->close();
    this->on_closed(connection_number, close_cause::malformed_frame);
}

// Nothing is sent to an entry that has no connection: it asks for the outcome on its next one.
void peer_server_task::send_to_entry(std::uint64_t incarnation, const message& outgoing) {
    const auto found = this->newest_by_incarnation.find(incarnation);
    if (found != this->newest_by_incarnation.end()) {
        this->send_on(this->connections.at(found->second), outgoing);
    }
}

std::size_t peer_server_task::send_on(const accepted_connection& target, const message& outgoing) {
    return this->sender.send(*target.connection, target.data_centre, outgoing);
}

} // namespace chervilturn
