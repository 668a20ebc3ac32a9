// Accepts settings from the platform and from peers, and sends them on to subscribers.
#include "chervilturn/node/control_task.hpp"

#include "chervilturn/observe/log.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr microseconds stale_timeout = std::chrono::seconds{1};
constexpr microseconds seed_retry_period = std::chrono::milliseconds{100}; // while the node has no settings
constexpr double min_fallback_share = 0.25; // earliest fallback start, as a share of the latest one
constexpr microseconds reader_start_spread = std::chrono::milliseconds{20};
// Of the nodes that followed the same parent: at most as many as the fan-out of the relay tree.
constexpr microseconds own_reading_spread = std::chrono::milliseconds{100};
constexpr microseconds max_follow_delay = std::chrono::milliseconds{500};
constexpr std::size_t peers_asked_when_stale = 3;

} // namespace

control_task::control_task(const node_context& shared)
    : context{&shared}, tree{shared.protocols.acceptance},
      parent_silence{shared.settings.reading.parent_suspect}, followers{shared, this->tree},
      random{shared.incarnation}, seeds{shared.settings.seeds, shared.settings.reachable_at,
                                        shared.incarnation},
      reader{shared, shared.protocols.make_platform(*shared.loop, shared.settings), this->tree,
             [this](const std::vector<subtree_snapshot>& batch) { this->on_batch(batch); }},
      exchange{shared, this->tree, this->reader, [this] { this->update_reading(); }},
      fallback_start{*shared.loop, [this] { this->read_if_empty(); }},
      seed_retry{*shared.loop, [this] { this->ask_seeds_if_empty(); }},
      follow_retry{*shared.loop, [this] { this->follow_next_parent(); }},
      own_reading_start{*shared.loop, [this] { this->read_without_parent(); }},
      stale_expiry{*shared.loop, [this] { this->confirm("patience"); }} {
    this->reader.on_platform_lost([this] { this->exchange.on_platform_lost(); });
    shared.mailboxes->control.on_message([this](control_message&& received) {
        std::visit([this](const auto& item) { this->handle(item); }, received);
    });
}

void control_task::start() {
    const auto& seed_list = this->context->settings.seeds;
    const auto& self = this->context->settings.reachable_at;
    if (seed_list.empty() || std::find(seed_list.begin(), seed_list.end(), self) != seed_list.end()) {
        this->reader.activate(reader_start_spread);
    } else {
        // The random delay keeps nodes that start together from all reading the platform at once.
        const double share = this->random.uniform(min_fallback_share, 1.0);
        const auto latest = static_cast<double>(this->context->settings.reading.fallback_start.count());
        this->fallback_start.start_once(microseconds{static_cast<std::int64_t>(share * latest)});
    }
    this->seed_retry.start_periodic(seed_retry_period);
    this->exchange.start();
    this->mark_stale();
}

void control_task::handle(const settings_stale&) {
    this->mark_stale();
    this->reader.refresh();
}

void control_task::handle(const peer_subscribed& message) {
    this->followers.on_subscribed(message);
    this->exchange.on_subscribed(message);
}

void control_task::handle(const comparison_received& message) {
    this->exchange.on_compared(message);
}

void control_task::handle(const part_received& message) {
    if (const auto delivered_to = this->followers.on_receipt(message)) {
        this->exchange.on_delivered(*delivered_to);
    }
}

void control_task::handle(const peer_unsubscribed& message) {
    this->followers.on_unsubscribed(message.subscriber);
}

void control_task::handle(const update_received& message) {
    this->exchange.on_update();
    const bool any_accepted = this->offer_all(message.update.subtrees, to_string(message.peer));
    this->update_gauges();
    if (any_accepted) {
        this->publish();
    }
    if (any_accepted && message.update.nonce > 0) {
        this->exchange.on_update_accepted(message.peer);
    }
    if (this->followed_parent == message.peer) {
        this->on_parent_responded();
    }
    if (this->stale && message.update.nonce > this->stale_nonce) {
        this->confirm("peer");
    }
}

void control_task::handle(const update_part_received&) {
    this->exchange.on_update_part();
}

void control_task::handle(const peer_reconnected& message) {
    if (this->followed_parent == message.peer) {
        this->follow(message.peer);
    }
}

void control_task::handle(const peer_lost& message) {
    if (this->followed_parent != message.peer) {
        return;
    }
    log_event(log_level::warn, "parent_lost", {{"peer", to_string(message.peer)}});
    this->followed_parent.reset();
    this->parent_responded = false;
    this->on_parent_unheard(microseconds::zero());
    const double share = this->random.uniform(0.5, 1.0);
    this->follow_retry.start_once(
        microseconds{static_cast<std::int64_t>(share * static_cast<double>(max_follow_delay.count()))});
}

void control_task::handle(const peer_silent& message) {
    if (this->followed_parent == message.peer) {
        this->parent_responded = false;
        this->on_parent_unheard(message.silent_for);
    }
}

void control_task::handle(const describe_request& request) {
    auto subtrees = nlohmann::json::object();
    for (const auto& entry : this->tree.digest()) {
        subtrees[entry.subtree] = {
            {"revision", entry.revision}, {"version", entry.version}, {"content", entry.content}};
    }
    for (const auto& [name, rejection] : this->tree.rejections()) {
        subtrees[name]["rejected_revision"] = rejection.revision;
        subtrees[name]["rejected_because"] = to_string(rejection.error);
    }
    auto unreadable_paths = nlohmann::json::object();
    for (const auto& [path, found] : this->unreadable) {
        unreadable_paths[path] = {{"because", to_string(found.error)}, {"keeps_last", found.keeps_last}};
    }
    request.reply({{"subtrees", std::move(subtrees)},
                   {"unreadable_leaves", std::move(unreadable_paths)},
                   {"reader", this->reader.active()},
                   {"platform_reached", this->reader.platform_reachable()},
                   {"followed", this->followed_parent ? to_string(*this->followed_parent) : std::string{}},
                   {"followers", this->followers.size()},
                   {"in_doubt", this->stale}});
}

void control_task::on_batch(const std::vector<subtree_snapshot>& batch) {
    const bool any_accepted = this->offer_all(batch, "platform");
    this->update_gauges();
    if (any_accepted) {
        this->publish();
        this->exchange.on_change_read();
    }
    const bool has_other_nodes =
        this->tree.current()->hosts.size() > 1 || !this->context->settings.seeds.empty();
    if (this->stale && !has_other_nodes) {
        this->confirm("platform");
    } else if (this->stale && any_accepted) {
        this->ask_for_confirmation();
    }
}

// Called after the platform or a peer has sent everything that is newer than this node's settings.
void control_task::update_gauges() {
    auto& gauge_values = this->context->stats->gauges();
    gauge_values.settings_confirmed_at = now_monotonic();
    gauge_values.followers = this->followers.size();
    for (const auto& subtree : this->tree.digest()) {
        gauge_values.settings_revision = std::max(gauge_values.settings_revision, subtree.revision);
    }
}

// Logs the leaves that have become unreadable or readable since the last report.
void control_task::report_unreadable() {
    auto present = this->tree.unreadable();
    for (const auto& [path, found] : present) {
        const auto known = this->unreadable.find(path);
        if (known == this->unreadable.end() || known->second != found) {
            log_event(log_level::error, "settings_leaf_unreadable",
                      {{"path", path},
                       {"error", to_string(found.error)},
                       {"in_force", found.keeps_last ? "last" : "none"}});
        }
    }
    for (const auto& [path, found] : this->unreadable) {
        if (!present.contains(path)) {
            log_event(log_level::info, "settings_leaf_readable", {{"path", path}});
        }
    }
    this->unreadable = std::move(present);
    this->context->stats->gauges().unreadable_leaves = this->unreadable.size();
}

bool control_task::offer_all(const std::vector<subtree_snapshot>& snapshots, const std::string& source) {
    bool any_accepted = false;
    auto& counters = this->context->stats->counters();
    for (const auto& snapshot : snapshots) {
        const auto started_at = now_monotonic();
        const auto outcome = this->tree.offer(snapshot);
        const auto took = elapsed(started_at, now_monotonic());
        switch (outcome) {
        case offer_outcome::accepted:
            any_accepted = true;
            ++counters.settings_accepted;
            log_event(log_level::info, "settings_accepted",
                      {{"subtree", snapshot.subtree},
                       {"revision", snapshot.revision},
                       {"version", entry_of(this->tree.digest(), snapshot.subtree).version},
                       {"source", source},
                       {"leaves", snapshot.leaves.size()},
                       {"took_us", took.count()}});
            break;
        case offer_outcome::rejected:
            ++counters.settings_rejected;
            log_event(log_level::warn, "settings_rejected",
                      {{"subtree", snapshot.subtree},
                       {"revision", snapshot.revision},
                       {"error", to_string(this->tree.rejections().at(snapshot.subtree).error)}});
            break;
        case offer_outcome::unchanged:
            if (!snapshot.leaves.empty()) {
                log_event(log_level::info, "settings_not_newer",
                          {{"subtree", snapshot.subtree},
                           {"revision", snapshot.revision},
                           {"accepted_revision", revision_of(this->tree.digest(), snapshot.subtree)},
                           {"leaves", snapshot.leaves.size()},
                           {"source", source}});
            }
            break;
        }
    }
    return any_accepted;
}

void control_task::publish() {
    this->report_unreadable();
    const auto& settings = this->tree.current();
    this->context->mailboxes->entry.post(settings_changed{settings});
    this->context->mailboxes->owner.post(settings_changed{settings});
    this->followers.push(this->exchange.equal_peers());
    this->update_position();
}

// Recomputes this node's position in the relay tree from the current host list.
void control_task::update_position() {
    const auto& settings = this->context->settings;
    auto new_position =
        compute_relay_position(*this->tree.current(), settings.reachable_at, settings.data_centre,
                               settings.reading.readers_per_data_centre, this->followed_parent);
    const bool same_parents = new_position.parents == this->position.parents;
    this->position = std::move(new_position);
    this->exchange.set_position(this->position, this->followed_parent);
    this->update_reading();
    const bool keeps_parent = this->followed_parent && !this->position.parents.empty() &&
                              *this->followed_parent == this->position.parents.front();
    if (this->position.parents.empty() || keeps_parent) {
        return;
    }
    const bool tries_parents = !this->followed_parent && same_parents && this->parent_index > 0;
    // During a transfer nothing moves: the position is computed again when the update is accepted.
    if (tries_parents || (this->followed_parent && this->exchange.is_receiving())) {
        return;
    }
    this->parent_index = 0;
    this->follow(this->position.parents.front());
}

void control_task::update_reading() {
    if (this->position.reader || this->exchange.reads_instead()) {
        this->reader.activate(reader_start_spread);
    } else if (this->parent_responded) {
        this->reader.deactivate();
    }
}

void control_task::follow(const address& peer) {
    if (this->followed_parent && *this->followed_parent != peer) {
        this->context->mailboxes->peer_client.post(
            end_subscription{*this->followed_parent, this->tree.digest()});
    }
    log_event(log_level::info, "parent_followed", {{"peer", to_string(peer)}});
    this->followed_parent = peer;
    this->parent_responded = false;
    this->on_parent_unheard(microseconds::zero());
    this->exchange.set_position(this->position, this->followed_parent);
    this->context->mailboxes->peer_client.post(send_subscription{peer, this->exchange.new_request(true)});
}

// A reader needs no parent to know the newest settings.
void control_task::on_parent_unheard(microseconds unheard_for) {
    if (this->position.reader) {
        return;
    }
    const auto now = now_monotonic();
    this->parent_silence.on_unheard(now - unheard_for);
    if (!this->reader.active()) {
        const auto due = this->parent_silence.own_reading_due();
        this->own_reading_start.start_once(std::max(microseconds::zero(), elapsed(now, *due)));
    }
}

void control_task::on_parent_responded() {
    this->parent_responded = true;
    this->parent_silence.on_responded();
    this->own_reading_start.stop();
    this->update_reading();
}

// The node goes on trying its parents, and stops reading when one of them responds.
void control_task::read_without_parent() {
    log_event(log_level::warn, "parent_unheard",
              {{"peer", this->followed_parent ? to_string(*this->followed_parent) : std::string{"none"}},
               {"unheard_us", this->parent_silence.unheard_for(now_monotonic()).count()}});
    this->reader.activate(own_reading_spread);
}

void control_task::follow_next_parent() {
    if (this->followed_parent || this->position.parents.empty()) {
        return;
    }
    this->parent_index = (this->parent_index + 1) % this->position.parents.size();
    this->follow(this->position.parents[this->parent_index]);
}

void control_task::mark_stale() {
    this->stale = true;
    this->stale_nonce = this->exchange.last_request();
    this->context->mailboxes->owner.post(settings_stale{});
    this->stale_expiry.start_once(stale_timeout);
    this->ask_for_confirmation();
}

void control_task::read_if_empty() {
    if (this->tree.digest().empty()) {
        this->reader.activate(reader_start_spread);
    }
}

void control_task::ask_seeds_if_empty() {
    if (!this->tree.digest().empty()) {
        this->seed_retry.stop();
        return;
    }
    this->ask_next_seed();
}

void control_task::ask_next_seed() {
    if (const auto seed = this->seeds.next()) {
        this->exchange.ask(*seed);
    }
}

void control_task::ask_for_confirmation() {
    this->ask_next_seed();
    for (std::size_t queries = 0; queries < peers_asked_when_stale; ++queries) {
        this->exchange.ask_random_peer();
    }
}

// Also called when nothing has confirmed the settings within stale_timeout: the node then goes on with those
// that it accepted last.
void control_task::confirm(const char* confirmed_by) {
    this->stale = false;
    this->stale_expiry.stop();
    log_event(log_level::info, "beliefs_confirmed", {{"by", confirmed_by}});
    this->context->mailboxes->owner.post(settings_confirmed{});
}

} // namespace chervilturn
