// State changes and expiry of attempts, and the cache of answers.
#include "chervilturn/admission/attempt_record.hpp"

#include <algorithm>

namespace chervilturn {

attempt_record::attempt_record(const attempt_record_options& initial_options) : options{initial_options} {}

attempt_state attempt_record::state_of(const attempt_id& attempt) const {
    const auto found = this->attempts.find(attempt);
    return found == this->attempts.end() ? attempt_state::absent : found->second.state;
}

std::optional<answer> attempt_record::cached_answer(const attempt_id& attempt) const {
    const auto found = this->attempts.find(attempt);
    return found == this->attempts.end() ? std::nullopt : found->second.cached;
}

void attempt_record::begin(const attempt_id& attempt, instant deadline) {
    this->attempts.try_emplace(attempt, entry{attempt_state::in_progress, deadline, {}});
}

void attempt_record::fence(const attempt_id& attempt, instant now) {
    const auto [found, added] = this->attempts.try_emplace(attempt, entry{attempt_state::fenced, now, {}});
    if (added) {
        this->expiries.emplace(now + this->options.retention, found->first);
    }
}

void attempt_record::finish(const answer& ended, instant now) {
    const auto found = this->attempts.find(ended.attempt);
    if (found == this->attempts.end() || found->second.state != attempt_state::in_progress) {
        return;
    }
    found->second.state = attempt_state::ended;
    const auto size = ended.body.size();
    if (size <= this->options.max_answer_bytes &&
        this->cached_bytes + size <= this->options.max_total_bytes) {
        found->second.cached = ended;
        found->second.cached->held.reset(); // the record has limits of its own
        this->cached_bytes += size;
    }
    this->expiries.emplace(std::max(now, found->second.deadline) + this->options.retention, ended.attempt);
}

void attempt_record::expire(instant now) {
    while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
        const auto found = this->attempts.find(this->expiries.begin()->second);
        if (found != this->attempts.end()) {
            this->cached_bytes -= found->second.cached ? found->second.cached->body.size() : 0;
            this->attempts.erase(found);
        }
        this->expiries.erase(this->expiries.begin());
    }
}

} // namespace chervilturn
