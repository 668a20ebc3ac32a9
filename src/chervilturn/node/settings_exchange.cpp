// Tells peers about this node's settings, asks those with others, and finds substitutes for a cut-off reader.
#include "chervilturn/node/settings_exchange.hpp"

#include "chervilturn/observe/log.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr microseconds due_check_delay = std::chrono::milliseconds{320}; // just over the time of an own read
constexpr microseconds random_comparison_period = std::chrono::seconds{5};
constexpr double local_data_centre_share = 0.75;                   // of comparisons with random hosts
constexpr microseconds stalled_transfer = std::chrono::seconds{1}; // without a part
constexpr microseconds substitute_response_time = std::chrono::milliseconds{250};
constexpr microseconds substitute_round_pause = std::chrono::seconds{4}; // after all candidates failed
constexpr int reading_lease_periods = 3; // of comparisons, after the last request to read instead

} // namespace

settings_exchange::settings_exchange(const node_context& shared, const settings_tree& own_tree,
                                     const settings_reader& own_reader,
                                     std::function<void()> on_reading_changed)
    : context{&shared}, tree{&own_tree}, reader{&own_reader}, reading_changed{std::move(on_reading_changed)},
      random{shared.incarnation}, comparisons{{.recent = 5 * shared.settings.reading.compare_period / 2}},
      tell_timer{*shared.loop, [this] { this->tell_all(); }}, due_timer{*shared.loop,
                                                                        [this] { this->exchange_due(); }},
      random_timer{*shared.loop, [this] { this->compare_with_random_peer(); }},
      substitute_timer{*shared.loop, [this] { this->find_substitutes(); }},
      reading_expiry{*shared.loop, [this] { this->end_reading_instead(); }} {}

void settings_exchange::start() {
    this->tell_timer.start_periodic(this->context->settings.reading.compare_period);
    this->random_timer.start_periodic(random_comparison_period);
}

void settings_exchange::set_position(const relay_position& position,
                                     const std::optional<address>& followed_parent) {
    this->is_reader = position.reader;
    if (position.reader) {
        this->compared_peers = position.compared_readers;
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
    const auto now = now_monotonic();
    const bool had_readers = !this->comparisons.platform_readers(now).empty();
    this->comparisons.on_told(message.peer, told.state, told.reads_platform, now);
    if (had_readers && this->comparisons.platform_readers(now).empty()) {
        this->find_substitutes();
    }
    if (told.read_instead) {
        this->begin_reading_for(message.peer);
    }
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

std::vector<address> settings_exchange::equal_peers() const {
    return this->comparisons.peers_with(digest_hash(this->tree->digest()), now_monotonic());
}

void settings_exchange::on_change_read() {
    this->tell_all();
}

void settings_exchange::tell(const address& peer, bool read_instead) {
    this->context->mailboxes->peer_client.post(send_comparison{peer,
                                                               {.state = digest_hash(this->tree->digest()),
                                                                .reads_platform = this->reads_platform(),
                                                                .read_instead = read_instead}});
}

void settings_exchange::tell_all() {
    if (this->tree->digest().empty()) {
        return;
    }
    for (const auto& peer : this->compared_peers) {
        this->tell(peer, false);
    }
    const bool is_told =
        this->reads_for && std::find(this->compared_peers.begin(), this->compared_peers.end(),
                                     *this->reads_for) != this->compared_peers.end();
    if (this->reads_for && !is_told) {
        this->tell(*this->reads_for, false);
    }
}

bool settings_exchange::reads_platform() const noexcept {
    return this->reader->active() && this->reader->platform_reachable();
}

void settings_exchange::on_platform_lost() {
    if (this->is_reader) {
        this->tell_all(); // others may wait for what this node reads
        this->find_substitutes();
    } else if (this->reads_for) {
        this->end_reading_instead();
    }
}

bool settings_exchange::needs_substitutes() const noexcept {
    return this->is_reader && this->reader->active() && !this->reader->platform_reachable();
}

void settings_exchange::find_substitutes() {
    if (!this->needs_substitutes()) {
        this->substitutes.end();
        return;
    }
    const auto readers = this->comparisons.platform_readers(now_monotonic());
    for (const auto& peer : this->substitutes.next(this->substitute_candidates(), readers)) {
        log_event(log_level::info, "substitute_asked", {{"peer", to_string(peer)}});
        this->tell(peer, true);
    }
    if (!readers.empty()) {
        this->substitute_timer.start_once(this->context->settings.reading.compare_period);
    } else {
        this->substitute_timer.start_once(this->substitutes.round_ended() ? substitute_round_pause
                                                                          : substitute_response_time);
    }
}

// The other hosts of the data centre, leaving ones last.
std::vector<address> settings_exchange::substitute_candidates() const {
    const auto& settings = this->context->settings;
    std::vector<address> candidates;
    std::vector<address> leaving;
    for (const auto& [peer, host_entry] : this->tree->current()->hosts) {
        if (peer != settings.reachable_at && host_entry.data_centre == settings.data_centre) {
            (host_entry.leaving ? leaving : candidates).push_back(peer);
        }
    }
    candidates.insert(candidates.end(), leaving.begin(), leaving.end());
    return candidates;
}

void settings_exchange::begin_reading_for(const address& peer) {
    const bool is_new = !this->reads_for;
    this->reads_for = peer;
    this->reading_expiry.start_once(reading_lease_periods * this->context->settings.reading.compare_period);
    if (is_new) {
        log_event(log_level::info, "reading_instead", {{"peer", to_string(peer)}});
        this->reading_changed();
    }
}

void settings_exchange::end_reading_instead() {
    this->reads_for.reset();
    this->reading_expiry.stop();
    this->reading_changed();
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
