// Load generator: open-loop random arrivals at a configured rate, reproducible by a seed. Latency is measured
// from the planned arrival, so that it includes the time by which a slow system delays the sending of calls.
#include "chervilturn/core/random.hpp"
#include "chervilturn/transport/http.hpp"
#include "chervilturn/transport/pipelined_client.hpp"
#include "load_report.hpp"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <tclap/CmdLine.h>

namespace chervilturn::load {

namespace {

constexpr microseconds send_interval = std::chrono::microseconds{200};   // between checks for due arrivals
constexpr microseconds timeout_after_deadline = std::chrono::seconds{2}; // extra wait for the response

/// @brief A kind of call in the load mix.
struct call_kind {
    std::string series; // group in the report
    std::string workspace;
    std::string method = "GET";
    std::string target = "/";
    double weight = 1.0; // share of the arrivals, relative to the other kinds
    microseconds deadline = std::chrono::seconds{1};
    bool with_key = false; // each call gets a new idempotency key that holds its creation time
};

struct load_options {
    std::vector<address> targets;
    std::vector<call_kind> kinds;
    double rate = 100.0; // calls per second
    microseconds duration = std::chrono::seconds{5};
    std::uint64_t seed = 1;
    std::size_t pipeline = 1; // calls that may be in progress on one connection
};

// Parses a value of --call, such as
// "workspace=market,path=/teranga/passports/x,method=GET,weight=3,deadline_ms=500,key=1"
[[nodiscard]] call_kind parse_kind(const std::string& text) {
    call_kind kind;
    std::istringstream fields{text};
    for (std::string field; std::getline(fields, field, ',');) {
        const auto equals = field.find('=');
        const auto name = field.substr(0, equals);
        const auto value = equals == std::string::npos ? std::string{} : field.substr(equals + 1);
        if (name == "workspace") {
            kind.workspace = value;
        } else if (name == "path") {
            kind.target = value;
        } else if (name == "method") {
            kind.method = value;
        } else if (name == "weight") {
            kind.weight = std::stod(value);
        } else if (name == "deadline_ms") {
            kind.deadline = std::chrono::milliseconds{std::stoll(value)};
        } else if (name == "series") {
            kind.series = value;
        } else if (name == "key") {
            kind.with_key = value == "1";
        } else {
            throw std::invalid_argument{"field \"" + name + "\" of --call is unknown"};
        }
    }
    if (kind.series.empty()) {
        kind.series = kind.workspace;
    }
    return kind;
}

[[nodiscard]] std::vector<address> parse_targets(const std::string& text) {
    std::vector<address> targets;
    std::istringstream items{text};
    for (std::string item; std::getline(items, item, ',');) {
        const auto target = parse_address(item);
        if (!target) {
            throw std::invalid_argument{"target \"" + item + "\" is not an address ip:port"};
        }
        targets.push_back(*target);
    }
    return targets;
}

/// @brief Sends the calls of one run and collects their results.
class load_generator {
  public:
    explicit load_generator(const load_options& run_options)
        : options{run_options}, random{run_options.seed}, send_timer{this->loop,
                                                                     [this] { this->send_due(); }} {
        for (const auto& target : run_options.targets) {
            this->clients.push_back(
                std::make_unique<http_client>(this->loop, target, http_client_options{.max_idle = 1024}));
        }
        for (const auto& kind : run_options.kinds) {
            this->total_weight += kind.weight;
        }
    }

    [[nodiscard]] nlohmann::json run() {
        this->start_time = monotonic_clock::now();
        this->next_arrival = this->draw_interarrival_time();
        this->send_timer.start_periodic(send_interval);
        this->loop.run();
        return this->results.summarise(this->options.duration);
    }

  private:
    // Draws the exponentially distributed time between two arrivals.
    [[nodiscard]] microseconds draw_interarrival_time() {
        const double seconds = -std::log(1.0 - this->random.uniform(0.0, 1.0)) / this->options.rate;
        return microseconds{static_cast<std::int64_t>(seconds * 1e6)};
    }

    void send_due() {
        const auto now = elapsed(this->start_time, monotonic_clock::now());
        while (this->next_arrival <= now && this->next_arrival < this->options.duration) {
            this->send(this->next_arrival);
            this->next_arrival += this->draw_interarrival_time();
        }
        if (this->next_arrival >= this->options.duration && this->in_flight == 0) {
            this->loop.stop();
        }
    }

    [[nodiscard]] const call_kind& draw_kind() {
        double position = this->random.uniform(0.0, this->total_weight);
        for (const auto& kind : this->options.kinds) {
            position -= kind.weight;
            if (position < 0.0) {
                return kind;
            }
        }
        return this->options.kinds.back();
    }

    // Creates a random key in the layout of a UUID version 7, which starts with the time in milliseconds.
    [[nodiscard]] std::string make_idempotency_key() {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
        std::array<char, 40> text{};
        std::snprintf(text.data(), text.size(), "%08llx-%04llx-7%03llx-8%03llx-%012llx",
                      static_cast<unsigned long long>(millis >> 16U),
                      static_cast<unsigned long long>(millis & 0xFFFF),
                      static_cast<unsigned long long>(this->random.bits() & 0xFFF),
                      static_cast<unsigned long long>(this->random.bits() & 0xFFF),
                      static_cast<unsigned long long>(this->random.bits() & 0xFFFFFFFFFFFF));
        return text.data();
    }

    void send(microseconds arrival) {
        const auto& kind = this->draw_kind();
        const auto target = this->random.index(this->clients.size());
        const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(kind.deadline).count();
        http_request request{.method = kind.method,
                             .target = kind.target,
                             .headers = {{"chervilturn-workspace", kind.workspace},
                                         {"chervilturn-deadline-ms", std::to_string(deadline)}},
                             .body = {}};
        if (kind.with_key) {
            request.headers.push_back({"idempotency-key", this->make_idempotency_key()});
        }
        ++this->in_flight;
        const auto on_result = [this, arrival, &kind](const auto& result) {
            --this->in_flight;
            this->results.add(this->to_record(kind, arrival, result));
        };
        if (this->options.pipeline > 1) {
            this->pipelined_connection_to(target).send(request, on_result);
        } else {
            static_cast<void>(
                this->clients[target]->send(request, kind.deadline + timeout_after_deadline, on_result));
        }
    }

    // A connection to the target with room for a further call.
    [[nodiscard]] pipelined_client& pipelined_connection_to(std::size_t target) {
        auto& connections = this->pipelined[target];
        std::erase_if(connections,
                      [](const auto& client) { return !client->is_open() && client->in_progress() == 0; });
        const auto found = std::find_if(connections.begin(), connections.end(), [this](const auto& client) {
            return client->is_open() && client->in_progress() < this->options.pipeline;
        });
        if (found != connections.end()) {
            return **found;
        }
        connections.push_back(std::make_unique<pipelined_client>(
            this->loop, this->options.targets[target], this->longest_deadline() + timeout_after_deadline));
        return *connections.back();
    }

    [[nodiscard]] microseconds longest_deadline() const {
        const auto& kinds = this->options.kinds;
        return std::max_element(
                   kinds.begin(), kinds.end(),
                   [](const auto& left, const auto& right) { return left.deadline < right.deadline; })
            ->deadline;
    }

    template<typename Result>
    [[nodiscard]] call_record to_record(const call_kind& kind, microseconds arrival,
                                        const Result& result) const {
        call_record record{.series = kind.series, .arrival = arrival, .outcome = {}};
        record.latency = elapsed(this->start_time, monotonic_clock::now()) - arrival;
        if (const auto* response = std::get_if<http_response>(&result)) {
            const auto outcome = find_header(response->headers, "chervilturn-outcome");
            // A backend server that is called directly sends no outcome header.
            const bool direct_success = outcome.empty() && response->status == 200;
            record.outcome = direct_success ? "completed" : std::string{outcome};
            const std::string attempts{find_header(response->headers, "chervilturn-attempts")};
            record.attempts = attempts.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(attempts));
        } else {
            record.outcome = to_string(std::get<1>(result));
        }
        record.on_time = record.outcome == "completed" && record.latency <= kind.deadline;
        return record;
    }

    event_loop loop;
    load_options options;
    random_source random;
    std::vector<std::unique_ptr<http_client>> clients;                               // by target
    std::map<std::size_t, std::vector<std::unique_ptr<pipelined_client>>> pipelined; // by target
    report results;
    double total_weight = 0.0;
    instant start_time{};
    microseconds next_arrival{}; // since start_time
    std::size_t in_flight = 0;
    timer send_timer;
};

[[nodiscard]] load_options read_arguments(int argc, char** argv) {
    TCLAP::CmdLine command_line{"Open-loop load on nodes, or directly on backend servers. Prints JSON.", ' '};
    TCLAP::ValueArg<std::string> targets{"",     "targets",   "Addresses, separated by commas", true, "",
                                         "LIST", command_line};
    TCLAP::ValueArg<double> rate{"", "rate", "Calls per second", false, 100.0, "N", command_line};
    TCLAP::ValueArg<double> seconds{"", "seconds", "Duration", false, 5.0, "N", command_line};
    TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "Seed", false, 1, "N", command_line};
    TCLAP::ValueArg<std::size_t> pipeline{
        "",
        "pipeline",
        "Calls that may be sent behind one another on a connection before the first response",
        false,
        1,
        "N",
        command_line};
    TCLAP::MultiArg<std::string> kinds{
        "",   "call",   "Kind of call: workspace=,path=,method=,weight=,deadline_ms=,key=1,series=",
        true, "FIELDS", command_line};
    command_line.parse(argc, argv);
    load_options options{.targets = parse_targets(targets.getValue()), .kinds = {}, .rate = rate.getValue()};
    options.duration = microseconds{static_cast<std::int64_t>(seconds.getValue() * 1e6)};
    options.seed = seed.getValue();
    options.pipeline = pipeline.getValue();
    for (const auto& kind : kinds.getValue()) {
        options.kinds.push_back(parse_kind(kind));
    }
    return options;
}

} // namespace

} // namespace chervilturn::load

int main(int argc, char** argv) {
    try {
        std::signal(SIGPIPE, SIG_IGN);
        chervilturn::load::load_generator generator{chervilturn::load::read_arguments(argc, argv)};
        std::cout << generator.run().dump() << '\n';
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "chervilturn-load: " << error.what() << '\n';
        return 1;
    }
}
