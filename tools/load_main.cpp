// Load program: open-loop arrivals at a given rate, seeded. Latency counts from the planned arrival, so a
// slow system cannot hide the calls that it delayed.
#include "chervilturn/core/random.hpp"
#include "chervilturn/transport/http.hpp"
#include "load_report.hpp"

#include <cmath>
#include <csignal>
#include <iostream>
#include <memory>
#include <sstream>
#include <tclap/CmdLine.h>

namespace chervilturn::load {

namespace {

constexpr microseconds longest_catch_up = std::chrono::microseconds{200}; // between looks at the clock
constexpr microseconds patience_after_deadline = std::chrono::seconds{2};

/// @brief One kind of call, with its share of the arrivals.
struct call_kind {
    std::string series;
    std::string workspace;
    std::string method = "GET";
    std::string target = "/";
    double weight = 1.0;
    microseconds deadline = std::chrono::seconds{1};
    bool dated_key = false; // every call gets an idempotency key of its own
};

struct load_options {
    std::vector<address> targets;
    std::vector<call_kind> kinds;
    double rate = 100.0; // calls a second
    microseconds duration = std::chrono::seconds{5};
    std::uint64_t seed = 1;
};

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
            kind.dated_key = value == "1";
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
    std::istringstream words{text};
    for (std::string word; std::getline(words, word, ',');) {
        const auto where = parse_address(word);
        if (!where) {
            throw std::invalid_argument{"target \"" + word + "\" is not an address ip:port"};
        }
        targets.push_back(*where);
    }
    return targets;
}

class load_run {
  public:
    explicit load_run(const load_options& given)
        : options{given}, random{given.seed}, pace{this->loop, [this] { this->send_due(); }} {
        for (const auto& target : given.targets) {
            this->clients.push_back(
                std::make_unique<http_client>(this->loop, target, http_client_options{.max_idle = 1024}));
        }
        for (const auto& kind : given.kinds) {
            this->total_weight += kind.weight;
        }
    }

    [[nodiscard]] nlohmann::json run() {
        this->started = monotonic_clock::now();
        this->next_arrival = this->draw_gap();
        this->pace.start_periodic(longest_catch_up);
        this->loop.run();
        return this->finished.summarise(this->options.duration);
    }

  private:
    [[nodiscard]] microseconds draw_gap() {
        const double seconds = -std::log(1.0 - this->random.uniform(0.0, 1.0)) / this->options.rate;
        return microseconds{static_cast<std::int64_t>(seconds * 1e6)};
    }

    void send_due() {
        const auto now = elapsed(this->started, monotonic_clock::now());
        while (this->next_arrival <= now && this->next_arrival < this->options.duration) {
            this->send(this->next_arrival);
            this->next_arrival += this->draw_gap();
        }
        if (this->next_arrival >= this->options.duration && this->in_flight == 0) {
            this->loop.stop();
        }
    }

    [[nodiscard]] const call_kind& draw_kind() {
        double mark = this->random.uniform(0.0, this->total_weight);
        for (const auto& kind : this->options.kinds) {
            mark -= kind.weight;
            if (mark < 0.0) {
                return kind;
            }
        }
        return this->options.kinds.back();
    }

    [[nodiscard]] std::string draw_key() {
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
        auto& client = *this->clients[this->random.index(this->clients.size())];
        const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(kind.deadline).count();
        http_request request{.method = kind.method,
                             .target = kind.target,
                             .headers = {{"chervilturn-workspace", kind.workspace},
                                         {"chervilturn-deadline-ms", std::to_string(deadline)}},
                             .body = {}};
        if (kind.dated_key) {
            request.headers.push_back({"idempotency-key", this->draw_key()});
        }
        ++this->in_flight;
        static_cast<void>(client.send(request, kind.deadline + patience_after_deadline,
                                      [this, arrival, &kind](const http_result& result) {
                                          --this->in_flight;
                                          this->finished.add(this->to_finished(kind, arrival, result));
                                      }));
    }

    [[nodiscard]] finished_call to_finished(const call_kind& kind, microseconds arrival,
                                            const http_result& result) const {
        finished_call ended{.series = kind.series, .arrival = arrival, .outcome = {}};
        ended.latency = elapsed(this->started, monotonic_clock::now()) - arrival;
        if (const auto* response = std::get_if<http_response>(&result)) {
            const auto outcome = find_header(response->headers, "chervilturn-outcome");
            const bool direct = outcome.empty() && response->status == 200;
            ended.outcome = direct ? "completed" : std::string{outcome};
            const std::string attempts{find_header(response->headers, "chervilturn-attempts")};
            ended.attempts = attempts.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(attempts));
        } else {
            ended.outcome = to_string(std::get<http_failure>(result));
        }
        ended.on_time = ended.outcome == "completed" && ended.latency <= kind.deadline;
        return ended;
    }

    event_loop loop;
    load_options options;
    random_source random;
    std::vector<std::unique_ptr<http_client>> clients;
    report finished;
    double total_weight = 0.0;
    instant started{};
    microseconds next_arrival{}; // since the start
    std::size_t in_flight = 0;
    timer pace;
};

[[nodiscard]] load_options read_arguments(int count, char** values) {
    TCLAP::CmdLine line{"Open-loop load on nodes, or directly on backend servers. Prints JSON.", ' '};
    TCLAP::ValueArg<std::string> targets{"",     "targets", "Addresses, separated by commas", true, "",
                                         "LIST", line};
    TCLAP::ValueArg<double> rate{"", "rate", "Calls a second", false, 100.0, "N", line};
    TCLAP::ValueArg<double> seconds{"", "seconds", "Duration", false, 5.0, "N", line};
    TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "Seed", false, 1, "N", line};
    TCLAP::MultiArg<std::string> kinds{
        "",   "call",   "Kind of call: workspace=,path=,method=,weight=,deadline_ms=,key=1,series=",
        true, "FIELDS", line};
    line.parse(count, values);
    load_options options{.targets = parse_targets(targets.getValue()), .kinds = {}, .rate = rate.getValue()};
    options.duration = microseconds{static_cast<std::int64_t>(seconds.getValue() * 1e6)};
    options.seed = seed.getValue();
    for (const auto& kind : kinds.getValue()) {
        options.kinds.push_back(parse_kind(kind));
    }
    return options;
}

} // namespace

} // namespace chervilturn::load

int main(int count, char** values) {
    try {
        std::signal(SIGPIPE, SIG_IGN);
        chervilturn::load::load_run run{chervilturn::load::read_arguments(count, values)};
        std::cout << run.run().dump() << '\n';
        return 0;
    } catch (const std::exception& failure) {
        std::cerr << "chervilturn-load: " << failure.what() << '\n';
        return 1;
    }
}
