// Kinds of faults and how they begin and end.
#include "faults.hpp"

namespace chervilturn::soak {

namespace {

using namespace std::chrono_literals;

constexpr auto path_time = 3s; // longest, for each kind of fault
constexpr auto store_time = 5s;
constexpr auto restart_time = 2s;
constexpr auto pause_time = 2500ms;
constexpr auto server_time = 4s;
constexpr auto drain_time = 4s; // a leaving backend server serves on for the bound and a little longer
constexpr auto evacuation_time = 8s;
constexpr auto press_time = 3s;
constexpr double most_pressure = 8.0;
constexpr double share_of_longest = 0.2; // the shortest time of a fault
constexpr auto path_delay = 120ms;
constexpr std::size_t clock_step_ms = 3'600'000;

} // namespace

struct faults::fault_kind {
    const char* name;
    std::uint32_t weight;
    void (*begin)(faults&, host&);
};

const std::vector<faults::fault_kind>& faults::kinds() {
    static const std::vector<fault_kind> all{
        {"path_delayed", 2, [](faults& f, host& h) { f.harm_path(h, "delay"); }},
        {"path_cut", 2, [](faults& f, host& h) { f.harm_path(h, "cut"); }},
        {"path_one_way", 2, [](faults& f, host& h) { f.harm_path(h, "one_way"); }},
        {"connections_silent", 3, [](faults& f, host& h) { f.harm_path(h, "freeze_open"); }},
        {"path_silent", 2, [](faults& f, host& h) { f.harm_path(h, "freeze_all"); }},
        {"store_refuses_host", 2, [](faults& f, host& h) { f.refuse_store(h); }},
        {"store_down", 1, [](faults& f, host&) { f.harm_store(test::store_mode::down); }},
        {"store_throttled", 1, [](faults& f, host&) { f.harm_store(test::store_mode::throttled); }},
        {"store_slow", 1, [](faults& f, host&) { f.harm_store(test::store_mode::slow); }},
        {"store_silent", 1, [](faults& f, host&) { f.harm_store(test::store_mode::silent); }},
        {"store_loses_answers", 1, [](faults& f, host&) { f.harm_store(test::store_mode::lost_answers); }},
        {"store_forgets", 2, [](faults& f, host&) { f.harmed->store().forget_history(); }},
        {"watches_cut", 2, [](faults& f, host&) { f.harmed->store().cut_watches(); }},
        {"odd_entry", 1, [](faults& f, host&) { f.write_odd_entry(); }},
        {"node_killed", 3, [](faults& f, host& h) { f.kill(h); }},
        {"node_stopped", 3, [](faults& f, host& h) { f.stop(h); }},
        {"node_paused", 3, [](faults& f, host& h) { f.pause(h); }},
        {"power_lost", 1, [](faults& f, host&) { f.lose_power(); }},
        {"settings_changed", 3, [](faults& f, host& h) { f.change_settings(h); }},
        {"answers_spoiled", 4, [](faults& f, host& h) { f.spoil_answers(h); }},
        {"server_slow", 3, [](faults& f, host& h) { f.slow_down(h); }},
        {"server_lies", 2, [](faults& f, host& h) { f.lie(h); }},
        {"server_crashed", 2, [](faults& f, host& h) { f.crash(h); }},
        {"server_replaced", 3, [](faults& f, host& h) { f.replace(h); }},
        {"server_cold", 2, [](faults& f, host& h) { f.chill(h); }},
        {"clock_stepped", 1, [](faults& f, host& h) { f.step_clock(h); }},
        {"centre_evacuated", 1, [](faults& f, host&) { f.evacuate(); }},
        {"callers_press", 2, [](faults& f, host&) { f.press(); }},
        {"configured", 5, [](faults& f, host&) { f.harmed->configure(); }},
    };
    return all;
}

faults::faults(event_loop& used, ledger& recorder, fleet& target, callers& load, const fault_options& given)
    : loop{&used}, told{&recorder}, harmed{&target}, pressing{&load}, options{given}, random{given.seed},
      next{used, [this] { this->begin_next(); }} {}

void faults::start() {
    this->began = monotonic_clock::now();
    this->begin_next();
}

void faults::heal() {
    this->next.stop();
    while (!this->running.empty()) {
        const auto ended = std::move(this->running.front());
        this->running.pop_front();
        ended.end();
    }
}

void faults::begin_next() {
    std::uint32_t total = 0;
    for (const auto& kind : kinds()) {
        total += kind.weight;
    }
    auto drawn = this->random.index(total);
    auto chosen = kinds().begin();
    while (drawn >= chosen->weight) {
        drawn -= chosen->weight;
        ++chosen;
    }
    if (auto* held = this->untroubled_host()) {
        ++this->begun[chosen->name];
        this->announce(std::to_string(to_seconds(monotonic_clock::now() - this->began)) + " s " +
                       chosen->name + " about " + held->name);
        chosen->begin(*this, *held);
    }
    const auto gap = this->random.uniform(static_cast<double>(this->options.shortest_gap.count()),
                                          static_cast<double>(this->options.longest_gap.count()));
    this->next.start_once(microseconds{static_cast<std::int64_t>(gap)});
}

// The end comes after a part of the longest time, or when everything heals.
void faults::last(microseconds longest, std::function<void()> end) {
    const double share = this->random.uniform(share_of_longest, 1.0);
    this->running.push_back({std::move(end), nullptr});
    const auto added = std::prev(this->running.end());
    added->timer_to_end = std::make_unique<timer>(*this->loop, [this, added] {
        const auto ended = std::move(*added);
        this->running.erase(added);
        ended.end();
    });
    added->timer_to_end->start_once(
        microseconds{static_cast<std::int64_t>(share * static_cast<double>(longest.count()))});
}

host* faults::untroubled_host() {
    auto& hosts = this->harmed->hosts();
    const auto most =
        static_cast<std::size_t>(this->options.disturbed_share * static_cast<double>(hosts.size()));
    auto& drawn = hosts.at(this->random.index(hosts.size()));
    return this->troubled.size() >= most || this->troubled.contains(drawn.name) ? nullptr : &drawn;
}

void faults::trouble(host& held) {
    this->troubled.insert(held.name);
    this->told->on_disturbed(held.name, monotonic_clock::now());
}

void faults::relieve(host& held) {
    this->troubled.erase(held.name);
    this->told->on_undisturbed(held.name, monotonic_clock::now());
}

void faults::harm_path(host& held, const std::string& mode) {
    this->trouble(held);
    if (mode == "delay") {
        held.relay->set_delay(path_delay);
    } else {
        held.relay->set_mode(mode);
    }
    this->last(path_time, [this, &held] {
        held.relay->set_delay(microseconds::zero());
        held.relay->set_mode("pass");
        this->relieve(held);
    });
}

void faults::refuse_store(host& held) {
    if (this->store_troubled) {
        return;
    }
    this->trouble(held);
    const auto mode = this->random.index(2) == 0 ? test::store_mode::down : test::store_mode::silent;
    this->harmed->store().set_mode(held.name, mode);
    this->last(store_time, [this, &held] {
        if (!this->store_troubled) {
            this->harmed->store().set_mode(held.name, test::store_mode::up);
        }
        this->relieve(held);
    });
}

// Backend servers cannot write while the store is down, and some of their entries lapse.
void faults::harm_store(test::store_mode mode) {
    if (this->store_troubled) {
        return;
    }
    this->store_troubled = true;
    this->told->on_disturbed("", monotonic_clock::now());
    this->harmed->store().set_mode(mode);
    if (mode == test::store_mode::down || mode == test::store_mode::silent) {
        this->harmed->set_store_reachable(false);
        this->lapse_entries();
    }
    this->last(store_time, [this] {
        this->store_troubled = false;
        this->harmed->set_store_reachable(true);
        this->harmed->store().set_mode(test::store_mode::up);
        this->told->on_undisturbed("", monotonic_clock::now());
    });
}

void faults::lapse_entries() {
    for (const auto& member : this->harmed->hosts()) {
        if (this->random.index(4) == 0) {
            this->harmed->store().remove("servers/" + member.server->name());
        }
    }
}

void faults::kill(host& held) {
    this->trouble(held);
    this->harmed->kill_node(held);
    this->last(restart_time, [this, &held] { this->relieve(held); });
}

void faults::lose_power() {
    for (auto& member : this->harmed->hosts()) {
        if (!this->troubled.contains(member.name)) {
            this->kill(member);
        }
    }
}

void faults::stop(host& held) {
    this->troubled.insert(held.name);
    this->harmed->stop_node(held);
    this->last(restart_time, [this, &held] { this->troubled.erase(held.name); });
}

void faults::pause(host& held) {
    this->trouble(held);
    this->harmed->pause_node(held);
    this->last(pause_time, [this, &held] {
        this->harmed->resume_node(held);
        this->relieve(held);
    });
}

// Some changes come without a signal, and some files cannot be read.
void faults::change_settings(host& held) {
    const bool readable = this->random.index(3) != 0;
    this->harmed->write_settings(held, readable);
    if (this->random.index(2) == 0) {
        this->harmed->hang_up(held);
    }
    if (!readable) {
        this->last(server_time, [this, &held] { this->harmed->write_settings(held, true); });
    }
}

void faults::spoil_answers(host& held) {
    held.server->fault_share = this->random.uniform(0.1, 0.6);
    held.server->drops_idle = this->random.index(2) == 0;
    this->last(server_time, [&held] {
        held.server->fault_share = 0.0;
        held.server->drops_idle = false;
    });
}

void faults::slow_down(host& held) {
    held.server->slowdown = this->random.uniform(2.0, 8.0);
    this->last(server_time, [&held] { held.server->slowdown = 1.0; });
}

void faults::lie(host& held) {
    const bool well = this->random.index(2) == 0;
    held.server->refuses = well;
    held.server->says_well = well;
    held.server->says_ill = !well;
    this->last(server_time,
               [&held] { held.server->refuses = held.server->says_well = held.server->says_ill = false; });
}

void faults::crash(host& held) {
    this->harmed->crash_server(held);
    this->last(server_time, [this, &held] { this->harmed->start_server(held, true); });
}

// Planned: the backend server says that it leaves, serves on, ends, and another one takes its address.
void faults::replace(host& held) {
    this->harmed->drain_server(held);
    const auto name = held.server->name();
    this->last(drain_time, [this, &held, name] {
        if (held.server->name() == name) {
            this->harmed->crash_server(held);
            this->harmed->start_server(held, true);
        }
    });
}

void faults::chill(host& held) {
    if (held.server->running()) {
        held.server->become_cold();
    }
}

void faults::step_clock(host& held) {
    held.clock_error_ms = static_cast<std::int64_t>(this->random.index(2 * clock_step_ms)) -
                          static_cast<std::int64_t>(clock_step_ms);
}

void faults::write_odd_entry() {
    const std::vector<std::string> odd{"", "{", R"({"address":7})", "\xff\xfe", R"({"info":{},"status":[]})"};
    this->harmed->store().put("servers/odd-" + std::to_string(this->random.index(3)),
                              odd.at(this->random.index(odd.size())));
}

void faults::evacuate() {
    if (this->evacuating) {
        return;
    }
    const auto& centres = this->harmed->data_centres();
    const auto chosen = centres.at(this->random.index(centres.size()));
    this->evacuating = true;
    this->harmed->evacuate(chosen);
    this->last(evacuation_time, [this, chosen] {
        this->evacuating = false;
        this->harmed->take_back(chosen);
    });
}

// Callers send more than the backend servers bear.
void faults::press() {
    this->pressing->set_pressure(this->random.uniform(2.0, most_pressure));
    this->last(press_time, [this] { this->pressing->set_pressure(1.0); });
}

} // namespace chervilturn::soak
