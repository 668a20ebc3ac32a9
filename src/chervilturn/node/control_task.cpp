// Acceptance and spreading of settings.
#include "chervilturn/node/control_task.hpp"

#include "chervilturn/observe/log.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr microseconds anti_entropy_period = std::chrono::seconds{5};
constexpr microseconds doubt_patience = std::chrono::seconds{1};
constexpr microseconds seed_retry_period = std::chrono::milliseconds{100}; // while nothing is accepted
constexpr double earliest_own_start = 0.25; // of reading, as a share of the latest
constexpr microseconds reader_start_spread = std::chrono::milliseconds{20};
constexpr microseconds stand_in_start_spread = std::chrono::seconds{3}; // readers for want of a parent
constexpr microseconds longest_follow_delay = std::chrono::milliseconds{500};
constexpr double own_data_centre_share = 0.75; // of random comparisons
constexpr std::size_t asked_in_doubt = 3;

} // namespace

control_task::control_task(const node_context& shared)
    : context{&shared}, random{shared.incarnation}, seeds{shared.settings.seeds, shared.settings.reachable_at,
                                                          shared.incarnation},
      reader{shared, shared.protocols.make_platform(*shared.loop, shared.settings),
             [this](const std::vector<subtree_snapshot>& batch) { this->on_batch(batch); }},
      anti_entropy{*shared.loop, [this] { this->ask_random_peer(); }},
      fallback_start{*shared.loop, [this] { this->read_if_ignorant(); }},
      seed_retry{*shared.loop, [this] { this->ask_seeds_if_ignorant(); }},
      follow_retry{*shared.loop, [this] { this->follow_next_parent(); }},
      doubt_expiry{*shared.loop, [this] { this->confirm("patience"); }} {
    shared.mailboxes->control.on_message([this](control_message&& received) {
        std::visit([this](const auto& item) { this->handle(item); }, received);
    });
}

void control_task::start() {
    const auto& listed = this->context->settings.seeds;
    const auto& self = this->context->settings.reachable_at;
    if (listed.empty() || std::find(listed.begin(), listed.end(), self) != listed.end()) {
        this->reader.activate(reader_start_spread);
    } else {
        // A fleet that starts together must not read everything from the platform at once.
        const double part = this->random.uniform(earliest_own_start, 1.0);
        const auto latest = static_cast<double>(this->context->settings.reading.fallback_start.count());
        this->fallback_start.start_once(microseconds{static_cast<std::int64_t>(part * latest)});
    }
    this->seed_retry.start_periodic(seed_retry_period);
    this->anti_entropy.start_periodic(anti_entropy_period);
    this->mark_stale();
}

void control_task::handle(const settings_stale&) {
    this->mark_stale();
    this->reader.refresh();
}

void control_task::handle(const peer_subscribed& message) {
    const auto known = message.received.known;
    settings_update update{.subtrees = this->tree.newer_than(known), .nonce = message.received.nonce};
    this->context->mailboxes->peer_server.post(send_update{message.subscriber, std::move(update)});
    if (message.received.follow) {
        this->subscribers[message.subscriber] = {this->tree.digest()};
    }
    if (this->is_ahead(known)) {
        this->ask_once(message.peers);
    }
}

void control_task::handle(const peer_unsubscribed& message) {
    this->subscribers.erase(message.subscriber);
}

void control_task::handle(const update_received& message) {
    const bool changed = this->offer_all(message.update.subtrees, to_string(message.peer));
    this->show_confirmed();
    if (changed) {
        this->publish();
    }
    if (this->followed == message.peer) {
        this->parent_heard = true;
        if (!this->position.reader) {
            this->reader.deactivate();
        }
    }
    if (this->stale && message.update.nonce > this->stale_nonce) {
        this->confirm("peer");
    }
}

void control_task::handle(const peer_lost& message) {
    if (this->followed != message.peer) {
        return;
    }
    log_event(log_level::warn, "parent_lost", {{"peer", to_string(message.peer)}});
    this->followed.reset();
    this->parent_heard = false;
    const double part = this->random.uniform(0.5, 1.0);
    this->follow_retry.start_once(
        microseconds{static_cast<std::int64_t>(part * static_cast<double>(longest_follow_delay.count()))});
}

void control_task::handle(const describe_request& request) {
    auto subtrees = nlohmann::json::object();
    for (const auto& [name, revision] : this->tree.digest()) {
        subtrees[name] = {{"revision", revision}};
    }
    for (const auto& [name, rejection] : this->tree.rejections()) {
        subtrees[name]["rejected_revision"] = rejection.revision;
        subtrees[name]["rejected_because"] = to_string(rejection.error);
    }
    request.reply({{"subtrees", std::move(subtrees)},
                   {"reader", this->reader.active()},
                   {"platform_reached", this->reader.reached()},
                   {"followed", this->followed ? to_string(*this->followed) : std::string{}},
                   {"followers", this->subscribers.size()},
                   {"in_doubt", this->stale}});
}

void control_task::on_batch(const std::vector<subtree_snapshot>& batch) {
    const bool changed = this->offer_all(batch, "platform");
    this->show_confirmed();
    if (changed) {
        this->publish();
    }
    const bool has_others = this->tree.current()->hosts.size() > 1 || !this->context->settings.seeds.empty();
    if (this->stale && !has_others) {
        this->confirm("platform");
    } else if (this->stale && changed) {
        this->ask_for_confirmation();
    }
}

// The platform or a peer has told all that it has beyond this node's settings.
void control_task::show_confirmed() {
    auto& shown = this->context->stats->gauges();
    shown.settings_confirmed_at = now_monotonic();
    shown.followers = this->subscribers.size();
    for (const auto& subtree : this->tree.digest()) {
        shown.settings_revision = std::max(shown.settings_revision, subtree.revision);
    }
}

bool control_task::offer_all(const std::vector<subtree_snapshot>& offered, const std::string& source) {
    bool changed = false;
    auto& counters = this->context->stats->counters();
    for (const auto& snapshot : offered) {
        switch (this->tree.offer(snapshot)) {
        case offer_outcome::accepted:
            changed = true;
            ++counters.settings_accepted;
            log_event(log_level::info, "settings_accepted",
                      {{"subtree", snapshot.subtree}, {"revision", snapshot.revision}, {"source", source}});
            break;
        case offer_outcome::rejected:
            ++counters.settings_rejected;
            log_event(log_level::warn, "settings_rejected",
                      {{"subtree", snapshot.subtree},
                       {"revision", snapshot.revision},
                       {"error", to_string(this->tree.rejections().at(snapshot.subtree).error)}});
            break;
        case offer_outcome::unchanged:
            break;
        }
    }
    return changed;
}

void control_task::publish() {
    const auto& settings = this->tree.current();
    this->context->mailboxes->entry.post(settings_changed{settings});
    this->context->mailboxes->owner.post(settings_changed{settings});
    this->push_to_subscribers();
    this->take_place();
}

void control_task::push_to_subscribers() {
    const auto digest = this->tree.digest();
    for (auto& [number, follower] : this->subscribers) {
        auto newer = this->tree.newer_than(follower.known);
        if (newer.empty()) {
            continue;
        }
        follower.known = digest;
        this->context->mailboxes->peer_server.post(
            send_update{number, {.subtrees = std::move(newer), .nonce = 0}});
    }
}

// Takes this node's place in the relay tree of the host list accepted last.
void control_task::take_place() {
    const auto& settings = this->context->settings;
    auto place = place_in_relay_tree(*this->tree.current(), settings.reachable_at, settings.data_centre,
                                     settings.reading.readers_per_data_centre);
    const bool same_parents = place.parents == this->position.parents;
    this->position = std::move(place);
    if (this->position.reader) {
        this->reader.activate(reader_start_spread);
    } else if (this->parent_heard) {
        this->reader.deactivate();
    }
    if (this->position.parents.empty() || (same_parents && (this->followed || this->parent > 0))) {
        return;
    }
    this->parent = 0;
    this->follow(this->position.parents.front());
}

void control_task::follow(const address& peer) {
    if (this->followed && *this->followed != peer) {
        this->context->mailboxes->peer_client.post(end_subscription{*this->followed});
    }
    log_event(log_level::info, "parent_followed", {{"peer", to_string(peer)}});
    this->followed = peer;
    this->parent_heard = false;
    this->context->mailboxes->peer_client.post(
        send_subscription{peer, {.known = this->tree.digest(), .nonce = ++this->nonces, .follow = true}});
}

// After every parent was tried in vain the node reads the platform itself and goes on trying.
void control_task::follow_next_parent() {
    if (this->followed || this->position.parents.empty()) {
        return;
    }
    this->parent = (this->parent + 1) % this->position.parents.size();
    if (this->parent == 0) {
        this->reader.activate(stand_in_start_spread);
    }
    this->follow(this->position.parents[this->parent]);
}

void control_task::ask_once(const address& peer) {
    this->context->mailboxes->peer_client.post(
        send_subscription{peer, {.known = this->tree.digest(), .nonce = ++this->nonces, .follow = false}});
}

// Compares digests with a random host, which finds what a stale or cut-off parent withholds.
void control_task::ask_random_peer() {
    if (const auto peer = this->random_host()) {
        this->ask_once(*peer);
    }
}

void control_task::mark_stale() {
    this->stale = true;
    this->stale_nonce = this->nonces;
    this->context->mailboxes->owner.post(settings_stale{});
    this->doubt_expiry.start_once(doubt_patience);
    this->ask_for_confirmation();
}

void control_task::read_if_ignorant() {
    if (this->tree.digest().empty()) {
        this->reader.activate(reader_start_spread);
    }
}

void control_task::ask_seeds_if_ignorant() {
    if (!this->tree.digest().empty()) {
        this->seed_retry.stop();
        return;
    }
    this->ask_next_seed();
}

void control_task::ask_next_seed() {
    if (const auto seed = this->seeds.next()) {
        this->ask_once(*seed);
    }
}

void control_task::ask_for_confirmation() {
    this->ask_next_seed();
    for (std::size_t asked = 0; asked < asked_in_doubt; ++asked) {
        this->ask_random_peer();
    }
}

// With nobody to compare with, the node goes on with what it accepted last.
void control_task::confirm(const char* by) {
    this->stale = false;
    this->doubt_expiry.stop();
    log_event(log_level::info, "beliefs_confirmed", {{"by", by}});
    this->context->mailboxes->owner.post(settings_confirmed{});
}

std::optional<address> control_task::random_host() {
    const auto& settings = this->context->settings;
    std::vector<address> near;
    std::vector<address> all;
    for (const auto& [peers, listed] : this->tree.current()->hosts) {
        if (peers == settings.reachable_at) {
            continue;
        }
        all.push_back(peers);
        if (listed.data_centre == settings.data_centre) {
            near.push_back(peers);
        }
    }
    const bool stay_near = !near.empty() && this->random.uniform(0.0, 1.0) < own_data_centre_share;
    const auto& pool = stay_near ? near : all;
    if (pool.empty()) {
        return std::nullopt;
    }
    return pool[this->random.index(pool.size())];
}

bool control_task::is_ahead(const std::vector<subtree_revision>& theirs) const {
    const auto own = this->tree.digest();
    return std::any_of(theirs.begin(), theirs.end(), [&own](const subtree_revision& entry) {
        return revision_of(own, entry.subtree) < entry.revision;
    });
}

} // namespace chervilturn
