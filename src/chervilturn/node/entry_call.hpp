// State of one call at the entry: its attempts, their results and the final answer to the caller.
#pragma once

#include "chervilturn/call/retry.hpp"
#include "chervilturn/node/protocol.hpp"
#include "chervilturn/selection/policy.hpp"

namespace chervilturn {

/// @brief What limits the attempts that follow a refusal.
struct attempt_limits {
    // Whether a server without room stays a candidate, unless it was the last resort.
    bool reconsider_refusals = false;
    // Of the call, after refusals for lack of room.
    std::uint32_t reroutes = retry_state::unlimited_reroutes;
};

/// @brief A call from its acceptance until its final answer.
///
/// Decides about attempts and the final answer; does no I/O. The entry task sends and receives the messages.
class entry_call {
  public:
    /// @brief Accepts a call; no attempt is started yet. max_reroutes limits how often the call may go to
    /// another owner, at no cost to the retry budget, after an owner refused it before it ran.
    entry_call(accepted_request&& new_request, std::uint32_t max_reroutes, instant now);

    [[nodiscard]] const accepted_request& request() const noexcept { return this->accepted; }
    [[nodiscard]] const call& original_call() const noexcept { return this->accepted.original_call; }
    [[nodiscard]] const retry_state& retry_status() const noexcept { return this->retry_decisions; }
    [[nodiscard]] const call_history& history() const noexcept { return this->server_history; }

    /// @brief When the call was accepted.
    [[nodiscard]] instant start_time() const noexcept { return this->start; }

    /// @brief When the caller's time-out ends.
    [[nodiscard]] instant deadline() const noexcept { return this->call_deadline; }

    /// @brief The shortest retry-after time that a refusing owner reported; zero when none did.
    [[nodiscard]] microseconds retry_after() const noexcept { return this->shortest_retry_after; }

    /// @brief Whether only the home of the call's idempotency key may run it: it has a key and is not
    /// idempotent.
    [[nodiscard]] bool needs_key_home() const noexcept;

    /// @brief The estimate of the call that a selection policy uses; baseline is the service time of its
    /// route.
    [[nodiscard]] call_estimate estimate(microseconds baseline, instant now) const noexcept;

    /// @brief Records the backend server selected for the next attempt. It is the last resort when no other
    /// candidate is left.
    void record_selection(const std::string& server, bool last_resort, microseconds baseline);

    /// @brief Starts an attempt and returns the call as it is sent to the owner.
    [[nodiscard]] call begin_attempt(const attempt_id& id, const backend_server& server, instant now);

    /// @brief One attempt that has no answer yet.
    struct attempt {
        attempt_id id;
        address owner;           // peer address
        std::string server;      // name of the backend server that was selected
        std::string data_centre; // of that server
        instant sent_at;
    };

    /// @brief The attempt in progress; nothing when there is none.
    [[nodiscard]] const std::optional<attempt>& attempt_in_progress() const noexcept {
        return this->current_attempt;
    }

    /// @brief Ends the attempt in progress and decides whether to retry.
    [[nodiscard]] retry_action end_attempt(answer ended, const attempt_limits& limits, retry_budget& budget,
                                           instant now);

    /// @brief The answer of the attempt that ended last.
    [[nodiscard]] const answer& latest_answer() const noexcept { return this->last_answer; }

    /// @brief Drops the attempt in progress; a later answer to it is ignored.
    void abandon_attempt() noexcept { this->current_attempt.reset(); }

    /// @brief The answer for the caller: the last attempt's answer. Its outcome becomes unknown when it is
    /// not_run but the call may have run in an earlier attempt or, with a key, in an earlier call.
    [[nodiscard]] answer final_answer() const;

    /// @brief Ends the call with an outcome that no attempt reported, such as a time-out.
    void end_without_answer(outcome result, reason why);

  private:
    [[nodiscard]] bool certainly_not_run(const answer& ended) const noexcept;

    accepted_request accepted;
    retry_state retry_decisions;
    call_history server_history; // backend servers that this call was sent to
    instant start;
    instant call_deadline;
    // An answer after it has less value; equals the deadline when the route states no target latency.
    instant soft_deadline;
    std::optional<attempt> current_attempt;
    bool may_have_run = false;           // an attempt ended with outcome unknown
    microseconds shortest_retry_after{}; // of all refusals so far; zero when none reported one
    answer last_answer;                  // of the attempt that ended last; not_run before the first one ends
};

} // namespace chervilturn
