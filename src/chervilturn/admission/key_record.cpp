// Decisions on idempotency keys, and the upkeep of the record.
#include "chervilturn/admission/key_record.hpp"

#include <algorithm>
#include <iterator>

namespace chervilturn {

namespace {

[[nodiscard]] const clock_reading& later_of(const clock_reading& left, const clock_reading& right) noexcept {
    return left.monotonic < right.monotonic ? right : left;
}

} // namespace

key_record::key_record(const key_record_options& initial_options, const clock_reading& now)
    : options{initial_options}, started{now} {}

key_decision key_record::decide(const idempotency_key& key, const home_period& period,
                                const clock_reading& now) {
    this->expire(now);
    auto owners_to_ask = period.earlier_homes;
    const auto found = this->keys.find(key.text);
    if (found != this->keys.end()) {
        if (found->second.state != key_state::fenced) {
            return decision_for(found->second);
        }
        owners_to_ask.push_back(found->second.later_home);
    }
    if (const auto refusal = this->refuse_by_age(key, now)) {
        return *refusal;
    }
    const auto known_since = later_of(this->started, period.known_since);
    if (!this->is_newer_than(key, known_since, microseconds::zero(), now)) {
        return key_refused{outcome::unknown, reason::key_record_young};
    }
    // If the key may have been used within the convergence bound after known_since, an owner with older
    // settings may have run it without being a recorded home.
    if (!this->is_newer_than(key, known_since, this->options.convergence_bound, now)) {
        std::copy_if(period.other_owners.begin(), period.other_owners.end(),
                     std::back_inserter(owners_to_ask), [&owners_to_ask](const address& owner) {
                         return std::find(owners_to_ask.begin(), owners_to_ask.end(), owner) ==
                                owners_to_ask.end();
                     });
    }
    if (!owners_to_ask.empty()) {
        return key_unresolved{std::move(owners_to_ask)};
    }
    return this->unseen_if_room();
}

key_decision key_record::decide_after_inquiry(const idempotency_key& key,
                                              const std::vector<key_report>& reports) {
    const auto found = this->keys.find(key.text);
    if (found != this->keys.end() && found->second.state != key_state::fenced) {
        return decision_for(found->second);
    }
    for (const auto& report : reports) {
        if (report.finding == key_finding::answered) {
            return key_answered{report.cached};
        }
    }
    const bool all_fenced = std::all_of(reports.begin(), reports.end(), [](const key_report& report) {
        return report.finding == key_finding::fenced;
    });
    if (!all_fenced) {
        return key_refused{outcome::unknown, reason::key_record_young};
    }
    return this->unseen_if_room();
}

key_report key_record::report_and_fence(const idempotency_key& key, const address& later_home,
                                        const clock_reading& now) {
    const auto found = this->keys.find(key.text);
    if (found == this->keys.end()) {
        if (!this->is_newer_than(key, this->started, microseconds::zero(), now)) {
            return {key_finding::uncertain, {}};
        }
        this->keys.emplace(key.text, entry{key_state::fenced, {}, later_home});
        this->expiry_queue.push_back({now.monotonic, key.text});
        return {key_finding::fenced, {}};
    }
    auto& recorded = found->second;
    switch (recorded.state) {
    case key_state::fenced:
        recorded.later_home = later_home;
        return {key_finding::fenced, {}};
    case key_state::answered:
        return {key_finding::answered, recorded.cached};
    default:
        return {key_finding::uncertain, {}};
    }
}

void key_record::begin(const idempotency_key& key, const clock_reading& now) {
    this->keys.insert_or_assign(key.text, entry{});
    this->expiry_queue.push_back({now.monotonic, key.text});
}

void key_record::forget(const idempotency_key& key) {
    const auto found = this->keys.find(key.text);
    if (found != this->keys.end() && found->second.state == key_state::in_progress) {
        this->keys.erase(found);
    }
}

void key_record::finish(const idempotency_key& key, const answer& ended) {
    const auto found = this->keys.find(key.text);
    if (found == this->keys.end()) {
        return;
    }
    if (ended.result != outcome::completed) {
        found->second.state = key_state::uncertain;
        return;
    }
    const auto size = ended.body.size();
    if (size > this->options.max_answer_bytes || this->cached_bytes + size > this->options.max_total_bytes) {
        found->second.state = key_state::answer_dropped;
        return;
    }
    this->cached_bytes += size;
    found->second = {key_state::answered, ended, {}};
    found->second.cached.held.reset(); // the record has limits of its own
}

void key_record::expire(const clock_reading& now) {
    while (!this->expiry_queue.empty() &&
           this->expiry_queue.front().recorded_at + this->options.retention <= now.monotonic) {
        const auto found = this->keys.find(this->expiry_queue.front().text);
        if (found != this->keys.end() && found->second.state == key_state::in_progress) {
            this->expiry_queue.push_back({now.monotonic, found->first});
        } else if (found != this->keys.end()) {
            this->cached_bytes -= found->second.cached.body.size();
            this->keys.erase(found);
        }
        this->expiry_queue.pop_front();
    }
}

key_decision key_record::decision_for(const entry& key_entry) {
    switch (key_entry.state) {
    case key_state::in_progress:
        return key_in_progress{};
    case key_state::answered:
        return key_answered{key_entry.cached};
    case key_state::answer_dropped:
        return key_refused{outcome::completed, reason::answer_too_large};
    default:
        return key_refused{outcome::unknown, reason::timed_out};
    }
}

std::optional<key_refused> key_record::refuse_by_age(const idempotency_key& key,
                                                     const clock_reading& now) const {
    if (!key.has_creation_time()) {
        return std::nullopt;
    }
    if (key.created > now.wall + this->options.max_clock_skew) {
        return key_refused{outcome::not_run, reason::bad_request};
    }
    if (key.created + this->options.retention <= now.wall + this->options.max_clock_skew) {
        return key_refused{outcome::unknown, reason::key_expired};
    }
    return std::nullopt;
}

// Whether the key was certainly not used before moment + margin. A dated key must have been created at least
// the clock skew after that time. For an undated key, the undated retention must have passed since that time,
// because callers do not use a key for longer.
bool key_record::is_newer_than(const idempotency_key& key, const clock_reading& moment, microseconds margin,
                               const clock_reading& now) const {
    if (key.has_creation_time()) {
        return key.created >= moment.wall + margin + this->options.max_clock_skew;
    }
    return now.monotonic >= moment.monotonic + margin + this->options.undated_retention;
}

key_decision key_record::unseen_if_room() const {
    if (this->keys.size() >= this->options.max_keys) {
        return key_refused{outcome::not_run, reason::key_record_full};
    }
    return key_unseen{};
}

} // namespace chervilturn
