// The only way to the backend server on this host: counts slots exactly, queues, and refuses at once.
#pragma once

#include "chervilturn/admission/cold_rate_limit.hpp"
#include "chervilturn/admission/fair_queue.hpp"
#include "chervilturn/admission/warm_up.hpp"

#include <optional>
#include <unordered_map>
#include <variant>

namespace chervilturn {

/// @brief Construction of a door.
struct admission_options {
    warm_up_options warm_up;
    cold_rate_limit_options cold{};
    std::uint32_t max_queue = 64;
    microseconds cancel_grace = std::chrono::milliseconds{100}; // a cancelled call may still hold its slot
};

/// @brief The call runs now.
struct dispatched {};

/// @brief The call waits; a call of another workspace may have been pushed out to make room.
struct queued {
    std::optional<queue_entry> evicted;
};

/// @brief The call was not taken and did not run.
struct refused {
    reason why = reason::queue_full;
    microseconds retry_after{}; // when room is expected; zero when nothing is known
};

using admission_decision = std::variant<dispatched, queued, refused>;

/// @brief Calls that leave the queue: to the backend server, or back as not run.
struct dequeued_calls {
    std::vector<attempt_id> dispatch;
    std::vector<attempt_id> expired;
    std::vector<attempt_id> shed; // another backend server will be quicker
};

/// @brief Admission to one backend server. Does no I/O; the owner carries out what it decides.
class admission_controller {
  public:
    explicit admission_controller(const admission_options& options, instant now = {});

    void configure(const admission_options& options, instant now);

    /// @brief Decides on a new call.
    [[nodiscard]] admission_decision admit(const queue_entry& entry, instant now);

    /// @brief A dispatched call ended with a whole answer.
    void complete(const attempt_id& attempt, microseconds service_time);

    /// @brief A dispatched call certainly no longer runs, without an answer to learn from.
    void release(const attempt_id& attempt);

    /// @brief A dispatched call was cancelled and may hold its slot for the cancel grace.
    void abandon(const attempt_id& attempt, instant now);

    /// @brief Takes a waiting call out; false when it does not wait.
    bool withdraw(const attempt_id& attempt) { return this->waiting.remove(attempt); }

    /// @brief Fills free slots from the queue and takes out calls past their deadline.
    [[nodiscard]] dequeued_calls advance(instant now);

    /// @brief Takes every waiting call out.
    [[nodiscard]] std::vector<queue_entry> clear_queue() { return this->waiting.clear(); }

    /// @brief The backend server says how long work takes on its host at present; 100 is usual.
    void set_slowdown(std::uint32_t percent, instant now) noexcept {
        this->slowdown_percent = percent;
        this->slowdown_at = now;
    }

    [[nodiscard]] cold_rate_limit& rate_limit() noexcept { return this->cold_rate; }

    [[nodiscard]] load_report report() const noexcept;
    [[nodiscard]] warm_up_limit& warm_up() noexcept { return this->limit; }
    [[nodiscard]] const warm_up_limit& warm_up() const noexcept { return this->limit; }
    [[nodiscard]] std::size_t running() const noexcept { return this->in_use.size(); }

  private:
    [[nodiscard]] admission_decision evict_for(const queue_entry& entry);
    [[nodiscard]] bool would_be_late(const queue_entry& entry, instant now) const noexcept;
    [[nodiscard]] bool cannot_end_in_time(const queue_entry& entry, instant now) const noexcept;
    [[nodiscard]] std::uint32_t present_percent(instant now) const noexcept;
    [[nodiscard]] bool has_free_slot() const noexcept;
    [[nodiscard]] microseconds expected_wait(instant now) const noexcept;
    void free_abandoned(instant now);

    admission_options options;
    warm_up_limit limit;
    cold_rate_limit cold_rate;
    std::uint32_t slowdown_percent = 100; // as the backend server last told
    instant slowdown_at{};
    fair_queue waiting;
    // Dispatched calls. Each holds a slot until it is completed, released, or its grace has passed.
    std::unordered_map<attempt_id, std::optional<instant>, attempt_id_hash> in_use;
};

} // namespace chervilturn
