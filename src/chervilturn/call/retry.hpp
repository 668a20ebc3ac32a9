// Retry rules: a retry budget per workspace and a retry state per call.
#pragma once

#include "chervilturn/call/call.hpp"

namespace chervilturn {

/// @brief Parameters of a retry budget.
struct retry_options {
    double earned_per_call = 0.1; // retries added to the balance by each first attempt
    double capacity = 10.0;       // maximum balance, in retries
};

/// @brief Computes the retry budget of one node so that all nodes together stay within the fleet's limits.
///
/// Nested calls of a retry count as retries as well, in addition to the retries that other nodes decide on.
/// A node therefore gets only a part of the ratio and of its share of the slack. Its capacity is at least one
/// retry, because a smaller balance never allows any; with many nodes the sum can then exceed the slack.
[[nodiscard]] retry_options node_retry_options(double ratio, double slack, std::size_t nodes) noexcept;

/// @brief Limits the retries of one workspace to a share of its first attempts. Starts with a full balance.
class retry_budget {
  public:
    explicit retry_budget(const retry_options& options) noexcept;

    /// @brief Replaces the parameters; the balance is kept, capped at the new capacity.
    void configure(const retry_options& options) noexcept;

    void count_first_attempt() noexcept;

    /// @brief Withdraws one retry from the balance; false when less than one is left.
    [[nodiscard]] bool take() noexcept;

    /// @brief The balance, in retries.
    [[nodiscard]] double left() const noexcept { return this->balance; }

  private:
    double earned_per_call;
    double capacity;
    double balance; // between 0 and capacity
};

/// @brief Retries allowed for a call from outside the fleet.
inline constexpr std::uint32_t default_extra_attempts = 2;

/// @brief What the entry does after an attempt has ended.
enum class retry_action { answer_caller, retry };

/// @brief Why a call is sent again, or why it is answered.
enum class retry_cause {
    answered,       // the backend server answered
    final_refusal,  // no other owner would give a better result
    may_have_run,   // the call may have run and is not safe to retry
    no_time,        // the deadline has passed
    attempts_spent, // the call has no retries left
    budget_spent,   // the retry budget is empty
    rerouted,       // sent to another owner at no cost: no backend server was reached
    retried,        // sent again at the cost of the retry budget
    no_room         // owners have no room, and another one is not likely to have some
};

/// @brief Returns the name of a cause in logs.
[[nodiscard]] std::string_view to_string(retry_cause cause) noexcept;

/// @brief Retry state of one call: the attempts made and the retries and reroutes left.
class retry_state {
  public:
    /// @brief Creates the state of a call without attempts.
    ///
    /// A call is safe to retry when it is idempotent or has an idempotency key that its home node
    /// deduplicates. A reroute sends the call to another owner after a refusal that did not reach a backend
    /// server; it costs no retry. extra_attempts is capped at default_extra_attempts.
    retry_state(bool safe_to_retry, std::uint32_t extra_attempts, std::uint32_t reroutes = 0) noexcept;

    /// @brief Retries that the next attempt passes on to its nested calls.
    ///
    /// Halving limits the attempts of a whole call tree: with two retries at the root, at most four attempts
    /// reach the deepest level, whatever the depth of the tree.
    [[nodiscard]] std::uint32_t nested_extra_attempts() const noexcept {
        return this->extra_attempts_left / 2;
    }

    /// @brief Decides what follows an attempt's result. Takes from the budget for a retry, not for a reroute.
    /// remaining is the time until the caller's deadline. reroute_limit bounds, below the reroutes of the
    /// call, those after refusals for lack of room; beyond it such a refusal is final.
    [[nodiscard]] retry_action decide(const answer& ended, microseconds remaining, retry_budget& budget,
                                      std::uint32_t reroute_limit = unlimited_reroutes) noexcept;

    static constexpr std::uint32_t unlimited_reroutes = UINT32_MAX;

    /// @brief The cause of the last decision.
    [[nodiscard]] retry_cause cause() const noexcept { return this->last_cause; }

    [[nodiscard]] std::uint32_t attempts() const noexcept { return this->attempt_count; }
    void count_attempt() noexcept { ++this->attempt_count; }

  private:
    [[nodiscard]] retry_cause evaluate(const answer& ended, microseconds remaining, retry_budget& budget,
                                       std::uint32_t reroute_limit) const noexcept;

    bool safe_to_retry;
    std::uint32_t extra_attempts_left;
    std::uint32_t max_reroutes;
    std::uint32_t reroutes = 0; // made so far
    std::uint32_t attempt_count = 0;
    retry_cause last_cause = retry_cause::answered;
};

/// @brief Whether an attempt with this result may have reached a backend server.
[[nodiscard]] bool reached_backend(const answer& ended) noexcept;

/// @brief Whether the backend server answered with a server error (status 500 or above).
[[nodiscard]] bool is_backend_failure(const answer& ended) noexcept;

/// @brief Whether an owner refused a call because it was full or slow, which may change within moments.
[[nodiscard]] bool is_lack_of_room(reason why) noexcept;

/// @brief Whether sending the call to another owner is pointless: every owner would refuse it for the same
/// reason, or it was cancelled.
[[nodiscard]] bool is_final(reason why) noexcept;

} // namespace chervilturn
