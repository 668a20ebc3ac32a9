// The fault soak: real nodes as processes, stand-ins around them, seeded faults, and checked promises.
#include "callers.hpp"
#include "faults.hpp"

#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>

namespace chervilturn::soak {

namespace {

using namespace std::chrono_literals;

constexpr auto start_bound = 20s;       // until all nodes are ready
constexpr auto calm_start = 2s;         // of traffic before the first fault
constexpr auto recovery_bound = 15s;    // after the last fault, until everything is served
constexpr auto settled_time = 4s;       // of traffic that must be served
constexpr auto end_bound = 8s;          // for requests in progress, and for nodes to stop
constexpr auto heartbeat_period = 20ms; // of the soak's own loop
constexpr auto longest_stall = 250ms;   // of that loop; a machine that is busier gives no verdict on times

struct soak_options {
    fleet_options fleet;
    caller_options callers;
    fault_options faults;
    std::chrono::seconds duration{};
    std::string programs;
    bool keep_logs = false;
};

/// @brief One run: start, faults, recovery, stop.
class soak {
  public:
    explicit soak(const soak_options& given)
        : options{given}, programs{given.programs}, seen{given.fleet.limits},
          hosts{this->loop, this->seen, this->programs, given.fleet}, load{this->loop, this->seen,
                                                                           this->hosts, given.callers},
          harm{this->loop, this->seen, this->hosts, this->load, given.faults}, pulse{this->loop, [this] {
                                                                                         this->on_pulse();
                                                                                     }} {
        this->harm.on_begun([](const std::string& line) { std::cout << "  " << line << std::endl; });
        this->pulse.start_periodic(heartbeat_period);
        for (const int number : {SIGTERM, SIGINT}) {
            this->loop.on_signal(number, [this] { this->interrupted = true; });
        }
    }

    /// @brief Whether every promise held.
    bool run() {
        this->hosts.start();
        if (!this->wait(start_bound, [this] { return this->hosts.all_ready(); })) {
            this->seen.on_process_ended("not all nodes were ready at the start");
            return this->report();
        }
        this->load.start();
        this->wait(calm_start, [] { return false; });
        this->harm.start();
        this->wait(this->options.duration, [] { return false; });
        this->harm.heal();
        this->wait(recovery_bound, [] { return false; });
        this->load.expect_service();
        this->wait(settled_time, [] { return false; });
        this->load.stop();
        this->wait(end_bound, [this] { return this->load.in_progress() == 0; });
        this->hosts.stop_all();
        this->wait(end_bound, [this] { return this->hosts.running() == 0; });
        this->seen.finish();
        return this->report();
    }

  private:
    // Handles events until a condition holds or the time has passed.
    bool wait(microseconds longest, const std::function<bool()>& condition) {
        const auto limit = monotonic_clock::now() + longest;
        this->waiting = [this, limit, &condition] {
            if (this->interrupted || condition() || monotonic_clock::now() >= limit) {
                this->loop.stop();
            }
        };
        this->loop.run();
        this->waiting = nullptr;
        return condition();
    }

    void on_pulse() {
        const auto now = monotonic_clock::now();
        if (this->last_pulse != instant{} && now - this->last_pulse > longest_stall) {
            ++this->stalls;
            this->seen.on_disturbed("", this->last_pulse);
            this->seen.on_undisturbed("", now);
        }
        this->last_pulse = now;
        if (this->waiting) {
            this->waiting();
        }
    }

    bool report() {
        for (const auto& [kind, count] : this->harm.counts()) {
            std::cout << "fault " << kind << ' ' << count << '\n';
        }
        std::uint64_t spoiled = 0;
        for (const auto& member : this->hosts.hosts()) {
            spoiled += member.server->faults_given();
        }
        for (std::size_t index = 0; index < promise_count; ++index) {
            const auto checked = static_cast<promise>(index);
            std::cout << "judged " << to_string(checked) << ' ' << this->seen.judged(checked) << '\n';
        }
        for (const auto& one : this->seen.violations()) {
            std::cout << "BROKEN " << to_string(one.broken) << ": " << one.detail << '\n';
        }
        const bool held = this->seen.violations().empty();
        if (!held || this->options.keep_logs) {
            this->programs.keep_folder();
            std::cout << "logs in " << this->programs.folder() << '\n';
        }
        std::cout << "seed " << this->options.fleet.seed << ": " << this->seen.requests() << " requests, "
                  << this->seen.served() << " served, " << spoiled << " answers spoiled, " << this->stalls
                  << " stalls of the machine, " << this->seen.violations().size() << " promises broken"
                  << std::endl;
        return held;
    }

    soak_options options;
    event_loop loop;
    test::processes programs;
    ledger seen;
    fleet hosts;
    callers load;
    faults harm;
    std::function<void()> waiting;
    instant last_pulse{};
    std::uint64_t stalls = 0;
    bool interrupted = false; // the run ends early, and its nodes with it
    timer pulse;
};

} // namespace

} // namespace chervilturn::soak

int main(int count, char** values) {
    using namespace chervilturn::soak;
    try {
        TCLAP::CmdLine line{
            "Runs real nodes under seeded faults and checks what callers and backend servers see.", ' '};
        TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "Seed of all that is drawn", true, 1, "N", line};
        TCLAP::ValueArg<unsigned> seconds{"", "seconds", "Time of faults", false, 20, "N", line};
        TCLAP::ValueArg<unsigned> hosts{
            "", "hosts", "Hosts, each with a node; a multiple of 4, 12 at least", false, 16, "N", line};
        TCLAP::ValueArg<double> rate{"", "rate", "Requests a second at each host", false, 8.0, "N", line};
        TCLAP::ValueArg<std::string> programs{
            "", "programs", "Folder of the node's program", false, PROGRAM_FOLDER, "FOLDER", line};
        TCLAP::SwitchArg keep{"", "keep-logs", "Keep the nodes' logs also when all promises held", line};
        line.parse(count, values);
        std::signal(SIGPIPE, SIG_IGN);
        soak_options options;
        options.fleet.hosts = hosts.getValue();
        options.fleet.template_file = SETTINGS_TEMPLATE;
        options.fleet.seed = seed.getValue();
        options.callers.seed = seed.getValue();
        options.callers.requests_per_second = rate.getValue();
        options.faults.seed = seed.getValue();
        options.duration = std::chrono::seconds{seconds.getValue()};
        options.programs = programs.getValue();
        options.keep_logs = keep.getValue();
        return soak{options}.run() ? 0 : 1;
    } catch (const std::exception& failure) {
        std::cerr << "soak: " << failure.what() << '\n';
        return 2;
    }
}
