// Starts and ends the faults of each kind.
#include "faults.hpp"

namespace chervilturn::soak {

namespace {

using namespace std::chrono_literals;

// Longest durations of faults. Each fault lasts a random time between min_duration_share of it and all of it.
constexpr auto max_path_fault_time = 3s;
constexpr auto max_store_fault_time = 5s;
constexpr auto max_restart_time = 2s;
constexpr auto max_pause_time = 2500ms;
constexpr auto max_server_fault_time = 4s;
constexpr auto max_drain_time = 4s; // longer than the drain bound of 3 s, until which requests may arrive
constexpr auto max_evacuation_time = 8s;
constexpr auto max_stated_rate_time = 14s; // a rate counts four seconds after it was stated
constexpr auto max_copy_age = 5s;
constexpr auto max_restoration_time = 1s;
constexpr auto max_rewrite_time = 1s; // after a restoration, until operator and backend servers write again
constexpr double min_stated_rate = 0.2;
constexpr double max_stated_rate = 12.0; // requests a second
constexpr auto max_overload_time = 3s;
constexpr double max_load_factor = 8.0; // of the usual request rate
constexpr double min_duration_share = 0.2;
constexpr auto injected_delay = 120ms;
constexpr std::size_t max_clock_step_ms = 3'600'000; // one hour, in both directions

} // namespace

struct faults::fault_kind {
    const char* name;
    std::uint32_t weight;
    void (*start)(faults&, host&);
};

const std::vector<faults::fault_kind>& faults::fault_kinds() {
    static const std::vector<fault_kind> table{
        {"path_delayed", 2,
         [](faults& injector, host& member) { injector.inject_path_fault(member, "delay"); }},
        {"path_cut", 2, [](faults& injector, host& member) { injector.inject_path_fault(member, "cut"); }},
        {"path_one_way", 2,
         [](faults& injector, host& member) { injector.inject_path_fault(member, "one_way"); }},
        {"connections_silent", 3,
         [](faults& injector, host& member) { injector.inject_path_fault(member, "freeze_open"); }},
        {"path_silent", 2,
         [](faults& injector, host& member) { injector.inject_path_fault(member, "freeze_all"); }},
        {"store_refuses_host", 2,
         [](faults& injector, host& member) { injector.refuse_store_calls(member); }},
        {"store_down", 1,
         [](faults& injector, host&) { injector.inject_store_fault(test::store_mode::down); }},
        {"store_throttled", 1,
         [](faults& injector, host&) { injector.inject_store_fault(test::store_mode::throttled); }},
        {"store_slow", 1,
         [](faults& injector, host&) { injector.inject_store_fault(test::store_mode::slow); }},
        {"store_silent", 1,
         [](faults& injector, host&) { injector.inject_store_fault(test::store_mode::silent); }},
        {"store_loses_answers", 1,
         [](faults& injector, host&) { injector.inject_store_fault(test::store_mode::lost_answers); }},
        {"store_forgets", 2, [](faults& injector, host&) { injector.cluster->store().forget_history(); }},
        {"store_restored", 2, [](faults& injector, host&) { injector.restore_store(); }},
        {"watches_cut", 2, [](faults& injector, host&) { injector.cluster->store().cut_watches(); }},
        {"odd_entry", 1, [](faults& injector, host&) { injector.write_odd_entry(); }},
        {"node_killed", 3, [](faults& injector, host& member) { injector.kill(member); }},
        {"node_stopped", 3, [](faults& injector, host& member) { injector.stop(member); }},
        {"node_paused", 3, [](faults& injector, host& member) { injector.pause(member); }},
        {"power_lost", 1, [](faults& injector, host&) { injector.lose_power(); }},
        {"settings_changed", 3, [](faults& injector, host& member) { injector.change_settings(member); }},
        {"answers_spoiled", 4, [](faults& injector, host& member) { injector.corrupt_answers(member); }},
        {"server_slow", 3, [](faults& injector, host& member) { injector.slow_down(member); }},
        {"server_lies", 2, [](faults& injector, host& member) { injector.misreport(member); }},
        {"server_states_rate", 3, [](faults& injector, host& member) { injector.state_rate(member); }},
        {"server_says_leaving", 2, [](faults& injector, host& member) { injector.say_leaving(member); }},
        {"server_crashed", 2, [](faults& injector, host& member) { injector.crash(member); }},
        {"server_replaced", 3, [](faults& injector, host& member) { injector.replace(member); }},
        {"server_cold", 2, [](faults& injector, host& member) { injector.cool(member); }},
        {"clock_stepped", 1, [](faults& injector, host& member) { injector.step_clock(member); }},
        {"centre_evacuated", 1, [](faults& injector, host&) { injector.evacuate(); }},
        {"callers_press", 2, [](faults& injector, host&) { injector.overload(); }},
        {"configured", 5, [](faults& injector, host&) { injector.cluster->publish_configuration(); }},
    };
    return table;
}

faults::faults(event_loop& main_loop, invariant_checker& invariants, fleet& soak_fleet, callers& soak_callers,
               const fault_options& values)
    : loop{&main_loop}, checker{&invariants}, cluster{&soak_fleet}, traffic{&soak_callers}, options{values},
      random{values.seed}, next_timer{main_loop, [this] { this->start_next(); }} {}

void faults::start() {
    this->start_time = monotonic_clock::now();
    this->start_next();
}

void faults::end_all() {
    this->next_timer.stop();
    while (!this->active_faults.empty()) {
        const auto fault = std::move(this->active_faults.front());
        this->active_faults.pop_front();
        fault.end();
    }
}

void faults::start_next() {
    std::uint32_t total = 0;
    for (const auto& kind : fault_kinds()) {
        total += kind.weight;
    }
    auto draw = this->random.index(total);
    auto chosen = fault_kinds().begin();
    while (draw >= chosen->weight) {
        draw -= chosen->weight;
        ++chosen;
    }
    if (auto* member = this->pick_unaffected_host()) {
        ++this->start_counts[chosen->name];
        this->fault_handler(std::to_string(to_seconds(monotonic_clock::now() - this->start_time)) + " s " +
                            chosen->name + " at " + member->name);
        chosen->start(*this, *member);
    }
    const auto gap = this->random.uniform(static_cast<double>(this->options.min_gap.count()),
                                          static_cast<double>(this->options.max_gap.count()));
    this->next_timer.start_once(microseconds{static_cast<std::int64_t>(gap)});
}

// The fault ends earlier if end_all() is called before.
void faults::schedule_end(microseconds max_duration, std::function<void()> end) {
    const double share = this->random.uniform(min_duration_share, 1.0);
    this->active_faults.push_back({std::move(end), nullptr});
    const auto entry = std::prev(this->active_faults.end());
    entry->end_timer = std::make_unique<timer>(*this->loop, [this, entry] {
        const auto fault = std::move(*entry);
        this->active_faults.erase(entry);
        fault.end();
    });
    entry->end_timer->start_once(
        microseconds{static_cast<std::int64_t>(share * static_cast<double>(max_duration.count()))});
}

host* faults::pick_unaffected_host() {
    auto& hosts = this->cluster->hosts();
    const auto limit =
        static_cast<std::size_t>(this->options.max_affected_share * static_cast<double>(hosts.size()));
    auto& candidate = hosts.at(this->random.index(hosts.size()));
    return this->affected_hosts.size() >= limit || this->affected_hosts.contains(candidate.name) ? nullptr
                                                                                                 : &candidate;
}

void faults::disturb(host& member) {
    this->affected_hosts.insert(member.name);
    this->checker->on_disturbed(member.name, monotonic_clock::now());
}

void faults::release(host& member) {
    this->affected_hosts.erase(member.name);
    this->checker->on_undisturbed(member.name, monotonic_clock::now());
}

void faults::inject_path_fault(host& member, const std::string& mode) {
    this->disturb(member);
    if (mode == "delay") {
        member.relay->set_delay(injected_delay);
    } else {
        member.relay->set_mode(mode);
    }
    this->schedule_end(max_path_fault_time, [this, &member] {
        member.relay->set_delay(microseconds::zero());
        member.relay->set_mode("pass");
        this->release(member);
    });
}

void faults::refuse_store_calls(host& member) {
    if (this->store_disturbed) {
        return;
    }
    this->disturb(member);
    const auto mode = this->random.index(2) == 0 ? test::store_mode::down : test::store_mode::silent;
    this->cluster->store().set_mode(member.name, mode);
    this->schedule_end(max_store_fault_time, [this, &member] {
        if (!this->store_disturbed) {
            this->cluster->store().set_mode(member.name, test::store_mode::up);
        }
        this->release(member);
    });
}

// While the store is down or silent, backend servers cannot update their entries, so some entries are
// removed.
void faults::inject_store_fault(test::store_mode mode) {
    if (this->store_disturbed) {
        return;
    }
    this->store_disturbed = true;
    this->checker->on_disturbed("", monotonic_clock::now());
    this->cluster->store().set_mode(mode);
    if (mode == test::store_mode::down || mode == test::store_mode::silent) {
        this->cluster->set_store_reachable(false);
        this->remove_some_entries();
    }
    this->schedule_end(max_store_fault_time, [this] {
        this->store_disturbed = false;
        this->cluster->set_store_reachable(true);
        this->cluster->store().set_mode(test::store_mode::up);
        this->checker->on_undisturbed("", monotonic_clock::now());
    });
}

void faults::remove_some_entries() {
    for (const auto& member : this->cluster->hosts()) {
        if (this->random.index(4) == 0) {
            this->cluster->store().remove("servers/" + member.server->name());
        }
    }
}

// The store goes away for a moment and returns from a copy of some seconds before.
void faults::restore_store() {
    if (this->store_disturbed) {
        return;
    }
    this->store_disturbed = true;
    this->cluster->store().save_copy();
    this->schedule_end(max_copy_age, [this] {
        this->checker->on_disturbed("", monotonic_clock::now());
        this->cluster->set_store_reachable(false);
        this->cluster->store().set_mode(test::store_mode::down);
        this->schedule_end(max_restoration_time, [this] { this->end_restoration(); });
    });
}

void faults::end_restoration() {
    this->cluster->store().restore();
    this->cluster->store().set_mode(test::store_mode::up);
    this->schedule_end(max_rewrite_time, [this] {
        this->store_disturbed = false;
        this->cluster->set_store_reachable(true);
        this->cluster->write_again();
        this->checker->on_undisturbed("", monotonic_clock::now());
    });
}

void faults::kill(host& member) {
    this->disturb(member);
    this->cluster->kill_node(member);
    this->schedule_end(max_restart_time, [this, &member] { this->release(member); });
}

void faults::lose_power() {
    for (auto& member : this->cluster->hosts()) {
        if (!this->affected_hosts.contains(member.name)) {
            this->kill(member);
        }
    }
}

void faults::stop(host& member) {
    this->affected_hosts.insert(member.name);
    this->cluster->stop_node(member);
    this->schedule_end(max_restart_time, [this, &member] { this->affected_hosts.erase(member.name); });
}

void faults::pause(host& member) {
    this->disturb(member);
    this->cluster->pause_node(member);
    this->schedule_end(max_pause_time, [this, &member] {
        this->cluster->resume_node(member);
        this->release(member);
    });
}

// Half of the changes are not followed by a reload signal, and a third of the files are unreadable.
void faults::change_settings(host& member) {
    const bool readable = this->random.index(3) != 0;
    this->cluster->write_settings(member, readable);
    if (this->random.index(2) == 0) {
        this->cluster->signal_reload(member);
    }
    if (!readable) {
        this->schedule_end(max_server_fault_time,
                           [this, &member] { this->cluster->write_settings(member, true); });
    }
}

void faults::corrupt_answers(host& member) {
    member.server->fault_share = this->random.uniform(0.1, 0.6);
    member.server->closes_connections = this->random.index(2) == 0;
    this->schedule_end(max_server_fault_time, [&member] {
        member.server->fault_share = 0.0;
        member.server->closes_connections = false;
    });
}

void faults::slow_down(host& member) {
    member.server->slowdown = this->random.uniform(2.0, 8.0);
    this->schedule_end(max_server_fault_time, [&member] { member.server->slowdown = 1.0; });
}

void faults::misreport(host& member) {
    const bool report_healthy = this->random.index(2) == 0;
    member.server->refuses = report_healthy;
    member.server->passes_probes = report_healthy;
    member.server->fails_probes = !report_healthy;
    this->schedule_end(max_server_fault_time, [&member] {
        member.server->refuses = member.server->passes_probes = member.server->fails_probes = false;
    });
}

void faults::state_rate(host& member) {
    if (member.server->stated_rate || !member.server->running()) {
        return;
    }
    const auto rate = this->random.uniform(min_stated_rate, max_stated_rate);
    const auto name = member.server->name();
    member.server->stated_rate = rate;
    this->checker->on_rate_stated(name, rate, monotonic_clock::now());
    this->schedule_end(max_stated_rate_time, [this, &member, name] {
        member.server->stated_rate.reset();
        this->checker->on_rate_ended(name);
    });
}

// The backend server leaves without a word to the store; another one then starts at the same address.
void faults::say_leaving(host& member) {
    if (member.draining || !member.server->running()) {
        return;
    }
    const auto name = member.server->name();
    member.server->says_leaving = true;
    this->checker->on_draining(name, monotonic_clock::now());
    this->schedule_end(max_drain_time, [this, &member, name] {
        member.server->says_leaving = false;
        if (member.server->name() == name) {
            this->cluster->crash_server(member);
            this->cluster->start_server(member, true);
        }
    });
}

void faults::crash(host& member) {
    this->cluster->crash_server(member);
    this->schedule_end(max_server_fault_time, [this, &member] { this->cluster->start_server(member, true); });
}

// Planned replacement: the backend server is marked as draining, continues to serve, and ends. Another one
// then starts at the same address.
void faults::replace(host& member) {
    this->cluster->drain_server(member);
    const auto name = member.server->name();
    this->schedule_end(max_drain_time, [this, &member, name] {
        if (member.server->name() == name) {
            this->cluster->crash_server(member);
            this->cluster->start_server(member, true);
        }
    });
}

void faults::cool(host& member) {
    if (member.server->running()) {
        member.server->become_cold();
    }
}

void faults::step_clock(host& member) {
    member.clock_error_ms = static_cast<std::int64_t>(this->random.index(2 * max_clock_step_ms)) -
                            static_cast<std::int64_t>(max_clock_step_ms);
}

void faults::write_odd_entry() {
    const std::vector<std::string> values{"", "{", R"({"address":7})", "\xff\xfe",
                                          R"({"info":{},"status":[]})"};
    this->cluster->store().put("servers/odd-" + std::to_string(this->random.index(3)),
                               values.at(this->random.index(values.size())));
}

void faults::evacuate() {
    if (this->evacuation_active) {
        return;
    }
    const auto& data_centres = this->cluster->data_centres();
    const auto data_centre = data_centres.at(this->random.index(data_centres.size()));
    this->evacuation_active = true;
    this->cluster->evacuate(data_centre);
    this->schedule_end(max_evacuation_time, [this, data_centre] {
        this->evacuation_active = false;
        this->cluster->end_evacuation(data_centre);
    });
}

// Callers send more requests than the backend servers can handle.
void faults::overload() {
    this->traffic->set_load_factor(this->random.uniform(2.0, max_load_factor));
    this->schedule_end(max_overload_time, [this] { this->traffic->set_load_factor(1.0); });
}

} // namespace chervilturn::soak
