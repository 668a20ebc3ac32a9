// Tells peers about this node's settings, and asks those with others.
#include "chervilturn/node/settings_exchange.hpp"

#include "chervilturn/observe/log.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr microseconds tell_period = std::chrono::seconds{1};
constexpr microseconds due_check_delay = std::chrono::milliseconds{320}; // just over the time of an own read
constexpr microseconds random_comparison_period = std::chrono::seconds{5};
constexpr double local_data_centre_share = 0.75;                   // of comparisons with random hosts
constexpr microseconds stalled_transfer = std::chrono::seconds{1}; // without a part

} // namespace

settings_exchange::settings_exchange(const node_context& shared, const settings_tree& own_tree,
                                     const settings_reader& own_reader)
    : context{&shared}, tree{&own_tree}, reader{&own_reader}, random{shared.incarnation},
      tell_timer{*shared.loop, [this] { this->tell_all(); }}, due_timer{*shared.loop,
                                                                        [this] { this->exchange_due(); }},
      random_timer{*shared.loop, [this] { this->compare_with_random_peer(); }} {}

void settings_exchange::start() {
    this->tell_timer.start_periodic(tell_period);
    this->random_timer.start_periodic(random_comparison_period);
}

void settings_exchange::set_position(const relay_position& position,
                                     const std::optional<address>& followed_parent) {
    if (position.reader) {
        this->compared_peers = position.parents;
    } else if (followed_parent) {
        this->compared_peers = {*followed_parent};
    } else {
        this->compared_peers.clear();
    }
}

void settings_exchange::on_subscribed(const peer_subscribed& message) {
    if (message.request.ends || this->is_receiving()) {
        return;
    }
    const auto own = this->tree->digest();
    const auto& theirs = message.request.revisions;
    bool lacks = false;
    bool differs = false;
    for (const auto& entry : theirs) {
        const auto own_entry = entry_of(own, entry.subtree);
        lacks = lacks || may_lack(own_entry, entry);
        differs = differs || differs_in_content(own_entry, entry);
    }
    if (lacks || (differs && this->comparisons.begin_exchange(message.peer_address, digest_hash(own),
                                                              digest_hash(theirs), now_monotonic()))) {
        this->ask(message.peer_address);
    }
}

void settings_exchange::on_compared(const comparison_received& message) {
    const auto& told = message.told;
    this->comparisons.on_told(message.peer, told.state, told.reads_platform, now_monotonic());
    this->exchange_due();
    if (this->comparisons.any_differs(digest_hash(this->tree->digest()))) {
        this->due_timer.start_once(due_check_delay);
    }
}

void settings_exchange::exchange_due() {
    if (this->is_receiving()) {
        return;
    }
    const auto own_state = digest_hash(this->tree->digest());
    for (const auto& peer : this->comparisons.begin_due(own_state, this->reads_platform(), now_monotonic())) {
        log_event(log_level::info, "settings_compared", {{"peer", to_string(peer)}, {"equal", "no"}});
        this->ask(peer);
    }
}

void settings_exchange::on_change_read() {
    this->tell_all();
}

void settings_exchange::tell(const address& peer) {
    this->context->mailboxes->peer_client.post(send_comparison{
        peer, {.state = digest_hash(this->tree->digest()), .reads_platform = this->reads_platform()}});
}

void settings_exchange::tell_all() {
    if (this->tree->digest().empty()) {
        return;
    }
    for (const auto& peer : this->compared_peers) {
        this->tell(peer);
    }
}

bool settings_exchange::reads_platform() const noexcept {
    return this->reader->active() && this->reader->platform_reachable();
}

bool settings_exchange::is_receiving() const noexcept {
    return this->last_part_at && now_monotonic() - *this->last_part_at < stalled_transfer;
}

subscription settings_exchange::new_request(bool follow) {
    return {.revisions = this->tree->digest(), .nonce = ++this->last_nonce, .follow = follow};
}

void settings_exchange::ask(const address& peer) {
    this->context->mailboxes->peer_client.post(send_subscription{peer, this->new_request(false)});
}

void settings_exchange::ask_random_peer() {
    if (const auto peer = this->random_host()) {
        this->ask(*peer);
    }
}

// Finds differences from hosts that are not told, and from nodes of older versions.
void settings_exchange::compare_with_random_peer() {
    if (!this->is_receiving()) {
        this->ask_random_peer();
    }
}

std::optional<address> settings_exchange::random_host() {
    const auto& settings = this->context->settings;
    std::vector<address> local_hosts;
    std::vector<address> all_hosts;
    for (const auto& [host_address, host_entry] : this->tree->current()->hosts) {
        if (host_address == settings.reachable_at) {
            continue;
        }
        all_hosts.push_back(host_address);
        if (host_entry.data_centre == settings.data_centre) {
            local_hosts.push_back(host_address);
        }
    }
    const bool choose_local =
        !local_hosts.empty() && this->random.uniform(0.0, 1.0) < local_data_centre_share;
    const auto& candidates = choose_local ? local_hosts : all_hosts;
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[this->random.index(candidates.size())];
}

} // namespace chervilturn
