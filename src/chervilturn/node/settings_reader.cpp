// Watches the platform for changes and reads the changed leaves.
#include "chervilturn/node/settings_reader.hpp"

#include "chervilturn/core/back_off.hpp"
#include "chervilturn/observe/log.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr std::size_t parallel_reads = 4;
// Beyond the time that the platform was asked to wait for a change.
constexpr microseconds overdue_after = std::chrono::milliseconds{300};

} // namespace

settings_reader::settings_reader(const node_context& shared, std::unique_ptr<platform> watched_platform,
                                 const settings_tree& offered_tree, batch_handler on_batch)
    : context{&shared}, platform_client{std::move(watched_platform)}, tree{&offered_tree},
      handler{std::move(on_batch)}, random{shared.incarnation},
      watch_timer{*shared.loop, [this] { this->watch(); }}, overdue_timer{*shared.loop,
                                                                          [this] { this->on_overdue(); }} {}

void settings_reader::activate(microseconds max_delay) {
    if (this->is_active || this->platform_client == nullptr) {
        return;
    }
    this->is_active = true;
    this->succeeded_since_activation = false;
    this->failures = 0;
    const double share = this->random.uniform(0.0, 1.0);
    log_event(log_level::info, "platform_reading_started", {{"read_revision", this->last_read_revision}});
    this->schedule(microseconds{static_cast<std::int64_t>(share * static_cast<double>(max_delay.count()))});
}

void settings_reader::deactivate() {
    if (this->is_active) {
        log_event(log_level::info, "platform_reading_ended", {{"read_revision", this->last_read_revision}});
    }
    this->is_active = false;
    this->abandon_request();
    this->watch_timer.stop();
}

void settings_reader::refresh() {
    if (this->is_active) {
        this->abandon_request();
        this->schedule(microseconds::zero());
    }
}

void settings_reader::abandon_request() {
    if (this->pending_reads > 0) {
        log_event(log_level::info, "platform_read_abandoned",
                  {{"revision", this->current.revision}, {"unread", this->pending_reads}});
        this->pending_reads = 0;
    }
    ++this->round;
    this->overdue_timer.stop();
}

// The request goes on: a slow platform still answers it.
void settings_reader::on_overdue() {
    const bool was_reachable = this->platform_reachable();
    this->is_overdue = true;
    if (was_reachable && this->lost_handler) {
        log_event(log_level::info, "platform_overdue", {{"read_revision", this->last_read_revision}});
        this->lost_handler();
    }
}

void settings_reader::watch() {
    const auto started_round = ++this->round;
    ++this->context->stats->counters().platform_reads;
    // The first request, and the first one after a failure, does not wait for a change: its response shows
    // the present revision and that the platform can be reached.
    const auto wait =
        this->platform_reachable() ? this->context->settings.reading.wait : microseconds::zero();
    this->overdue_timer.start_once(wait + overdue_after);
    this->platform_client->watch(this->last_read_revision, wait,
                                 [this, started_round](const result<watch_result, platform_error>& response) {
                                     this->on_watched(started_round, response);
                                 });
}

void settings_reader::on_watched(std::uint64_t reply_round,
                                 const result<watch_result, platform_error>& response) {
    if (reply_round != this->round) {
        if (succeeded(response) && !value_of(response).changed.empty()) {
            log_event(log_level::info, "platform_result_dropped",
                      {{"revision", value_of(response).revision},
                       {"leaves", value_of(response).changed.size()},
                       {"read_revision", this->last_read_revision}});
        }
        return;
    }
    this->overdue_timer.stop();
    this->is_overdue = false;
    if (!succeeded(response)) {
        this->back_off(error_of(response));
        return;
    }
    const auto& changes = value_of(response);
    if (changes.revision < this->last_read_revision) {
        log_event(log_level::warn, "platform_stale",
                  {{"revision", changes.revision}, {"complete", this->last_read_revision}});
    }
    this->current = batch{.revision = changes.revision,
                          .complete = changes.complete,
                          .number = changes.number,
                          .subtree_revisions = {},
                          .unread = {},
                          .leaves = {}};
    for (const auto& change : changes.changed) {
        const auto subtree = subtree_of(change.path);
        if (!subtree.empty()) {
            auto& revision = this->current.subtree_revisions[subtree];
            revision = std::max(revision, change.revision);
            this->current.unread.push_back(change.path);
        }
    }
    this->pending_reads = this->current.unread.size();
    if (this->pending_reads == 0) {
        this->finish_batch();
        return;
    }
    const auto read_count = std::min(parallel_reads, this->pending_reads);
    for (std::size_t reads_started = 0; reads_started < read_count; ++reads_started) {
        this->read_next_leaf(reply_round);
    }
}

void settings_reader::read_next_leaf(std::uint64_t reply_round) {
    if (this->current.unread.empty()) {
        return;
    }
    const auto path = this->current.unread.front();
    this->current.unread.pop_front();
    ++this->context->stats->counters().platform_reads;
    this->platform_client->read(path, [this, reply_round](const result<leaf, platform_error>& response) {
        this->on_leaf_read(reply_round, response);
    });
}

void settings_reader::on_leaf_read(std::uint64_t reply_round, const result<leaf, platform_error>& response) {
    if (reply_round != this->round) {
        return;
    }
    if (!succeeded(response)) {
        this->back_off(error_of(response));
        return;
    }
    this->current.leaves.push_back(value_of(response));
    if (--this->pending_reads == 0) {
        this->finish_batch();
        return;
    }
    this->read_next_leaf(reply_round);
}

void settings_reader::finish_batch() {
    if (this->failures > 0 || !this->succeeded_since_activation) {
        log_event(log_level::info, "platform_reached",
                  {{"revision", this->current.revision}, {"failures_before", this->failures}});
    }
    if (!this->current.leaves.empty()) {
        log_event(log_level::info, "platform_read",
                  {{"after", this->last_read_revision},
                   {"revision", this->current.revision},
                   {"complete", this->current.complete ? "yes" : "no"},
                   {"leaves", this->current.leaves.size()}});
    }
    this->failures = 0;
    this->succeeded_since_activation = true;
    this->last_read_revision = std::max(this->last_read_revision, this->current.revision);
    std::map<std::string, subtree_snapshot> snapshots;
    for (const auto& [subtree, revision] : this->current.subtree_revisions) {
        snapshots[subtree] = {.subtree = subtree,
                              .revision = this->current.complete ? this->current.revision : revision,
                              .complete = this->current.complete,
                              .leaves = {}};
    }
    for (auto& item : this->current.leaves) {
        snapshots[subtree_of(item.path)].leaves.push_back(std::move(item));
    }
    std::vector<subtree_snapshot> snapshot_list;
    snapshot_list.reserve(snapshots.size());
    for (auto& [subtree, snapshot] : snapshots) {
        snapshot_list.push_back(std::move(snapshot));
    }
    this->schedule(this->context->settings.reading.pause);
    this->handler(std::move(snapshot_list));
    this->platform_client->confirm(this->current.number);
    this->reconcile();
}

// The tree has other sources: it may hold what this reader never read, or lack what another one reported.
void settings_reader::reconcile() {
    const auto restated = this->platform_client->reconcile(*this->tree);
    if (restated > 0 && this->is_active) {
        log_event(log_level::warn, "settings_differ_from_platform",
                  {{"revision", this->last_read_revision}, {"leaves", restated}});
        this->schedule(microseconds::zero());
    }
}

void settings_reader::back_off(const platform_error& error) {
    this->abandon_request();
    ++this->context->stats->counters().platform_failures;
    const auto delay = delay_after(this->failures, {}, this->random);
    if (this->failures == 0) {
        log_event(log_level::warn, "platform_unreachable", {{"error", error.message}});
    }
    ++this->failures;
    this->schedule(delay);
    if (this->failures == 1 && this->lost_handler) {
        this->lost_handler();
    }
}

void settings_reader::schedule(microseconds delay) {
    this->watch_timer.start_once(delay);
}

} // namespace chervilturn
