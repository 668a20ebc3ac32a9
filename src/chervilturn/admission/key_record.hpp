// Record of idempotency keys at their home, and the rules under which the home may run a key. A key runs at
// most once: when the record cannot rule out an earlier run, the outcome of the call is unknown.
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

/// @brief Options of a key record.
struct key_record_options {
    microseconds retention = std::chrono::minutes{10};         // callers do not use a key again after this
    microseconds undated_retention = std::chrono::minutes{1};  // the same for keys without a creation time
    microseconds max_clock_skew = std::chrono::seconds{2};     // between any two hosts' wall clocks
    microseconds convergence_bound = std::chrono::seconds{19}; // until a changed home is in force everywhere
    std::size_t max_keys = 20'000;
    std::size_t max_answer_bytes = 16UL * 1024;  // larger bodies are not cached
    std::uint64_t max_total_bytes = 16ULL << 20; // of all cached bodies together
};

/// @brief No call with the key ever ran; this owner may run it now.
struct key_unseen {};

/// @brief A call with the same key is queued or running; its answer is the answer of the duplicate too.
struct key_in_progress {};

/// @brief A call with the key ran; duplicates receive its cached answer.
struct key_answered {
    answer cached;
};

/// @brief The key must not run at this owner; the result is the outcome that the call's answer states.
struct key_refused {
    outcome result = outcome::unknown;
    reason why = reason::none;
};

/// @brief Other owners must be asked before the key may run.
struct key_unresolved {
    std::vector<address> owners_to_ask; // owners that may have run the key
};

using key_decision = std::variant<key_unseen, key_in_progress, key_answered, key_refused, key_unresolved>;

/// @brief What an earlier home reports about a key.
enum class key_finding : std::uint16_t {
    fenced,     // did not run the key, and will not run it without asking the later home
    answered,   // ran the key and has its answer
    uncertain,  // may have run the key, or may be running it
    unreachable // did not reply
};

/// @brief Report of an earlier home about a key.
struct key_report {
    key_finding finding = key_finding::unreachable;
    answer cached; // if the finding is answered
};

/// @brief Record of the keys that one owner ran or fenced. It is empty after a start; a key that may have
/// been used before the start is refused with an unknown outcome.
class key_record {
  public:
    key_record(const key_record_options& options, const clock_reading& started);

    /// @brief Decides on a key whose home is this owner for the given period.
    [[nodiscard]] key_decision decide(const idempotency_key& key, const home_period& period,
                                      const clock_reading& now);

    /// @brief Decides on a key after the reports of all owners that key_unresolved listed.
    ///
    /// The key runs only if every report is fenced. An unreachable owner may be partitioned with older
    /// settings and run the key, so the outcome stays unknown.
    [[nodiscard]] key_decision decide_after_inquiry(const idempotency_key& key,
                                                    const std::vector<key_report>& reports);

    /// @brief Reports to a later home what is recorded of a key. An unseen key is fenced: this owner does not
    /// run it without asking the later home. Uncertain if the key may be older than the record.
    [[nodiscard]] key_report report_and_fence(const idempotency_key& key, const address& later_home,
                                              const clock_reading& now);

    /// @brief Records a key whose call was admitted; the decision was key_unseen.
    void begin(const idempotency_key& key, const clock_reading& now);

    /// @brief Removes a key in progress whose call did not run; the key counts as unseen again.
    void forget(const idempotency_key& key);

    /// @brief Records the end of a call. Its answer is cached if the outcome is completed and the size limits
    /// allow; any other outcome makes the key uncertain.
    void finish(const idempotency_key& key, const answer& ended);

    /// @brief Removes keys that were recorded longer ago than the retention; keys in progress stay.
    void expire(const clock_reading& now);

    /// @brief Makes the record start now: a key that may have been used before is refused unless it is
    /// recorded. Called after a pause, because homes may have changed during it.
    void restart(const clock_reading& now) noexcept { this->started = now; }

    [[nodiscard]] std::size_t size() const noexcept { return this->keys.size(); }

  private:
    enum class key_state {
        in_progress,    // queued or running
        answered,       // completed, with a cached answer
        answer_dropped, // completed, but the size limits left no room for the answer
        uncertain,      // may have run
        fenced          // not run here; the later home must be asked first
    };

    struct entry {
        key_state state = key_state::in_progress;
        answer cached;
        address later_home; // if fenced
    };

    struct recorded_key {
        instant recorded_at;
        std::string text;
    };

    // The decision on a key that is recorded and not fenced.
    [[nodiscard]] static key_decision decision_for(const entry& recorded);
    // A refusal if the key is expired or dated in the future; nothing for undated keys.
    [[nodiscard]] std::optional<key_refused> refuse_by_age(const idempotency_key& key,
                                                           const clock_reading& now) const;
    [[nodiscard]] bool is_newer_than(const idempotency_key& key, const clock_reading& moment,
                                     microseconds margin, const clock_reading& now) const;
    // key_unseen, or a refusal if the record is full.
    [[nodiscard]] key_decision unseen_if_room() const;

    key_record_options options;
    clock_reading started; // the record is complete from this moment on
    std::unordered_map<std::string, entry> keys;
    std::deque<recorded_key> expiry_queue; // oldest first; holds each recorded key at least once
    std::uint64_t cached_bytes = 0;        // bodies of all cached answers
};

} // namespace chervilturn
