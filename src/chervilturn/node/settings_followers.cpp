// Chooses what each follower gets, and sends the parts of large updates as fast as the follower takes them.
#include "chervilturn/node/settings_followers.hpp"

#include "chervilturn/observe/log.hpp"

#include <algorithm>
#include <utility>

namespace chervilturn {

namespace {

// Updates whose content is not larger are sent as one message.
constexpr std::size_t max_whole_update_bytes = 8192;
// Bytes of parts that are on their way to all followers together, so that calls share the host's link with
// little more than one part.
constexpr std::size_t max_bytes_on_the_way = 4 * update_part_bytes;
// A follower that has reported nothing for so long does not hold up the others.
constexpr microseconds stalled_after = std::chrono::milliseconds{500};
constexpr microseconds stall_check_period = std::chrono::milliseconds{100};

// A peer with the same revision should have the same leaves; it gets all of this node's.
void log_different_content(const peer_subscribed& message, const std::vector<subtree_revision>& present) {
    for (const auto& entry : present) {
        if (differs_in_content(entry_of(message.request.revisions, entry.subtree), entry)) {
            log_event(log_level::warn, "settings_content_differs",
                      {{"peer", to_string(message.peer_address)},
                       {"subtree", entry.subtree},
                       {"revision", entry.revision}});
        }
    }
}

} // namespace

settings_followers::settings_followers(const node_context& shared, const settings_tree& followed_tree)
    : context{&shared}, tree{&followed_tree}, stall_check{*shared.loop, [this] { this->send_parts(); }} {}

void settings_followers::on_subscribed(const peer_subscribed& message) {
    const auto& request = message.request;
    if (request.ends) {
        this->followers.erase(message.subscriber);
        return;
    }
    auto& target = this->followers[message.subscriber];
    target.peer = message.peer_address;
    target.follows = target.follows || request.follow;
    target.accepts_parts = request.accepts_parts;
    if (target.transfer) {
        target.waiting_nonce = request.nonce;
        return;
    }
    log_different_content(message, this->tree->digest());
    prepared_update prepared{
        .update = {.subtrees = this->tree->newer_than(request.revisions), .nonce = request.nonce},
        .packed = nullptr};
    this->send(message.subscriber, target, prepared);
    if (!target.follows && !target.transfer) {
        this->followers.erase(message.subscriber);
    }
}

std::optional<address> settings_followers::on_receipt(const part_received& message) {
    const auto found = this->followers.find(message.subscriber);
    if (found == this->followers.end() || !found->second.transfer) {
        return std::nullopt;
    }
    auto& target = found->second;
    target.transfer->on_receipt(message.receipt, now_monotonic());
    std::optional<address> delivered_to;
    if (target.transfer->is_complete()) {
        delivered_to = target.peer;
        this->on_transfer_complete(message.subscriber, target);
    }
    this->send_parts();
    return delivered_to;
}

void settings_followers::on_transfer_complete(std::uint64_t connection, follower& target) {
    log_event(log_level::info, "settings_delivered",
              {{"peer", to_string(target.peer)}, {"bytes", target.transfer->size()}});
    target.transfer.reset();
    auto prepared = this->prepare(target.sent_until, target.waiting_nonce.value_or(0));
    if (std::exchange(target.waiting_nonce, std::nullopt) ||
        (target.follows && !prepared.update.subtrees.empty())) {
        this->send(connection, target, prepared);
    }
    if (!target.follows && !target.transfer) {
        this->followers.erase(connection);
    }
}

void settings_followers::push(const std::vector<address>& equal_peers) {
    std::optional<prepared_update> prepared;
    for (auto& [connection, target] : this->followers) {
        if (!target.follows || target.transfer) {
            continue;
        }
        if (std::find(equal_peers.begin(), equal_peers.end(), target.peer) != equal_peers.end()) {
            target.sent_until = this->tree->latest_change();
            continue;
        }
        if (!prepared || prepared->from != target.sent_until) {
            prepared = this->prepare(target.sent_until, 0);
        }
        if (!prepared->update.subtrees.empty()) {
            this->send(connection, target, *prepared);
        }
    }
}

settings_followers::prepared_update settings_followers::prepare(std::uint64_t from,
                                                                std::uint64_t nonce) const {
    return {.from = from,
            .update = {.subtrees = this->tree->accepted_since(from), .nonce = nonce},
            .packed = nullptr};
}

void settings_followers::send(std::uint64_t connection, follower& target, prepared_update& prepared) {
    target.sent_until = this->tree->latest_change();
    if (!target.accepts_parts || content_bytes(prepared.update) <= max_whole_update_bytes) {
        this->context->mailboxes->peer_server.post(send_update{connection, prepared.update});
        return;
    }
    const auto started_at = now_monotonic();
    if (prepared.packed == nullptr) {
        prepared.packed = pack(prepared.update);
    }
    target.transfer.emplace(++this->last_transfer, prepared.packed, started_at);
    log_event(log_level::info, "settings_sent",
              {{"peer", to_string(target.peer)},
               {"leaves", leaf_count(prepared.update)},
               {"bytes", prepared.packed->size()},
               {"took_us", elapsed(started_at, now_monotonic()).count()}});
    this->send_parts();
}

void settings_followers::send_parts() {
    const auto now = now_monotonic();
    std::size_t on_the_way = 0;
    std::vector<std::uint64_t> in_transfer;
    for (const auto& [connection, target] : this->followers) {
        if (!target.transfer) {
            continue;
        }
        in_transfer.push_back(connection);
        if (target.transfer->silence(now) < stalled_after) {
            on_the_way += target.transfer->bytes_on_the_way();
        }
    }
    if (in_transfer.empty()) {
        return;
    }
    this->stall_check.start_once(stall_check_period);
    const auto next = std::upper_bound(in_transfer.begin(), in_transfer.end(), this->last_served);
    std::rotate(in_transfer.begin(), next, in_transfer.end());
    bool any_sent = true;
    while (any_sent) {
        any_sent = false;
        for (const auto connection : in_transfer) {
            if (on_the_way >= max_bytes_on_the_way) {
                return;
            }
            auto part = this->followers.at(connection).transfer->next_part();
            if (part) {
                any_sent = true;
                on_the_way += part->bytes.size();
                this->last_served = connection;
                this->context->mailboxes->peer_server.post(send_update_part{connection, std::move(*part)});
            }
        }
    }
}

} // namespace chervilturn
