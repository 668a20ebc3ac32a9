// Record of the attempts that reached one owner. It recognises duplicate attempt messages and answers them,
// and it fences attempts whose message has not arrived, so that they never run.
#pragma once

#include "chervilturn/call/call.hpp"

#include <map>
#include <optional>
#include <unordered_map>

namespace chervilturn {

/// @brief Options of an attempt record.
struct attempt_record_options {
    microseconds retention = std::chrono::seconds{30}; // after end and deadline, for late duplicates
    std::size_t max_answer_bytes = 256UL * 1024;       // larger bodies are not cached
    std::uint64_t max_total_bytes = 8ULL << 20;        // of all cached bodies together
};

/// @brief State of an attempt in the record.
enum class attempt_state {
    absent,      // not in the record: never seen, or expired
    in_progress, // queued or running
    ended,       // has an outcome; its answer may be cached
    fenced       // must not run when its message arrives
};

/// @brief Attempts that reached this owner or were fenced by it. An ended attempt is kept until the retention
/// has passed after its end or its deadline, whichever is later; a fenced one, until it has passed after the
/// fence.
class attempt_record {
  public:
    explicit attempt_record(const attempt_record_options& options);

    [[nodiscard]] attempt_state state_of(const attempt_id& attempt) const;

    /// @brief The cached answer of an attempt that ended; nothing when it is not cached.
    [[nodiscard]] std::optional<answer> cached_answer(const attempt_id& attempt) const;

    /// @brief Records an attempt in progress; no effect on an attempt that is in the record.
    void begin(const attempt_id& attempt, instant deadline);

    /// @brief Fences an absent attempt: it is refused if its message arrives later. No effect on other
    /// attempts.
    void fence(const attempt_id& attempt, instant now);

    /// @brief Ends an attempt in progress and caches its answer if the size limits allow; no effect
    /// otherwise.
    void finish(const answer& ended, instant now);

    /// @brief Removes ended and fenced attempts whose retention has passed; attempts in progress stay.
    void expire(instant now);

    [[nodiscard]] std::size_t size() const noexcept { return this->attempts.size(); }

  private:
    struct entry {
        attempt_state state = attempt_state::in_progress;
        instant deadline{};
        std::optional<answer> cached;
    };

    attempt_record_options options;
    std::unordered_map<attempt_id, entry, attempt_id_hash> attempts;
    std::multimap<instant, attempt_id> expiries; // ended and fenced attempts by the time of their removal
    std::uint64_t cached_bytes = 0;              // bodies of all cached answers
};

} // namespace chervilturn
