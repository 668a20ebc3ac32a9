// Decisions on idempotency keys.
#include "chervilturn/admission/key_record.hpp"

#include <algorithm>
#include <iterator>

namespace chervilturn {

namespace {

[[nodiscard]] const clock_reading& later_of(const clock_reading& left, const clock_reading& right) noexcept {
    return left.monotonic < right.monotonic ? right : left;
}

} // namespace

key_record::key_record(const key_record_options& given, const clock_reading& now)
    : options{given}, started{now} {}

key_decision key_record::decide(const idempotency_key& key, const home_period& period,
                                const clock_reading& now) {
    this->expire(now);
    auto earlier = period.earlier;
    const auto known = this->keys.find(key.text);
    if (known != this->keys.end()) {
        if (known->second.state != key_state::fenced) {
            return recall(known->second);
        }
        earlier.push_back(known->second.later_home);
    }
    if (const auto objection = this->objection_to_age(key, now)) {
        return *objection;
    }
    const auto known_since = later_of(this->started, period.known_since);
    if (!this->is_newer(key, known_since, microseconds::zero(), now)) {
        return key_refused{outcome::unknown, reason::key_record_young};
    }
    // Soon after a start, owners that hold older settings may be homes that this owner never saw.
    if (!this->is_newer(key, known_since, this->options.convergence_bound, now)) {
        std::copy_if(period.members.begin(), period.members.end(), std::back_inserter(earlier),
                     [&earlier](const address& member) {
                         return std::find(earlier.begin(), earlier.end(), member) == earlier.end();
                     });
    }
    if (!earlier.empty()) {
        return key_unresolved{std::move(earlier)};
    }
    return this->unseen_if_room();
}

key_decision key_record::decide_after_asking(const idempotency_key& key,
                                             const std::vector<key_report>& reports) {
    const auto known = this->keys.find(key.text);
    if (known != this->keys.end() && known->second.state != key_state::fenced) {
        return recall(known->second);
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
    const auto known = this->keys.find(key.text);
    if (known == this->keys.end()) {
        if (!this->is_newer(key, this->started, microseconds::zero(), now)) {
            return {key_finding::uncertain, {}};
        }
        this->keys.emplace(key.text, entry{key_state::fenced, {}, later_home});
        this->ages.push_back({now.monotonic, key.text});
        return {key_finding::fenced, {}};
    }
    auto& held = known->second;
    switch (held.state) {
    case key_state::fenced:
        held.later_home = later_home;
        return {key_finding::fenced, {}};
    case key_state::answered:
        return {key_finding::answered, held.cached};
    default:
        return {key_finding::uncertain, {}};
    }
}

void key_record::begin(const idempotency_key& key, const clock_reading& now) {
    this->keys.insert_or_assign(key.text, entry{});
    this->ages.push_back({now.monotonic, key.text});
}

void key_record::forget(const idempotency_key& key) {
    const auto known = this->keys.find(key.text);
    if (known != this->keys.end() && known->second.state == key_state::in_progress) {
        this->keys.erase(known);
    }
}

void key_record::finish(const idempotency_key& key, const answer& ended) {
    const auto known = this->keys.find(key.text);
    if (known == this->keys.end()) {
        return;
    }
    if (ended.result != outcome::completed) {
        known->second.state = key_state::uncertain;
        return;
    }
    const auto size = ended.body.size();
    if (size > this->options.max_answer_bytes || this->kept_bytes + size > this->options.max_total_bytes) {
        known->second.state = key_state::answer_dropped;
        return;
    }
    this->kept_bytes += size;
    known->second = {key_state::answered, ended, {}};
}

void key_record::expire(const clock_reading& now) {
    while (!this->ages.empty() && this->ages.front().since + this->options.retention <= now.monotonic) {
        const auto known = this->keys.find(this->ages.front().text);
        if (known != this->keys.end() && known->second.state == key_state::in_progress) {
            this->ages.push_back({now.monotonic, known->first});
        } else if (known != this->keys.end()) {
            this->kept_bytes -= known->second.cached.body.size();
            this->keys.erase(known);
        }
        this->ages.pop_front();
    }
}

key_decision key_record::recall(const entry& known) {
    switch (known.state) {
    case key_state::in_progress:
        return key_in_progress{};
    case key_state::answered:
        return key_answered{known.cached};
    case key_state::answer_dropped:
        return key_refused{outcome::completed, reason::answer_too_large};
    default:
        return key_refused{outcome::unknown, reason::timed_out};
    }
}

std::optional<key_refused> key_record::objection_to_age(const idempotency_key& key,
                                                        const clock_reading& now) const {
    if (!key.dated()) {
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

// Whether the key was first used after a moment, as far as its date or the callers' patience tells.
bool key_record::is_newer(const idempotency_key& key, const clock_reading& since, microseconds margin,
                          const clock_reading& now) const {
    if (key.dated()) {
        return key.created >= since.wall + margin + this->options.max_clock_skew;
    }
    return now.monotonic >= since.monotonic + margin + this->options.undated_retention;
}

key_decision key_record::unseen_if_room() const {
    if (this->keys.size() >= this->options.max_keys) {
        return key_refused{outcome::not_run, reason::key_record_full};
    }
    return key_unseen{};
}

} // namespace chervilturn
