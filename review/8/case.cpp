// A backend of a service that bears less than one request a second while it is cold becomes cold again.
#include "stand_ins-2/fleet.hpp"

#include <algorithm>
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
constexpr auto contact = 4000ms;       // bound contact_ms
constexpr auto cold_time = 5000ms;     // that the backend tells
constexpr double cold_per_s = 0.6;     // of the service
constexpr double cold_overshoot = 1.5; // bound
constexpr double cold_slack = 5.0;     // bound
constexpr int backend_count = 4;
constexpr int clients_per_node = 10;

/// @brief Answers by their status.
struct answers {
    std::mutex guard;
    std::map<int, int> by_status;
    std::map<std::string, int> by_id;
};

// Sends unsafe requests one after the other on a kept connection.
void run_client(int number, const endpoint& node, const std::atomic<bool>& stopping, answers& seen) {
    std::optional<http_connection> connection;
    for (int sequence = 1; !stopping; ++sequence) {
        if (!connection) {
            connection = http_connection::connect(node);
        }
        if (!connection) {
            std::this_thread::sleep_for(100ms);
            continue;
        }
        const auto id = "w" + std::to_string(number) + '-' + std::to_string(sequence);
        connection->write(
            message_text({.start_line = "POST /report/250/100 HTTP/1.1",
                          .headers = {{"Host", route_host},
                                      {"Chervilturn-Request-Id", id},
                                      {"Chervilturn-Deadline-Ms", std::to_string(time_budget.count())}},
                          .body = "report"}));
        http_message response;
        const auto end = connection->read(response, steady_clock::now() + time_budget + 500ms);
        const int status = end == read_end::complete ? response.status() : 0;
        if (end != read_end::complete || response.header("connection") == "close") {
            connection.reset();
        }
        {
            const std::lock_guard lock{seen.guard};
            ++seen.by_status[status];
            seen.by_id[id] = status;
        }
        std::this_thread::sleep_for(status == 200 ? 300ms : 500ms);
    }
}

// The most runs that began in one second of a span.
std::size_t most_in_a_second(const std::vector<backend_run>& runs, time_point from, time_point until) {
    std::size_t most = 0;
    for (const auto& first : runs) {
        if (first.at < from || first.at + 1s > until) {
            continue;
        }
        const auto count = std::count_if(runs.begin(), runs.end(), [&first](const backend_run& run) {
            return run.at >= first.at && run.at < first.at + 1s;
        });
        most = std::max(most, static_cast<std::size_t>(count));
    }
    return most;
}

int run_case(const std::string& folder, const std::string& record_path, bool trouble) {
    record_file record{record_path};
    std::vector<backend_options> backends;
    for (int index = 1; index <= backend_count; ++index) {
        backends.push_back({.id = "i-report-" + std::to_string(index),
                            .service = "report",
                            .address = {},
                            .seed = static_cast<unsigned>(index)});
    }
    fleet deployed{record, folder, ".", backends};
    const deployment configured{
        .routes = {{.name = "report", .path_prefix = "/report/", .kind = "unsafe", .service = "report"}},
        .services = {"report"},
        .limits = {},
        .cold_per_s = cold_per_s};
    if (!deployed.start(configured)) {
        std::cerr << "the deployment did not start\n";
        return exit_not_run;
    }
    std::this_thread::sleep_for(contact + 1s);
    answers seen;
    std::atomic<bool> stopping = false;
    std::vector<std::thread> clients;
    int number = 0;
    for (auto& host : deployed.hosts()) {
        for (int client = 0; client < clients_per_node; ++client) {
            clients.emplace_back([&, id = ++number] { run_client(id, host.callers, stopping, seen); });
        }
    }
    std::this_thread::sleep_for(5s);
    const double allowed = cold_per_s * cold_overshoot + cold_slack;
    const auto well_above = static_cast<std::size_t>(2 * allowed);
    auto& backend = *deployed.hosts().front().backend;
    const auto cold_from = steady_clock::now();
    if (trouble) {
        backend.become_cold(cold_time, well_above);
        record.write(backend.server_options().id + " is cold for " + std::to_string(cold_time.count()) +
                     " ms");
    }
    std::optional<time_point> fell_over;
    while (steady_clock::now() < cold_from + cold_time && !fell_over) {
        std::this_thread::sleep_for(1ms);
        fell_over = backend.fell_over();
    }
    if (fell_over) {
        backend.stop();
        record.write(backend.server_options().id + " falls over");
    }
    std::this_thread::sleep_for(3s);
    stopping = true;
    for (auto& client : clients) {
        client.join();
    }
    const auto runs = backend.runs();
    const auto most = trouble ? most_in_a_second(runs, cold_from, cold_from + cold_time) : 0;
    const auto lost = std::count_if(runs.begin(), runs.end(), [&seen, cold_from](const backend_run& run) {
        return run.at >= cold_from && seen.by_id[run.request_id] != 200;
    });
    std::cout << "most requests in one second while cold " << most << ", allowed " << allowed << "; "
              << (fell_over ? "fell over" : "stayed up")
              << "; requests run there and not answered 200 since: " << lost << '\n';
    record.write("FAILBACK: " + std::to_string(most) + " requests in one second while cold, allowed " +
                 std::to_string(allowed));
    return static_cast<double>(most) > allowed ? exit_broken : exit_held;
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
