// Record of attempts at one owner: recognises repeated messages and fences attempts that never arrived.
#pragma once

#include "chervilturn/call/call.hpp"

#include <map>
#include <optional>
#include <unordered_map>

namespace chervilturn {

/// @brief Construction of an attempt record.
struct attempt_record_options {
    microseconds retention = std::chrono::seconds{30}; // after the deadline, for late repeats of the message
    std::size_t max_answer_bytes = 256UL * 1024;
    std::uint64_t max_total_bytes = 8ULL << 20; // of all kept answers together
};

/// @brief What the record holds of an attempt.
enum class attempt_state { absent, in_progress, ended, fenced };

/// @brief All attempts that reached this owner lately.
class attempt_record {
  public:
    explicit attempt_record(const attempt_record_options& options);

    [[nodiscard]] attempt_state state_of(const attempt_id& attempt) const;

    /// @brief The kept answer of an attempt that ended; nothing when it was not kept.
    [[nodiscard]] std::optional<answer> cached_answer(const attempt_id& attempt) const;

    /// @brief Notes an attempt that was absent.
    void begin(const attempt_id& attempt, instant deadline);

    /// @brief Makes an absent attempt impossible: it is refused if its message arrives later.
    void fence(const attempt_id& attempt, instant now);

    void finish(const answer& ended, instant now);

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
    std::multimap<instant, attempt_id> ends; // ended and fenced attempts by the time they may be forgotten
    std::uint64_t kept_bytes = 0;            // of all kept answers
};

} // namespace chervilturn
