// Queue of one owner: fair between workspaces by deficit round robin, urgent calls first within a share.
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
    bool urgent = false;
    bool last_resort = false; // has nowhere else to go
    instant deadline{};
    instant latest_start =
        instant::max(); // started from then on, the answer comes too late for its full value
    microseconds baseline_service_time{}; // zero when not known
};

/// @brief A workspace's part of a queue.
struct queue_share {
    std::string workspace;
    double calls_per_weight = 0.0;
};

/// @brief Calls waiting at one owner. Within a workspace and class they leave in order of arrival.
class fair_queue {
  public:
    void push(const queue_entry& entry);

    /// @brief Takes the next call: urgent ones first, but no more than four in a row while others wait.
    /// Calls that are late anyway leave when no other call waits.
    [[nodiscard]] std::optional<queue_entry> pop(instant now);

    /// @brief Takes a call out; false when it does not wait here.
    bool remove(const attempt_id& attempt);

    /// @brief Takes out every call that an owner gives up.
    [[nodiscard]] std::vector<queue_entry> expire(const std::function<bool(const queue_entry&)>& given_up);

    /// @brief Takes out the calls that another backend server may run.
    [[nodiscard]] std::vector<queue_entry> take_movable();

    /// @brief Takes out all calls.
    [[nodiscard]] std::vector<queue_entry> clear();

    [[nodiscard]] std::size_t size() const noexcept { return this->count; }

    /// @brief Waiting calls of one workspace divided by its weight.
    [[nodiscard]] double share_of(const std::string& workspace, std::uint32_t weight) const;

    /// @brief The workspace with the largest share; empty when none waits.
    [[nodiscard]] queue_share largest_share() const;

    /// @brief Takes out the newest call of a workspace, the least urgent class first.
    [[nodiscard]] std::optional<queue_entry> drop_newest(const std::string& workspace);

  private:
    struct lane {
        std::deque<queue_entry> entries; // never empty while the lane exists
        std::uint32_t credit = 0;        // calls that may still leave in this round
    };

    struct class_queue {
        std::map<std::string, lane> lanes;
        std::deque<std::string> turns; // each lane once

        void push(const queue_entry& entry);
        [[nodiscard]] queue_entry pop();
        void drop_lane(const std::string& workspace);
    };

    [[nodiscard]] std::vector<queue_entry> take_if(const std::function<bool(const queue_entry&)>& wanted);

    [[nodiscard]] std::size_t size_of(const std::string& workspace) const;

    void set_late_apart(instant now);

    class_queue urgent;
    class_queue normal;
    class_queue late; // of both classes
    std::uint32_t urgent_in_a_row = 0;
    std::size_t count = 0; // over all classes
};

} // namespace chervilturn
