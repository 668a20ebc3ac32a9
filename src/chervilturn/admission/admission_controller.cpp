// Decisions of the owner's door.
#include "chervilturn/admission/admission_controller.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr std::uint32_t usual_percent = 100;
constexpr microseconds slowdown_validity = std::chrono::milliseconds{400}; // hosts change pace that often

} // namespace

admission_controller::admission_controller(const admission_options& given, instant now)
    : options{given}, limit{given.warm_up}, cold_rate{given.cold, now} {}

void admission_controller::configure(const admission_options& given, instant now) {
    this->options = given;
    this->limit.configure(given.warm_up);
    this->cold_rate.configure(given.cold, now);
}

admission_decision admission_controller::admit(const queue_entry& entry, instant now) {
    this->free_abandoned(now);
    if (this->cannot_end_in_time(entry, now)) {
        return refused{reason::deadline_too_near};
    }
    if (this->limit.state() == backend_state::draining) {
        return refused{reason::backend_draining};
    }
    if (this->limit.state() == backend_state::unreachable) {
        return refused{reason::backend_unreachable};
    }
    if (!entry.last_resort && this->would_be_late(entry, now)) {
        return refused{reason::would_be_late, this->expected_wait(now)};
    }
    if (this->waiting.size() == 0 && this->has_free_slot() && this->cold_rate.take(now)) {
        this->in_use.emplace(entry.attempt, std::nullopt);
        return dispatched{};
    }
    if (this->limit.is_slow() && !entry.last_resort) {
        return refused{reason::backend_slow, this->limit.recent_service_time()};
    }
    const auto wait = this->expected_wait(now);
    if (now + wait > entry.deadline) {
        return refused{reason::deadline_too_near, wait};
    }
    if (this->waiting.size() < this->options.max_queue) {
        this->waiting.push(entry);
        return queued{};
    }
    return this->evict_for(entry);
}

admission_decision admission_controller::evict_for(const queue_entry& entry) {
    const auto largest = this->waiting.largest_share();
    const double share_after = this->waiting.share_of(entry.workspace, entry.weight) + 1.0 / entry.weight;
    if (largest.workspace == entry.workspace || share_after >= largest.calls_per_weight) {
        return refused{reason::queue_full, this->limit.recent_service_time()};
    }
    auto evicted = this->waiting.drop_newest(largest.workspace);
    this->waiting.push(entry);
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
    this->free_abandoned(now);
    dequeued_calls leaving;
    const auto given_up = [this, now](const queue_entry& entry) {
        return this->cannot_end_in_time(entry, now);
    };
    for (const auto& entry : this->waiting.expire(given_up)) {
        leaving.expired.push_back(entry.attempt);
    }
    if (this->limit.is_slow()) {
        for (const auto& entry : this->waiting.take_movable()) {
            leaving.shed.push_back(entry.attempt);
        }
    }
    while (this->has_free_slot() && this->waiting.size() > 0 && this->cold_rate.take(now)) {
        const auto next = this->waiting.pop(now);
        if (!next) {
            break;
        }
        this->in_use.emplace(next->attempt, std::nullopt);
        leaving.dispatch.push_back(next->attempt);
    }
    return leaving;
}

load_report admission_controller::report() const noexcept {
    return {.in_use = static_cast<std::uint32_t>(this->in_use.size()),
            .queued = static_cast<std::uint32_t>(this->waiting.size()),
            .limit = this->limit.limit(),
            .slowdown_percent = this->slowdown_percent};
}

bool admission_controller::has_free_slot() const noexcept {
    return this->in_use.size() < this->limit.limit();
}

// Whether another backend server is the better choice, since this one is slow or full at present.
bool admission_controller::would_be_late(const queue_entry& entry, instant now) const noexcept {
    if (entry.latest_start == instant::max() || now >= entry.latest_start) {
        return false; // late everywhere, or no limit is known
    }
    const auto extra_service =
        entry.baseline_service_time * (this->present_percent(now) - usual_percent) / usual_percent;
    const auto queue_wait = this->has_free_slot() ? microseconds::zero() : this->expected_wait(now);
    return now + extra_service + queue_wait >= entry.latest_start;
}

// Running it would only take a slot, or a cold backend server's allowance, from calls that can still end in
// time. Calls that have nowhere else to go are given the benefit of a host that recovers.
bool admission_controller::cannot_end_in_time(const queue_entry& entry, instant now) const noexcept {
    const auto percent = entry.last_resort ? usual_percent : this->present_percent(now);
    return now + min_service_time(entry.baseline_service_time) * percent / usual_percent >= entry.deadline;
}

// How long work takes on the host at present, in percent of the usual; 100 when that is not known.
std::uint32_t admission_controller::present_percent(instant now) const noexcept {
    const bool fresh = now - this->slowdown_at <= slowdown_validity;
    return fresh ? std::max(usual_percent, this->slowdown_percent) : usual_percent;
}

microseconds admission_controller::expected_wait(instant now) const noexcept {
    const auto slots = static_cast<std::int64_t>(std::max(1U, this->limit.limit()));
    const auto ahead = static_cast<std::int64_t>(this->waiting.size());
    const auto busy = this->limit.recent_service_time() * ahead / slots;
    return std::max(busy, this->cold_rate.time_for(this->waiting.size(), now));
}

void admission_controller::free_abandoned(instant now) {
    std::erase_if(this->in_use, [now](const auto& held) { return held.second && *held.second <= now; });
}

} // namespace chervilturn
