// Rules for further attempts: a budget per workspace and a plan per call.
#pragma once

#include "chervilturn/call/call.hpp"

namespace chervilturn {

/// @brief Construction of a workspace's retry budget.
struct retry_options {
    double earned_per_call = 0.1; // extra attempts earned by each first attempt
    double capacity = 10.0;       // extra attempts that may be saved up
};

/// @brief What one of several nodes may spend so that all together stay within bounds of the fleet.
///
/// A repeat's own calls count as repeats too, and come on top of those that other nodes decide on. So a node
/// spends at most part of the ratio and of its share of the slack.
[[nodiscard]] retry_options share_of_fleet(double ratio, double slack, std::size_t nodes) noexcept;

/// @brief Bounds extra attempts of one workspace as a share of its first attempts.
class retry_budget {
  public:
    explicit retry_budget(const retry_options& options) noexcept;

    /// @brief Changes the bounds; attempts saved up stay, within the capacity.
    void configure(const retry_options& options) noexcept;

    void count_first_attempt() noexcept;

    /// @brief Pays for one extra attempt if the budget allows it.
    [[nodiscard]] bool take() noexcept;

    /// @brief Extra attempts that may be taken now.
    [[nodiscard]] double left() const noexcept { return this->saved; }

  private:
    double earned_per_call;
    double capacity;
    double saved; // between 0 and capacity
};

/// @brief Extra attempts of a call that comes from outside.
inline constexpr std::uint32_t default_extra_attempts = 2;

/// @brief What the entry does after an attempt ended.
enum class retry_action { answer_caller, retry };

/// @brief Why a call goes on, or why it does not.
enum class retry_cause {
    answered,       // a backend server's answer
    final_refusal,  // every owner would say the same
    may_have_run,   // and must not run twice
    no_time,        // the deadline has passed
    attempts_spent, // the call may make no more
    budget_spent,   // the retry budget is empty
    rerouted,       // nothing reached a backend server, so that another try is free
    retried         // paid for by the retry budget
};

/// @brief The name of a cause in logs.
[[nodiscard]] std::string_view to_string(retry_cause cause) noexcept;

/// @brief Attempts of one call: which owners were tried and whether another may be.
class retry_state {
  public:
    /// @brief Repeatable calls are idempotent, or carry a key that makes them so at its home.
    /// Moves are owners' refusals after which the call goes to another owner at no cost: nothing reached
    /// the refusing owner's backend server.
    retry_state(bool repeatable, std::uint32_t extra_attempts, std::uint32_t reroutes = 0) noexcept;

    /// @brief Extra attempts that the attempt about to be sent may hand to nested calls.
    ///
    /// Halving bounds the attempts of a whole call tree: with two extra attempts at the root no more
    /// than four attempts reach the deepest level, however deep the tree is.
    [[nodiscard]] std::uint32_t extra_for_nested() const noexcept { return this->extra_left / 2; }

    /// @brief Decides after an attempt; spends from the budget only when another attempt follows.
    [[nodiscard]] retry_action decide(const answer& ended, microseconds remaining,
                                      retry_budget& budget) noexcept;

    /// @brief Why the latest decision was taken.
    [[nodiscard]] retry_cause cause() const noexcept { return this->latest; }

    [[nodiscard]] std::uint32_t attempts() const noexcept { return this->started; }
    void count_attempt() noexcept { ++this->started; }

  private:
    [[nodiscard]] retry_cause weigh(const answer& ended, microseconds remaining,
                                    retry_budget& budget) const noexcept;

    bool repeatable;
    std::uint32_t extra_left;
    std::uint32_t reroutes_left;
    std::uint32_t started = 0;
    retry_cause latest = retry_cause::answered;
};

/// @brief Whether the attempt may have reached a backend server.
[[nodiscard]] bool reached_backend(const answer& ended) noexcept;

/// @brief Whether the backend server itself answered that it failed.
[[nodiscard]] bool is_backend_failure(const answer& ended) noexcept;

/// @brief Whether a refusal would be the same at every other owner.
[[nodiscard]] bool is_final(reason why) noexcept;

} // namespace chervilturn
