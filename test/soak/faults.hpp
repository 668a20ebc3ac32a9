// Injects the faults of a soak: a seeded random series in which faults may overlap.
#pragma once

#include "callers.hpp"

#include <functional>

namespace chervilturn::soak {

/// @brief Frequency of the faults and the share of hosts that they affect.
struct fault_options {
    microseconds min_gap = std::chrono::milliseconds{150}; // between the starts of two faults
    microseconds max_gap = std::chrono::milliseconds{900};
    double max_affected_share = 0.34; // largest share of hosts with a fault at the same time
    std::uint64_t seed = 1;
};

/// @brief Starts faults of random kinds at random hosts, and ends each after a random time.
class faults {
  public:
    faults(event_loop& loop, invariant_checker& checker, fleet& cluster, callers& traffic,
           const fault_options& values);

    void start();

    /// @brief Starts no further faults and ends all active ones.
    void end_all();

    /// @brief Number of started faults, by kind.
    [[nodiscard]] const std::map<std::string, std::uint32_t>& started_counts() const noexcept {
        return this->start_counts;
    }

    /// @brief Sets a handler that gets one line for each started fault: time, kind, host.
    void on_fault(std::function<void(const std::string&)> handler) {
        this->fault_handler = std::move(handler);
    }

  private:
    struct fault_kind;
    struct active_fault {
        std::function<void()> end;
        std::unique_ptr<timer> end_timer;
    };

    [[nodiscard]] static const std::vector<fault_kind>& fault_kinds();
    void start_next();
    /// Ends a fault after a random time of at most `max_duration`.
    void schedule_end(microseconds max_duration, std::function<void()> end);
    /// A random host; null if it has a fault already, or too many hosts have one.
    [[nodiscard]] host* pick_unaffected_host();
    /// Marks a host as affected and reports the disturbance to the checker; release() reverts both.
    void disturb(host& member);
    void release(host& member);

    void inject_path_fault(host& member, const std::string& mode);
    void refuse_store_calls(host& member);
    void inject_store_fault(test::store_mode mode);
    void remove_some_entries();
    void restore_store();
    void end_restoration();
    void kill(host& member);
    void lose_power();
    void stop(host& member);
    void pause(host& member);
    void change_settings(host& member);
    void corrupt_answers(host& member);
    void slow_down(host& member);
    void misreport(host& member);
    void state_rate(host& member);
    void say_leaving(host& member);
    void crash(host& member);
    void replace(host& member);
    void cool(host& member);
    void step_clock(host& member);
    void write_odd_entry();
    void evacuate();
    void overload();

    event_loop* loop;
    invariant_checker* checker;
    fleet* cluster;
    callers* traffic;
    fault_options options;
    random_source random;
    instant start_time{};
    std::set<std::string> affected_hosts; // by an active fault
    bool store_disturbed = false;
    bool evacuation_active = false;
    std::list<active_fault> active_faults;
    std::map<std::string, std::uint32_t> start_counts;
    std::function<void(const std::string&)> fault_handler;
    timer next_timer;
};

} // namespace chervilturn::soak
