// Record of idempotency keys at their home owner, and the rules under which it may run a key.
#pragma once

#include "chervilturn/admission/home_history.hpp"
#include "chervilturn/call/call.hpp"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace chervilturn {

/// @brief Construction of a key record.
struct key_record_options {
    microseconds retention = std::chrono::minutes{10};         // callers stop repeating a key after this
    microseconds undated_retention = std::chrono::minutes{1};  // the same for keys without a creation time
    microseconds max_clock_skew = std::chrono::seconds{2};     // between any two hosts' wall clocks
    microseconds convergence_bound = std::chrono::seconds{19}; // until a changed home is in force everywhere
    std::size_t max_keys = 20'000;
    std::size_t max_answer_bytes = 16UL * 1024;  // larger answers are not kept for repeats
    std::uint64_t max_total_bytes = 16ULL << 20; // of all kept answers together
};

/// @brief The key never ran and may run here now.
struct key_unseen {};

/// @brief A call with the same key is queued or running; its answer serves the repeat too.
struct key_in_progress {};

/// @brief The key ran; a repeat gets the kept answer.
struct key_answered {
    answer cached;
};

/// @brief The key may not run here.
struct key_refused {
    outcome result = outcome::unknown;
    reason why = reason::none;
};

/// @brief Earlier homes must be asked before the key may run.
struct key_unresolved {
    std::vector<address> earlier;
};

using key_decision = std::variant<key_unseen, key_in_progress, key_answered, key_refused, key_unresolved>;

/// @brief What an earlier home says of a key. Having said fenced, it never runs the key.
enum class key_finding : std::uint16_t { fenced, answered, uncertain, unreachable };

/// @brief An earlier home's report.
struct key_report {
    key_finding finding = key_finding::unreachable;
    answer cached; // when answered
};

/// @brief What one owner knows about keys. Empty after a start, and says so instead of guessing.
class key_record {
  public:
    key_record(const key_record_options& options, const clock_reading& started);

    /// @brief Decides on a key that this owner is home of during a period.
    [[nodiscard]] key_decision decide(const idempotency_key& key, const home_period& period,
                                      const clock_reading& now);

    /// @brief Decides on a key after all its earlier homes were asked.
    ///
    /// One that cannot be reached may hold older settings behind a partition, so the key stays unknown.
    [[nodiscard]] key_decision decide_after_asking(const idempotency_key& key,
                                                   const std::vector<key_report>& reports);

    /// @brief Answers a later home, and never runs the key again unless that home gives it back.
    [[nodiscard]] key_report report_and_fence(const idempotency_key& key, const address& later_home,
                                              const clock_reading& now);

    /// @brief A fresh key was admitted.
    void begin(const idempotency_key& key, const clock_reading& now);

    /// @brief The attempt that carried the key did not run: the key is fresh again.
    void forget(const idempotency_key& key);

    /// @brief The attempt ended; unknown outcomes are kept as such.
    void finish(const idempotency_key& key, const answer& ended);

    /// @brief Drops keys older than the retention.
    void expire(const clock_reading& now);

    /// @brief Beliefs of before are worthless: only keys created from now on may run without asking.
    void restart(const clock_reading& now) noexcept { this->started = now; }

    [[nodiscard]] std::size_t size() const noexcept { return this->keys.size(); }

  private:
    enum class key_state { in_progress, answered, answer_dropped, uncertain, fenced };

    struct entry {
        key_state state = key_state::in_progress;
        answer cached;
        address later_home; // when fenced
    };

    struct recorded_key {
        instant since;
        std::string text;
    };

    [[nodiscard]] static key_decision recall(const entry& known);
    [[nodiscard]] std::optional<key_refused> objection_to_age(const idempotency_key& key,
                                                              const clock_reading& now) const;
    [[nodiscard]] bool is_newer(const idempotency_key& key, const clock_reading& since, microseconds margin,
                                const clock_reading& now) const;
    [[nodiscard]] key_decision unseen_if_room() const;

    key_record_options options;
    clock_reading started;
    std::unordered_map<std::string, entry> keys;
    std::deque<recorded_key> ages; // oldest first; each recorded key at least once
    std::uint64_t kept_bytes = 0;  // of all kept answers
};

} // namespace chervilturn
