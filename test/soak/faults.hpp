// Faults of a soak: a seeded series that overlaps, each with its end.
#pragma once

#include "callers.hpp"

#include <functional>

namespace chervilturn::soak {

/// @brief How dense the faults are.
struct fault_options {
    microseconds shortest_gap = std::chrono::milliseconds{150}; // between two beginnings
    microseconds longest_gap = std::chrono::milliseconds{900};
    double disturbed_share = 0.34; // of hosts at most that faults hold at one time
    std::uint64_t seed = 1;
};

/// @brief Begins faults one after the other, and ends each after its time.
class faults {
  public:
    faults(event_loop& loop, ledger& told, fleet& harmed, callers& pressing, const fault_options& given);

    void start();

    /// @brief Begins no more and ends all that last.
    void heal();

    /// @brief Faults begun so far, by kind.
    [[nodiscard]] const std::map<std::string, std::uint32_t>& counts() const noexcept { return this->begun; }

    /// @brief One line for each fault: when, what, where.
    void on_begun(std::function<void(const std::string&)> handler) { this->announce = std::move(handler); }

  private:
    struct fault_kind;
    struct lasting {
        std::function<void()> end;
        std::unique_ptr<timer> timer_to_end;
    };

    [[nodiscard]] static const std::vector<fault_kind>& kinds();
    void begin_next();
    void last(microseconds longest, std::function<void()> end);
    [[nodiscard]] host* untroubled_host();
    void trouble(host& held);
    void relieve(host& held);

    void harm_path(host& held, const std::string& mode);
    void refuse_store(host& held);
    void harm_store(test::store_mode mode);
    void lapse_entries();
    void kill(host& held);
    void lose_power();
    void stop(host& held);
    void pause(host& held);
    void change_settings(host& held);
    void spoil_answers(host& held);
    void slow_down(host& held);
    void lie(host& held);
    void crash(host& held);
    void replace(host& held);
    void chill(host& held);
    void step_clock(host& held);
    void write_odd_entry();
    void evacuate();
    void press();

    event_loop* loop;
    ledger* told;
    fleet* harmed;
    callers* pressing;
    fault_options options;
    random_source random;
    instant began{};
    std::set<std::string> troubled;
    bool store_troubled = false;
    bool evacuating = false;
    std::list<lasting> running;
    std::map<std::string, std::uint32_t> begun;
    std::function<void(const std::string&)> announce;
    timer next;
};

} // namespace chervilturn::soak
