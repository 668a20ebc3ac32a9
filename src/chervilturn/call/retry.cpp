// Retry budgets and retry decisions.
#include "chervilturn/call/retry.hpp"

#include <algorithm>
#include <array>

namespace chervilturn {

retry_budget::retry_budget(const retry_options& options) noexcept
    : earned_per_call{options.earned_per_call}, capacity{options.capacity}, balance{options.capacity} {}

void retry_budget::configure(const retry_options& options) noexcept {
    this->earned_per_call = options.earned_per_call;
    this->capacity = options.capacity;
    this->balance = std::min(this->balance, this->capacity);
}

retry_options node_retry_options(double ratio, double slack, std::size_t nodes) noexcept {
    constexpr double node_part = 0.45; // the rest covers retries of nested calls
    const double slack_per_node = slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
    return {.earned_per_call = ratio * node_part, .capacity = std::max(1.0, slack_per_node * node_part)};
}

void retry_budget::count_first_attempt() noexcept {
    this->balance = std::min(this->capacity, this->balance + this->earned_per_call);
}

bool retry_budget::take() noexcept {
    if (this->balance < 1.0) {
        return false;
    }
    this->balance -= 1.0;
    return true;
}

retry_state::retry_state(bool retry_is_safe, std::uint32_t extra_attempts,
                         std::uint32_t reroutes_of_call) noexcept
    : safe_to_retry{retry_is_safe}, extra_attempts_left{std::min(extra_attempts, default_extra_attempts)},
      max_reroutes{reroutes_of_call} {}

retry_action retry_state::decide(const answer& ended, microseconds remaining, retry_budget& budget,
                                 std::uint32_t reroute_limit) noexcept {
    this->last_cause = this->evaluate(ended, remaining, budget, reroute_limit);
    switch (this->last_cause) {
    case retry_cause::rerouted:
        ++this->reroutes;
        return retry_action::retry;
    case retry_cause::retried:
        --this->extra_attempts_left;
        return retry_action::retry;
    default:
        return retry_action::answer_caller;
    }
}

retry_cause retry_state::evaluate(const answer& ended, microseconds remaining, retry_budget& budget,
                                  std::uint32_t reroute_limit) const noexcept {
    if (ended.result == outcome::completed && !(this->safe_to_retry && is_backend_failure(ended))) {
        return retry_cause::answered;
    }
    if (is_final(ended.why)) {
        return retry_cause::final_refusal;
    }
    if (ended.result == outcome::unknown && !this->safe_to_retry) {
        return retry_cause::may_have_run;
    }
    if (remaining <= microseconds::zero()) {
        return retry_cause::no_time;
    }
    if (!reached_backend(ended) && this->max_reroutes > 0) {
        const bool lacks_room = is_lack_of_room(ended.why);
        const auto limit = lacks_room ? std::min(reroute_limit, this->max_reroutes) : this->max_reroutes;
        if (this->reroutes < limit) {
            return retry_cause::rerouted;
        }
        if (lacks_room) {
            return retry_cause::no_room;
        }
    }
    if (this->extra_attempts_left == 0) {
        return retry_cause::attempts_spent;
    }
    return budget.take() ? retry_cause::retried : retry_cause::budget_spent;
}

std::string_view to_string(retry_cause cause) noexcept {
    constexpr std::array<std::string_view, 9> names{"answered", "final_refusal",  "may_have_run",
                                                    "no_time",  "attempts_spent", "budget_spent",
                                                    "moved",    "retried",        "no_room"};
    return names.at(static_cast<std::size_t>(cause));
}

bool reached_backend(const answer& ended) noexcept {
    return ended.result != outcome::not_run || ended.why == reason::backend_shed ||
           ended.why == reason::backend_renamed;
}

bool is_backend_failure(const answer& ended) noexcept {
    constexpr std::uint16_t first_server_error = 500;
    return ended.result == outcome::completed && ended.status >= first_server_error;
}

bool is_lack_of_room(reason why) noexcept {
    return why == reason::would_be_late || why == reason::queue_full || why == reason::deadline_too_near ||
           why == reason::backend_slow || why == reason::server_rate_limited || why == reason::memory_full;
}

bool is_final(reason why) noexcept {
    switch (why) {
    case reason::outside_home_regions:
    case reason::key_record_young:
    case reason::key_record_full:
    case reason::key_expired:
    case reason::cancelled:
    case reason::bad_request:
    case reason::request_held:
        return true;
    default:
        return false;
    }
}

} // namespace chervilturn
