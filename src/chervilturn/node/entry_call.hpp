// One call's life at the entry: its attempts, what they brought, and what its caller is told.
#pragma once

#include "chervilturn/call/retry.hpp"
#include "chervilturn/node/protocol.hpp"
#include "chervilturn/selection/policy.hpp"

namespace chervilturn {

/// @brief A call between its acceptance and its answer. It decides; the entry task carries messages.
class entry_call {
  public:
    /// @brief Begins with no attempt. Moves are owners that it may go on to after refusals at their doors.
    entry_call(accepted_request&& accepted, std::uint32_t max_reroutes, instant now);

    [[nodiscard]] const accepted_request& request() const noexcept { return this->accepted; }
    [[nodiscard]] const call& original_call() const noexcept { return this->accepted.original_call; }
    [[nodiscard]] const retry_state& plan() const noexcept { return this->steps; }
    [[nodiscard]] const call_history& history() const noexcept { return this->servers; }
    [[nodiscard]] instant started() const noexcept { return this->began; }
    [[nodiscard]] instant deadline() const noexcept { return this->ends; }
    [[nodiscard]] microseconds retry_after() const noexcept { return this->shortest_wait; }

    /// @brief Whether only the home of the call's key may take it.
    [[nodiscard]] bool goes_to_key_home() const noexcept;

    /// @brief What a policy is told of the call.
    [[nodiscard]] call_estimate estimate(microseconds usual, instant now) const noexcept;

    /// @brief A backend server was picked; the last resort when no other is known.
    void pick(const std::string& server, bool last_resort, microseconds usual);

    /// @brief Begins an attempt and returns the call as the owner gets it.
    [[nodiscard]] call begin_attempt(const attempt_id& id, const address& owner, instant now);

    /// @brief The attempt in progress; nothing when none is.
    struct attempt {
        attempt_id id;
        address owner;
        instant sent_at;
    };
    [[nodiscard]] const std::optional<attempt>& in_progress() const noexcept { return this->current; }

    /// @brief Takes the end of the attempt in progress and decides whether another one follows. Servers that
    /// refused for want of room may be asked again when the policy reconsiders refusals.
    [[nodiscard]] retry_action end_attempt(const answer& ended, bool reconsider, retry_budget& budget,
                                           instant now);

    /// @brief Gives the attempt in progress up; nothing more is heard of it.
    void abandon_attempt() noexcept { this->current.reset(); }

    /// @brief What the caller is told: the last attempt's answer, unless that would promise too much.
    [[nodiscard]] answer final_answer() const;

    /// @brief Ends the call for another reason than an attempt's answer.
    void end_with(outcome result, reason why);

  private:
    [[nodiscard]] bool certainly_not_run(const answer& ended) const noexcept;

    accepted_request accepted;
    retry_state steps;
    call_history servers; // of the service that the call goes to
    instant began;
    instant ends;
    instant late_at; // from then on an answer has lost its full value
    std::optional<attempt> current;
    bool may_have_run = false;    // an earlier attempt ended unknown
    microseconds shortest_wait{}; // that a refusing owner told; zero when none did
    answer last;                  // of the attempt that ended last
};

} // namespace chervilturn
