// Watching and reading of the platform.
#include "chervilturn/node/settings_reader.hpp"

#include "chervilturn/core/back_off.hpp"
#include "chervilturn/observe/log.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr std::size_t parallel_reads = 4;

} // namespace

settings_reader::settings_reader(const node_context& shared, std::unique_ptr<platform> read_from,
                                 batch_handler receiver)
    : context{&shared}, source{std::move(read_from)}, handler{std::move(receiver)},
      random{shared.incarnation}, next{*shared.loop, [this] { this->watch(); }} {}

void settings_reader::activate(microseconds longest_delay) {
    if (this->running || this->source == nullptr) {
        return;
    }
    this->running = true;
    const double part = this->random.uniform(0.0, 1.0);
    this->schedule(
        microseconds{static_cast<std::int64_t>(part * static_cast<double>(longest_delay.count()))});
}

void settings_reader::deactivate() {
    this->running = false;
    ++this->round;
    this->next.stop();
}

void settings_reader::refresh() {
    if (this->running) {
        ++this->round;
        this->schedule(microseconds::zero());
    }
}

void settings_reader::watch() {
    const auto started = ++this->round;
    ++this->context->stats->counters().platform_reads;
    // The first exchange does not wait: it tells what is there and that the platform can be reached.
    const auto wait = this->reached() ? this->context->settings.reading.wait : microseconds::zero();
    this->source->watch(this->complete, wait,
                        [this, started](const result<watch_result, platform_error>& watched) {
                            this->on_watched(started, watched);
                        });
}

void settings_reader::on_watched(std::uint64_t of_round,
                                 const result<watch_result, platform_error>& watched) {
    if (of_round != this->round) {
        return;
    }
    if (!succeeded(watched)) {
        this->back_off(error_of(watched));
        return;
    }
    const auto& seen = value_of(watched);
    if (seen.revision < this->complete) {
        log_event(log_level::warn, "platform_stale",
                  {{"revision", seen.revision}, {"complete", this->complete}});
    }
    this->current = batch{.revision = seen.revision,
                          .complete = seen.complete,
                          .subtree_revisions = {},
                          .unread = {},
                          .leaves = {}};
    for (const auto& changed : seen.changed) {
        const auto subtree = subtree_of(changed.path);
        if (!subtree.empty()) {
            auto& revision = this->current.subtree_revisions[subtree];
            revision = std::max(revision, changed.revision);
            this->current.unread.push_back(changed.path);
        }
    }
    this->reads_awaited = this->current.unread.size();
    if (this->reads_awaited == 0) {
        this->finish_batch();
        return;
    }
    const auto parallel = std::min(parallel_reads, this->reads_awaited);
    for (std::size_t started = 0; started < parallel; ++started) {
        this->read_next(of_round);
    }
}

void settings_reader::read_next(std::uint64_t of_round) {
    if (this->current.unread.empty()) {
        return;
    }
    const auto path = this->current.unread.front();
    this->current.unread.pop_front();
    ++this->context->stats->counters().platform_reads;
    this->source->read(
        path, [this, of_round](const result<leaf, platform_error>& read) { this->on_read(of_round, read); });
}

void settings_reader::on_read(std::uint64_t of_round, const result<leaf, platform_error>& read) {
    if (of_round != this->round) {
        return;
    }
    if (!succeeded(read)) {
        this->back_off(error_of(read));
        return;
    }
    this->current.leaves.push_back(value_of(read));
    if (--this->reads_awaited == 0) {
        this->finish_batch();
        return;
    }
    this->read_next(of_round);
}

void settings_reader::finish_batch() {
    if (this->failures > 0 || !this->ever_reached) {
        log_event(log_level::info, "platform_reached",
                  {{"revision", this->current.revision}, {"failures_before", this->failures}});
    }
    this->failures = 0;
    this->ever_reached = true;
    this->complete = std::max(this->complete, this->current.revision);
    std::map<std::string, subtree_snapshot> snapshots;
    for (const auto& [subtree, revision] : this->current.subtree_revisions) {
        snapshots[subtree] = {.subtree = subtree,
                              .revision = this->current.complete ? this->current.revision : revision,
                              .complete = this->current.complete,
                              .leaves = {}};
    }
    for (auto& read : this->current.leaves) {
        snapshots[subtree_of(read.path)].leaves.push_back(std::move(read));
    }
    std::vector<subtree_snapshot> finished;
    finished.reserve(snapshots.size());
    for (auto& [subtree, snapshot] : snapshots) {
        finished.push_back(std::move(snapshot));
    }
    this->schedule(this->context->settings.reading.pause);
    this->handler(std::move(finished));
}

void settings_reader::back_off(const platform_error& error) {
    ++this->round;
    ++this->context->stats->counters().platform_failures;
    const auto delay = delay_after(this->failures, {}, this->random);
    if (this->failures == 0) {
        log_event(log_level::warn, "platform_unreachable", {{"error", error.message}});
    }
    ++this->failures;
    this->schedule(delay);
}

void settings_reader::schedule(microseconds delay) {
    this->next.start_once(delay);
}

} // namespace chervilturn
