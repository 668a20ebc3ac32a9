// Attempts, retry decisions and the final answer of one call at the entry.
#include "chervilturn/node/entry_call.hpp"

#include <algorithm>

namespace chervilturn {

entry_call::entry_call(accepted_request&& new_request, std::uint32_t max_reroutes, instant now)
    : accepted{std::move(new_request)}, retry_decisions{this->accepted.original_call.idempotent ||
                                                            this->accepted.original_call.key.is_present(),
                                                        this->accepted.extra_attempts, max_reroutes},
      start{now}, call_deadline{now + this->accepted.original_call.remaining},
      soft_deadline{this->accepted.target_latency > microseconds::zero() ? now + this->accepted.target_latency
                                                                         : this->call_deadline},
      last_answer{refuse({}, outcome::not_run, reason::no_backend_server)} {}

bool entry_call::needs_key_home() const noexcept {
    return this->original_call().key.is_present() && !this->original_call().idempotent;
}

call_estimate entry_call::estimate(microseconds baseline, instant now) const noexcept {
    return {.service_time = baseline,
            .until_soft_deadline = std::max(microseconds::zero(), elapsed(now, this->soft_deadline))};
}

void entry_call::record_selection(const std::string& server, bool last_resort, microseconds baseline) {
    this->accepted.original_call.last_resort = last_resort;
    this->accepted.original_call.baseline_service_time = baseline;
    this->server_history.tried.push_back(server);
    std::erase(this->server_history.refused, server);
}

call entry_call::begin_attempt(const attempt_id& id, const backend_server& server, instant now) {
    auto sent = this->accepted.original_call;
    sent.attempt = id;
    sent.remaining = elapsed(now, this->call_deadline);
    sent.until_soft_deadline = std::max(microseconds::zero(), elapsed(now, this->soft_deadline));
    sent.extra_attempts = this->retry_decisions.nested_extra_attempts();
    this->retry_decisions.count_attempt();
    this->current_attempt = attempt{.id = id,
                                    .owner = server.node,
                                    .server = server.name,
                                    .data_centre = server.data_centre,
                                    .sent_at = now};
    return sent;
}

retry_action entry_call::end_attempt(answer received, const attempt_limits& limits, retry_budget& budget,
                                     instant now) {
    this->current_attempt.reset();
    this->last_answer = std::move(received);
    const auto& ended = this->last_answer;
    if (ended.retry_after > microseconds::zero() && (this->shortest_retry_after == microseconds::zero() ||
                                                     ended.retry_after < this->shortest_retry_after)) {
        this->shortest_retry_after = ended.retry_after;
    }
    this->may_have_run = this->may_have_run || ended.result == outcome::unknown;
    const auto slack =
        elapsed(now, this->call_deadline) - min_service_time(this->original_call().baseline_service_time);
    const auto action = this->retry_decisions.decide(ended, slack, budget, limits.reroutes);
    const bool lacked_room = ended.result == outcome::not_run && is_lack_of_room(ended.why);
    if (lacked_room && limits.reconsider_refusals && !this->original_call().last_resort &&
        !this->server_history.tried.empty()) {
        this->server_history.refused.push_back(this->server_history.tried.back());
        this->server_history.tried.pop_back();
    }
    return action;
}

answer entry_call::final_answer() const {
    auto reported = this->last_answer;
    if (reported.result == outcome::not_run && !this->certainly_not_run(reported)) {
        reported.result = outcome::unknown;
    }
    return reported;
}

void entry_call::end_without_answer(outcome result, reason why) {
    this->last_answer = refuse({}, result, why);
}

// For a call that needs its key's home, not_run means that no call with the key ever ran. Only the key's home
// can confirm that.
bool entry_call::certainly_not_run(const answer& ended) const noexcept {
    return this->needs_key_home() ? ended.key_never_ran : !this->may_have_run;
}

} // namespace chervilturn
