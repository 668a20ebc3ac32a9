// Backends send some of their responses again, late, while clients that leave early keep the backends full.
#include "stand_ins-2/fleet.hpp"

#include <cstdlib>
#include <iostream>
#include <map>

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

constexpr auto time_budget = 1500ms;
constexpr double extra_late_share = 0.05; // of the responses, the largest dose of the site's garble days
constexpr double give_up_share = 0.3;     // of the clients of safe requests
constexpr int give_up_within_ms = 250;    // half the latency target
constexpr auto fault_length = 6s;
constexpr auto fault_pause = 2s;
constexpr int fault_count = 10;
constexpr int backend_count = 12;
constexpr int readers_per_node = 14;
constexpr int writers_per_node = 16;
constexpr auto cycle = 4000ms;        // of the load
constexpr auto reads_end = 2000ms;    // reads come in the first part of a cycle
constexpr auto first_writes = 3500ms; // writes come at once, near its end
constexpr auto second_writes = 3700ms;
constexpr auto mean_read_pause = 100ms;

/// @brief Answers of unsafe requests, by their id.
struct answers {
    std::mutex guard;
    std::map<std::string, int> status;
    int reads = 0;
    int abandoned_reads = 0;
};

[[nodiscard]] std::string request_text(const char* method, const std::string& target, const std::string& id,
                                       const std::string& body) {
    return message_text({.start_line = std::string{method} + ' ' + target + " HTTP/1.1",
                         .headers = {{"Host", route_host},
                                     {"Chervilturn-Request-Id", id},
                                     {"Chervilturn-Deadline-Ms", std::to_string(time_budget.count())}},
                         .body = body});
}

// Sleeps for a random time, as a client does between two requests.
void pause(std::mt19937& random, std::chrono::milliseconds mean) {
    std::exponential_distribution<double> distribution{1.0 / static_cast<double>(mean.count())};
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>{distribution(random)});
}

// How far the load is into its cycle.
[[nodiscard]] std::chrono::milliseconds phase_at(time_point load_start) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - load_start) % cycle;
}

// Sleeps until the load reaches a phase of its cycle.
void wait_for(std::chrono::milliseconds phase, time_point load_start) {
    std::this_thread::sleep_for((phase - phase_at(load_start) + cycle) % cycle);
}

// Reads again and again; some reads are abandoned by closing the connection.
void run_reader(int number, const endpoint& node, time_point load_start, const std::atomic<bool>& stopping,
                answers& seen) {
    std::mt19937 random{static_cast<unsigned>(number)};
    for (int sequence = 1; !stopping; ++sequence) {
        if (phase_at(load_start) >= reads_end) {
            wait_for(0ms, load_start);
        }
        auto connection = http_connection::connect(node);
        if (!connection) {
            std::this_thread::sleep_for(100ms);
            continue;
        }
        const bool leaves = std::uniform_real_distribution<double>{0.0, 1.0}(random) < give_up_share;
        const auto sent_at = steady_clock::now();
        const auto wait =
            leaves ? std::chrono::milliseconds{random() % give_up_within_ms} : time_budget + 100ms;
        const auto id = "r" + std::to_string(number) + '-' + std::to_string(sequence);
        http_message response;
        connection->write(request_text("GET", "/read/1200/200", id, ""));
        const auto end = connection->read(response, sent_at + wait);
        {
            const std::lock_guard lock{seen.guard};
            ++(end == read_end::complete ? seen.reads : seen.abandoned_reads);
        }
        pause(random, mean_read_pause);
    }
}

// Writes again and again on a kept connection; each write is a request of its own and never repeated.
void run_writer(int number, const endpoint& node, time_point load_start, const std::atomic<bool>& stopping,
                record_file& record, answers& seen) {
    std::optional<http_connection> connection;
    for (int sequence = 1; !stopping; ++sequence) {
        wait_for(phase_at(load_start) < first_writes ? first_writes : second_writes, load_start);
        if (!connection) {
            connection = http_connection::connect(node);
        }
        if (!connection) {
            std::this_thread::sleep_for(100ms);
            continue;
        }
        const auto id = "w" + std::to_string(number) + '-' + std::to_string(sequence);
        http_message response;
        connection->write(request_text("POST", "/write/150/200", id, "transfer"));
        const auto end = connection->read(response, steady_clock::now() + time_budget + 500ms);
        const int status = end == read_end::complete ? response.status() : 0;
        {
            const std::lock_guard lock{seen.guard};
            seen.status[id] = status;
        }
        record.write("client gets " + std::to_string(status) + " for " + id);
        if (end != read_end::complete || response.header("connection") == "close") {
            connection.reset();
        }
    }
}

// Counts the unsafe requests that ran more than once, and those that ran although the answer promised they
// had not.
int judge(fleet& deployed, answers& seen, record_file& record) {
    std::map<std::string, std::vector<std::string>> runs;
    for (auto& host : deployed.hosts()) {
        for (const auto& run : host.backend->runs()) {
            if (run.request_id.starts_with('w')) {
                runs[run.request_id].push_back(run.backend);
            }
        }
    }
    int twice = 0;
    int refused = 0;
    for (const auto& [id, backends] : runs) {
        if (backends.size() > 1) {
            ++twice;
            record.write("TWICE: " + id + " ran at " + backends[0] + " and at " + backends[1]);
        }
        const auto status = seen.status[id];
        if (status == 429 || status == 503 || status == 408 || status == 421) {
            ++refused;
            record.write("REFUSED: " + id + " was answered " + std::to_string(status) + " and ran at " +
                         backends[0]);
        }
    }
    std::cout << "unsafe requests " << seen.status.size() << ", run " << runs.size() << ", reads "
              << seen.reads << ", abandoned " << seen.abandoned_reads << ", run twice " << twice
              << ", refused but run " << refused << '\n';
    return twice + refused;
}

int run_case(const std::string& folder, const std::string& record_path, bool trouble) {
    record_file record{record_path};
    std::vector<backend_options> backends;
    for (int index = 1; index <= backend_count; ++index) {
        backends.push_back({.id = "i-ledger-" + std::to_string(index),
                            .service = "ledger",
                            .address = {},
                            .slots = 12,
                            .queue = 3,
                            .tells_load = false,
                            .seed = static_cast<unsigned>(index)});
    }
    fleet deployed{record, folder, ".", backends};
    const deployment configured{.routes = {{.name = "read",
                                            .path_prefix = "/read/",
                                            .kind = "safe",
                                            .service = "ledger",
                                            .timeout_ms = 1500,
                                            .target_latency_ms = 1250,
                                            .priority = 2},
                                           {.name = "write",
                                            .path_prefix = "/write/",
                                            .kind = "unsafe",
                                            .service = "ledger",
                                            .timeout_ms = 1500,
                                            .target_latency_ms = 1400,
                                            .priority = 1}},
                                .services = {"ledger"},
                                .limits = {}};
    if (!deployed.start(configured)) {
        std::cerr << "the deployment did not start\n";
        return exit_not_run;
    }
    std::this_thread::sleep_for(5s);
    answers seen;
    std::atomic<bool> stopping = false;
    const auto load_start = steady_clock::now();
    std::vector<std::thread> clients;
    int number = 0;
    for (auto& host : deployed.hosts()) {
        for (int reader = 0; reader < readers_per_node; ++reader) {
            clients.emplace_back(
                [&, id = ++number] { run_reader(id, host.callers, load_start, stopping, seen); });
        }
        for (int writer = 0; writer < writers_per_node; ++writer) {
            clients.emplace_back(
                [&, id = ++number] { run_writer(id, host.callers, load_start, stopping, record, seen); });
        }
    }
    for (int fault = 0; fault < fault_count; ++fault) {
        std::this_thread::sleep_for(fault_pause);
        for (auto& host : deployed.hosts()) {
            const bool is_faulty = (&host - &deployed.hosts().front()) % 5 < 3; // share 0.6 of the backends
            host.backend->set_extra_late_share(trouble && is_faulty ? extra_late_share : 0.0);
        }
        std::this_thread::sleep_for(fault_length);
        for (auto& host : deployed.hosts()) {
            host.backend->set_extra_late_share(0.0);
        }
    }
    stopping = true;
    for (auto& client : clients) {
        client.join();
    }
    return judge(deployed, seen, record) > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        std::cerr << "usage: case FOLDER RECORD\n";
        return exit_not_run;
    }
    const char* trouble = std::getenv("TROUBLE");
    return run_case(argv[1], argv[2], trouble == nullptr || std::string{trouble} != "0");
}
