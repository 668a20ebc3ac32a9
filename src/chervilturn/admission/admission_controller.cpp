// Admission decisions, the use of slots and the estimate of waiting times.
#include "chervilturn/admission/admission_controller.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr std::uint32_t normal_percent = 100;
// Of the expected wait for a slot. Under overload the queue is always as long as admission permits, so that a
// call which is admitted without a margin starts too late as often as not.
constexpr std::int64_t slot_wait_margin_percent = 140;
// A reported slowdown is ignored after this time, because a host's speed can change that quickly.
constexpr microseconds slowdown_validity = std::chrono::milliseconds{400};

} // namespace

admission_controller::admission_controller(const admission_options& initial_options, instant now)
    : options{initial_options}, limit{initial_options.warm_up}, cold_rate{initial_options.cold, now} {}

void admission_controller::configure(const admission_options& new_options, instant now) {
    this->options = new_options;
    this->limit.configure(new_options.warm_up);
    this->cold_rate.configure(new_options.cold, now);
}

admission_decision admission_controller::admit(const queue_entry& entry, instant now) {
    this->free_abandoned_slots(now);
    if (this->cannot_finish_in_time(entry, now)) {
        return refused{reason::deadline_too_near};
    }
    if (this->limit.state() == backend_state::draining) {
        return refused{reason::backend_draining};
    }
    if (this->limit.state() == backend_state::unreachable) {
        return refused{reason::backend_unreachable};
    }
    if (!entry.last_resort && this->would_be_late(entry, now)) {
        return this->refuse_to_wait(reason::would_be_late, entry, now);
    }
    if (this->queue.size() == 0 && this->start(entry, now)) {
        return dispatched{};
    }
    if (this->limit.is_slow() && !entry.last_resort) {
        return refused{reason::backend_slow, this->limit.recent_service_time()};
    }
    if (now + this->expected_wait(entry, now) > entry.deadline) {
        return this->refuse_to_wait(reason::deadline_too_near, entry, now);
    }
    if (this->queue.size() < this->options.max_queue) {
        this->queue.push(entry);
        return queued{};
    }
    return this->evict_for(entry);
}

// Makes room in a full queue. For a nested call any other call is removed. Else removes the newest call of
// the workspace with the largest share, if the new call's workspace stays below that share with the new call;
// otherwise refuses the new call.
admission_decision admission_controller::evict_for(const queue_entry& entry) {
    if (entry.nested) {
        if (auto evicted = this->queue.remove_newest_outer()) {
            this->queue.push(entry);
            return queued{std::move(evicted)};
        }
    }
    const auto largest = this->queue.largest_share();
    const double new_share = this->queue.share_of(entry.workspace, entry.weight) + 1.0 / entry.weight;
    if (largest.workspace == entry.workspace || new_share >= largest.calls_per_weight) {
        return refused{reason::queue_full, this->limit.recent_service_time()};
    }
    auto evicted = this->queue.remove_newest(largest.workspace);
    this->queue.push(entry);
    return queued{std::move(evicted)};
}

void admission_controller::complete(const attempt_id& attempt, microseconds service_time) {
    if (this->in_use.erase(attempt) > 0) {
        this->limit.on_answer(service_time);
    }
}

void admission_controller::release(const attempt_id& attempt) {
    this->in_use.erase(attempt);
}

void admission_controller::abandon(const attempt_id& attempt, instant now) {
    const auto found = this->in_use.find(attempt);
    if (found != this->in_use.end()) {
        found->second = now + this->options.cancel_grace;
    }
}

dequeued_calls admission_controller::advance(instant now) {
    this->free_abandoned_slots(now);
    dequeued_calls dequeued;
    const auto cannot_finish = [this, now](const queue_entry& entry) {
        return this->cannot_finish_in_time(entry, now);
    };
    for (const auto& entry : this->queue.expire(cannot_finish)) {
        dequeued.expired.push_back(entry.attempt);
    }
    if (this->limit.state() == backend_state::draining) {
        for (const auto& entry : this->queue.clear()) {
            dequeued.drained.push_back(entry.attempt);
        }
    }
    if (this->limit.is_slow()) {
        for (const auto& entry : this->queue.take_reroutable()) {
            dequeued.shed.push_back(entry.attempt);
        }
    }
    while (this->queue.size() > 0 && this->can_start(now)) {
        const auto next = this->queue.pop(now);
        if (!next || !this->start(*next, now)) {
            break;
        }
        dequeued.dispatch.push_back(next->attempt);
    }
    for (const auto& entry : this->queue.take_overtaken(now)) {
        dequeued.overtaken.push_back(entry.attempt);
    }
    return dequeued;
}

bool admission_controller::can_start(instant now) noexcept {
    return this->has_free_slot() && this->cold_rate.has_room(now) && this->stated_rate.has_room(now);
}

bool admission_controller::start(const queue_entry& entry, instant now) {
    if (!this->can_start(now)) {
        return false;
    }
    this->cold_rate.count(now);
    this->stated_rate.count(now);
    this->in_use.emplace(entry.attempt, std::nullopt);
    this->overtaking.on_started(entry.nested);
    return true;
}

load_report admission_controller::report() const noexcept {
    return {.in_use = static_cast<std::uint32_t>(this->in_use.size()),
            .queued = static_cast<std::uint32_t>(this->queue.size()),
            .limit = this->limit.limit(),
            .slowdown_percent = this->slowdown_percent,
            .calls_per_second = this->stated_rate.rate()};
}

bool admission_controller::has_free_slot() const noexcept {
    return this->in_use.size() < this->limit.limit();
}

// Whether the answer would miss the soft deadline because this backend server is slow or full, so that
// another one is the better choice.
bool admission_controller::would_be_late(const queue_entry& entry, instant now) const noexcept {
    if (entry.latest_start == instant::max() || now >= entry.latest_start) {
        return false; // no soft deadline, or too late on every backend server
    }
    const auto added_service_time =
        entry.baseline_service_time * (this->current_slowdown(now) - normal_percent) / normal_percent;
    const auto margin = entry.nested ? std::int64_t{normal_percent} : slot_wait_margin_percent;
    const auto wait = std::max(this->slot_wait(entry) * margin / normal_percent,
                               this->rate_wait_after(this->queue.size_before(entry), now));
    return now + added_service_time + wait >= entry.latest_start;
}

// Whether the call cannot finish before its deadline. Running it would only take a slot, or part of the rate
// of a cold backend server, from calls that can still finish in time. For a last-resort call the slowdown of
// the host is ignored: no other backend server can take it, and the host may recover while it runs.
bool admission_controller::cannot_finish_in_time(const queue_entry& entry, instant now) const noexcept {
    const auto slowdown = entry.last_resort ? normal_percent : this->current_slowdown(now);
    return now + min_service_time(entry.baseline_service_time) * slowdown / normal_percent >= entry.deadline;
}

// Current duration of work on the host in percent of the normal duration; at least 100, and 100 when there is
// no recent report.
std::uint32_t admission_controller::current_slowdown(instant now) const noexcept {
    const bool is_recent = now - this->slowdown_at <= slowdown_validity;
    return is_recent ? std::max(normal_percent, this->slowdown_percent) : normal_percent;
}

// Estimated time until a slot is free for a call added to the queue: that of the calls before it and its own.
microseconds admission_controller::slot_wait(const queue_entry& entry) const noexcept {
    if (this->has_free_slot()) {
        return microseconds::zero();
    }
    const auto slots = static_cast<std::int64_t>(std::max(1U, this->limit.limit()));
    const auto queue_length = static_cast<std::int64_t>(this->queue.size_before(entry)) + 1;
    const auto wait = this->limit.recent_service_time() * queue_length / slots;
    return entry.nested
               ? wait
               : std::chrono::duration_cast<microseconds>(wait * this->overtaking.starts_per_outer_call());
}

microseconds admission_controller::rate_wait(instant now) const noexcept {
    return this->rate_wait_after(this->queue.size(), now);
}

microseconds admission_controller::rate_wait_after(std::size_t calls, instant now) const noexcept {
    return std::max(this->cold_rate.wait_after(calls, now), this->stated_rate.wait_after(calls, now));
}

// Estimated time until a call added to the queue starts.
microseconds admission_controller::expected_wait(const queue_entry& entry, instant now) const noexcept {
    return std::max(this->slot_wait(entry), this->rate_wait_after(this->queue.size_before(entry), now));
}

// Refuses a call that would wait too long. The reason names the stated rate when that imposes the wait.
refused admission_controller::refuse_to_wait(reason why, const queue_entry& entry,
                                             instant now) const noexcept {
    const auto stated_wait = this->stated_rate.wait_after(this->queue.size_before(entry), now);
    const auto wait = this->expected_wait(entry, now);
    const bool is_rate_limited = stated_wait > microseconds::zero() && stated_wait >= wait;
    const bool has_end = wait < token_bucket::endless_wait;
    return {is_rate_limited ? reason::server_rate_limited : why, has_end ? wait : microseconds::zero()};
}

void admission_controller::free_abandoned_slots(instant now) {
    std::erase_if(this->in_use, [now](const auto& slot) { return slot.second && *slot.second <= now; });
}

} // namespace chervilturn
