// Admission control in front of the backend server on this host. Every call to the backend server passes
// here: it takes a slot, waits in a bounded queue, or is refused immediately.
#pragma once

#include "chervilturn/admission/cold_rate_limit.hpp"
#include "chervilturn/admission/fair_queue.hpp"
#include "chervilturn/admission/overtaking.hpp"
#include "chervilturn/admission/stated_rate_limit.hpp"
#include "chervilturn/admission/warm_up.hpp"

#include <optional>
#include <unordered_map>
#include <variant>

namespace chervilturn {

/// @brief Options of an admission controller.
struct admission_options {
    warm_up_options warm_up;
    cold_rate_limit_options cold{};
    std::uint32_t max_queue = 64;                               // calls that may wait
    microseconds cancel_grace = std::chrono::milliseconds{100}; // a cancelled call may still hold its slot
};

/// @brief The call took a slot and runs now.
struct dispatched {};

/// @brief The call waits for a slot.
struct queued {
    std::optional<queue_entry> evicted; // call of another workspace that was removed to make room
};

/// @brief The call was not accepted and did not run.
struct refused {
    reason why = reason::queue_full;
    microseconds retry_after{}; // estimated time until the queue has room; zero when there is no estimate
};

using admission_decision = std::variant<dispatched, queued, refused>;

/// @brief Calls that left the queue, by what the owner must do with them.
struct dequeued_calls {
    std::vector<attempt_id> dispatch;  // send to the backend server; each holds a slot
    std::vector<attempt_id> expired;   // refuse: cannot finish before the deadline
    std::vector<attempt_id> shed;      // refuse: another backend server will be quicker
    std::vector<attempt_id> overtaken; // refuse: too late for their soft deadlines, and others go first
    std::vector<attempt_id> drained;   // refuse: the backend server takes no new calls
};

/// @brief Admission control for one backend server. Does no I/O: the owner carries out the decisions.
///
/// The number of calls that hold a slot never exceeds the warm-up limit at the time of dispatch. The limit
/// may fall below the number of running calls; no call is dispatched until enough of them have ended.
class admission_controller {
  public:
    explicit admission_controller(const admission_options& options, instant now = {});

    /// @brief Applies changed options; running and queued calls are kept.
    void configure(const admission_options& options, instant now);

    /// @brief Decides whether a new call runs now, waits or is refused.
    [[nodiscard]] admission_decision admit(const queue_entry& entry, instant now);

    /// @brief Frees the slot of a call that ended with a complete answer and records its service time.
    void complete(const attempt_id& attempt, microseconds service_time);

    /// @brief Frees the slot of a call that has certainly stopped running but gave no usable service time.
    void release(const attempt_id& attempt);

    /// @brief Frees the slot of a cancelled call after the cancel grace, because it may run until then.
    void abandon(const attempt_id& attempt, instant now);

    /// @brief Removes a call from the queue; false when it is not in the queue.
    bool withdraw(const attempt_id& attempt) { return this->queue.remove(attempt); }

    /// @brief Removes expired and shed calls from the queue, then fills free slots from it.
    [[nodiscard]] dequeued_calls advance(instant now);

    /// @brief Removes and returns all queued calls.
    [[nodiscard]] std::vector<queue_entry> clear_queue() { return this->queue.clear(); }

    /// @brief Stores the slowdown that the backend server reports for its host, in percent of the normal
    /// duration of work; 100 is normal speed.
    void set_slowdown(std::uint32_t percent, instant now) noexcept {
        this->slowdown_percent = percent;
        this->slowdown_at = now;
    }

    /// @brief The rate limit that applies while the backend server is cold.
    [[nodiscard]] cold_rate_limit& cold_limit() noexcept { return this->cold_rate; }

    /// @brief The rate limit that the backend server states.
    [[nodiscard]] stated_rate_limit& stated_limit() noexcept { return this->stated_rate; }
    [[nodiscard]] const stated_rate_limit& stated_limit() const noexcept { return this->stated_rate; }

    /// @brief Current load, as the owner reports it with each answer.
    [[nodiscard]] load_report report() const noexcept;

    /// @brief Time until the rate limits have room for a call that arrives now, behind the queued ones; zero
    /// without such a limit.
    [[nodiscard]] microseconds rate_wait(instant now) const noexcept;

    /// @brief Number of calls that wait for dispatch.
    [[nodiscard]] std::size_t waiting() const noexcept { return this->queue.size(); }

    /// @brief The concurrency limit and the state of the backend server.
    [[nodiscard]] warm_up_limit& warm_up() noexcept { return this->limit; }
    [[nodiscard]] const warm_up_limit& warm_up() const noexcept { return this->limit; }

    /// @brief Number of calls that hold a slot.
    [[nodiscard]] std::size_t running() const noexcept { return this->in_use.size(); }

  private:
    [[nodiscard]] admission_decision evict_for(const queue_entry& entry);
    [[nodiscard]] bool would_be_late(const queue_entry& entry, instant now) const noexcept;
    [[nodiscard]] bool cannot_finish_in_time(const queue_entry& entry, instant now) const noexcept;
    [[nodiscard]] std::uint32_t current_slowdown(instant now) const noexcept;
    [[nodiscard]] bool has_free_slot() const noexcept;
    // Takes a slot and a place in both rates for a call; false, and nothing taken, when one has no room.
    [[nodiscard]] bool start(const queue_entry& entry, instant now);
    [[nodiscard]] bool can_start(instant now) noexcept;
    [[nodiscard]] microseconds slot_wait(const queue_entry& entry) const noexcept;
    [[nodiscard]] microseconds rate_wait_after(std::size_t calls, instant now) const noexcept;
    [[nodiscard]] microseconds expected_wait(const queue_entry& entry, instant now) const noexcept;
    [[nodiscard]] refused refuse_to_wait(reason why, const queue_entry& entry, instant now) const noexcept;
    void free_abandoned_slots(instant now);

    admission_options options;
    warm_up_limit limit;
    cold_rate_limit cold_rate;
    stated_rate_limit stated_rate;
    std::uint32_t slowdown_percent = 100; // last report of the backend server
    instant slowdown_at{};                // time of that report
    fair_queue queue;
    overtaking_share overtaking;
    // Calls that hold a slot. The value is empty until the call is cancelled, then the end of its grace.
    std::unordered_map<attempt_id, std::optional<instant>, attempt_id_hash> in_use;
};

} // namespace chervilturn
