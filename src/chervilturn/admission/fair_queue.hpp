// Queue of the calls that wait for one backend server. Deficit round robin divides the slots between
// workspaces by weight; calls that serve a running call go first, then urgent ones, then normal ones.
#pragma once

#include "chervilturn/call/call.hpp"
#include "chervilturn/core/time.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilturn {

/// @brief A call that waits for a slot.
struct queue_entry {
    attempt_id attempt;
    std::string workspace;
    std::uint32_t weight = 1;
    bool nested = false; // a running call, which holds a slot elsewhere, waits for its answer
    bool urgent = false;
    bool last_resort = false; // no other backend server can take the call
    instant deadline{};
    instant latest_start = instant::max(); // a later start misses the soft deadline; max when there is none
    microseconds baseline_service_time{};  // on an unloaded host; zero when not known
};

/// @brief The queued calls of one workspace in relation to its weight.
struct queue_share {
    std::string workspace;
    double calls_per_weight = 0.0;
};

/// @brief Calls waiting at one owner, in four classes: nested, urgent, normal and late. Within a class the
/// workspaces take turns; within a workspace and class the calls leave in order of arrival.
class fair_queue {
  public:
    /// @brief Adds a call to the nested, the urgent or the normal class, by its flags.
    void push(const queue_entry& entry);

    /// @brief Removes and returns the next call; nothing when the queue is empty.
    ///
    /// Nested calls go first: their number is bounded by the running calls that wait for them, and refusing
    /// one wastes the work of its parent. Then urgent calls, but at most four in a row while normal calls
    /// wait. Calls whose latest start has passed leave only when no other call waits.
    [[nodiscard]] std::optional<queue_entry> pop(instant now);

    /// @brief Removes a call; false when it is not in the queue.
    bool remove(const attempt_id& attempt);

    /// @brief Removes and returns every call for which the predicate is true.
    [[nodiscard]] std::vector<queue_entry> expire(const std::function<bool(const queue_entry&)>& is_expired);

    /// @brief Removes and returns the calls whose latest start has passed, if calls that can still be in time
    /// wait as well: these all go before, so that a late call would wait for its deadline in vain.
    [[nodiscard]] std::vector<queue_entry> take_overtaken(instant now);

    /// @brief Removes and returns the calls that another backend server can take: all but last-resort calls.
    [[nodiscard]] std::vector<queue_entry> take_reroutable();

    /// @brief Removes and returns all calls.
    [[nodiscard]] std::vector<queue_entry> clear();

    [[nodiscard]] std::size_t size() const noexcept { return this->count; }

    /// @brief Number of queued calls that leave before a call which is added now.
    [[nodiscard]] std::size_t size_before(const queue_entry& entry) const noexcept;

    /// @brief Removes and returns the newest call that is not nested: from the late calls if there are any,
    /// else from the normal ones, else from the urgent ones. Nothing when all are nested.
    [[nodiscard]] std::optional<queue_entry> remove_newest_outer();

    /// @brief Number of queued calls of a workspace divided by its weight.
    [[nodiscard]] double share_of(const std::string& workspace, std::uint32_t weight) const;

    /// @brief The workspace with the largest share; its name is empty when the queue is empty.
    [[nodiscard]] queue_share largest_share() const;

    /// @brief Removes and returns the newest call of a workspace: from its late calls if it has any, else
    /// from the normal ones, else from the urgent ones. Nothing when it has no call in the queue.
    [[nodiscard]] std::optional<queue_entry> remove_newest(const std::string& workspace);

  private:
    // Queued calls of one workspace and class.
    struct flow {
        std::deque<queue_entry> entries; // never empty: the flow is removed with its last call
        std::uint32_t deficit = 0;       // calls that may still leave in this turn; refilled with the weight
    };

    // Deficit round robin over the flows of one class.
    struct class_queue {
        std::map<std::string, flow> flows;    // by workspace
        std::deque<std::string> active_flows; // workspaces in turn order, each once

        void push(const queue_entry& entry);
        [[nodiscard]] queue_entry pop();
        [[nodiscard]] queue_entry pop_newest(const std::string& workspace);
        [[nodiscard]] std::size_t size() const noexcept;
        void remove_flow(const std::string& workspace);
    };

    [[nodiscard]] std::vector<queue_entry> take_if(const std::function<bool(const queue_entry&)>& predicate);

    [[nodiscard]] std::size_t size_of(const std::string& workspace) const;

    // Moves urgent and normal calls whose latest start has passed to the late class.
    void move_late_calls(instant now);

    class_queue nested;
    class_queue urgent;
    class_queue normal;
    class_queue late;                  // formerly urgent or normal
    std::uint32_t urgent_in_a_row = 0; // since the last normal call left
    std::size_t count = 0;             // queued calls of all classes
};

} // namespace chervilturn
