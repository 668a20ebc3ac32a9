// Decisions about one call at the entry.
#include "chervilturn/node/entry_call.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

// Refusals for want of room or speed, which may be over in a moment.
[[nodiscard]] bool is_passing(reason why) {
    return why == reason::would_be_late || why == reason::queue_full || why == reason::deadline_too_near ||
           why == reason::backend_slow;
}

} // namespace

entry_call::entry_call(accepted_request&& given, std::uint32_t max_reroutes, instant now)
    : accepted{std::move(given)}, steps{this->accepted.original_call.idempotent ||
                                            this->accepted.original_call.key.given(),
                                        this->accepted.extra_attempts, max_reroutes},
      began{now}, ends{now + this->accepted.original_call.remaining},
      late_at{this->accepted.target_latency > microseconds::zero() ? now + this->accepted.target_latency
                                                                   : this->ends},
      last{refuse({}, outcome::not_run, reason::no_backend_server)} {}

bool entry_call::goes_to_key_home() const noexcept {
    return this->original_call().key.given() && !this->original_call().idempotent;
}

call_estimate entry_call::estimate(microseconds usual, instant now) const noexcept {
    return {.service = usual,
            .until_soft_deadline = std::max(microseconds::zero(), elapsed(now, this->late_at))};
}

void entry_call::pick(const std::string& server, bool last_resort, microseconds usual) {
    this->accepted.original_call.last_resort = last_resort;
    this->accepted.original_call.baseline_service_time = usual;
    this->servers.tried.push_back(server);
    std::erase(this->servers.refused, server);
}

call entry_call::begin_attempt(const attempt_id& id, const address& owner, instant now) {
    auto sent = this->accepted.original_call;
    sent.attempt = id;
    sent.remaining = elapsed(now, this->ends);
    sent.until_soft_deadline = std::max(microseconds::zero(), elapsed(now, this->late_at));
    sent.extra_attempts = this->steps.extra_for_nested();
    this->steps.count_attempt();
    this->current = attempt{.id = id, .owner = owner, .sent_at = now};
    return sent;
}

retry_action entry_call::end_attempt(const answer& ended, bool reconsider, retry_budget& budget,
                                     instant now) {
    this->current.reset();
    this->last = ended;
    if (ended.retry_after > microseconds::zero() &&
        (this->shortest_wait == microseconds::zero() || ended.retry_after < this->shortest_wait)) {
        this->shortest_wait = ended.retry_after;
    }
    this->may_have_run = this->may_have_run || ended.result == outcome::unknown;
    const auto spare =
        elapsed(now, this->ends) - min_service_time(this->original_call().baseline_service_time);
    const auto next = this->steps.decide(ended, spare, budget);
    const bool passing = ended.result == outcome::not_run && is_passing(ended.why);
    if (passing && reconsider && !this->original_call().last_resort && !this->servers.tried.empty()) {
        this->servers.refused.push_back(this->servers.tried.back());
        this->servers.tried.pop_back();
    }
    return next;
}

answer entry_call::final_answer() const {
    auto told = this->last;
    if (told.result == outcome::not_run && !this->certainly_not_run(told)) {
        told.result = outcome::unknown;
    }
    return told;
}

void entry_call::end_with(outcome result, reason why) {
    this->last = refuse({}, result, why);
}

// The outcome of a call with a key speaks of the key, so that a caller may act on it: only the key's home
// can say that no earlier call with the key ran.
bool entry_call::certainly_not_run(const answer& ended) const noexcept {
    return this->goes_to_key_home() ? ended.key_never_ran : !this->may_have_run;
}

} // namespace chervilturn
