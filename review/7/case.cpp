// The operator moves a route to another service and, in the same version, adds one with a long timeout.
#include "stand_ins-2/fleet.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <set>

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

constexpr auto time_budget = 1500ms;
constexpr auto contact = 4000ms;      // bound contact_ms
constexpr auto config_apply = 2500ms; // bound config_apply_ms
constexpr auto observed = 15s;        // after the acknowledgement of the new version
constexpr int long_timeout_ms = 2 * 3600 * 1000;
constexpr int usual_timeout_ms = 3000;
constexpr int clients_per_node = 2;
constexpr int status_not_found = 404;

/// @brief One request and its answer.
struct observation {
    std::string id;
    time_point sent_at;
    int status = 0;
};

/// @brief What the clients saw.
struct observations {
    std::mutex guard;
    std::vector<observation> requests;
};

// Sends a write, which is unsafe, and an export in turn on a kept connection.
void run_client(int number, const endpoint& node, const std::atomic<bool>& stopping, observations& seen) {
    std::optional<http_connection> connection;
    for (int sequence = 1; !stopping; ++sequence) {
        if (!connection) {
            connection = http_connection::connect(node);
        }
        if (!connection) {
            std::this_thread::sleep_for(100ms);
            continue;
        }
        const bool writes = sequence % 2 == 1;
        observation request{.id = (writes ? "w" : "e") + std::to_string(number) + '-' +
                                  std::to_string(sequence),
                            .sent_at = steady_clock::now()};
        connection->write(message_text(
            {.start_line = writes ? "POST /write/20/100 HTTP/1.1" : "GET /export/20/100 HTTP/1.1",
             .headers = {{"Host", route_host},
                         {"Chervilturn-Request-Id", request.id},
                         {"Chervilturn-Deadline-Ms", std::to_string(time_budget.count())}},
             .body = writes ? "transfer" : ""}));
        http_message response;
        const auto end = connection->read(response, request.sent_at + time_budget + 500ms);
        request.status = end == read_end::complete ? response.status() : 0;
        if (end != read_end::complete || response.header("connection") == "close") {
            connection.reset();
        }
        {
            const std::lock_guard lock{seen.guard};
            seen.requests.push_back(request);
        }
        std::this_thread::sleep_for(50ms);
    }
}

// Counts the requests that were sent when the new version had to be in force and were handled as only the old
// one allows: writes that the old service ran, exports that were answered 404.
int judge(fleet& deployed, const observations& seen, time_point acknowledged_at, record_file& record) {
    std::set<std::string> run_by_old_service;
    for (auto& host : deployed.hosts()) {
        if (host.backend->server_options().service == "ledger") {
            for (const auto& run : host.backend->runs()) {
                run_by_old_service.insert(run.request_id);
            }
        }
    }
    int old_service = 0;
    int not_found = 0;
    int bound = 0;
    for (const auto& request : seen.requests) {
        if (request.sent_at <= acknowledged_at + config_apply) {
            continue;
        }
        ++bound;
        const auto after =
            std::chrono::duration_cast<std::chrono::milliseconds>(request.sent_at - acknowledged_at).count();
        if (run_by_old_service.contains(request.id)) {
            ++old_service;
            record.write("CONFIG: " + request.id + ", sent " + std::to_string(after) +
                         " ms after the acknowledgement, was run by the old service");
        }
        if (request.id.starts_with('e') && request.status == status_not_found) {
            ++not_found;
            record.write("CONFIG: " + request.id + ", sent " + std::to_string(after) +
                         " ms after the acknowledgement, was answered 404");
        }
    }
    std::cout << "requests bound by the new version " << bound << ", run by the old service " << old_service
              << ", answered 404 " << not_found << '\n';
    return old_service + not_found;
}

int run_case(const std::string& folder, const std::string& record_path, bool trouble) {
    record_file record{record_path};
    std::vector<backend_options> backends;
    for (int index = 1; index <= 6; ++index) {
        const std::string service = index <= 3 ? "ledger" : "archive";
        backends.push_back({.id = "i-" + service + '-' + std::to_string(index),
                            .service = service,
                            .address = {},
                            .seed = static_cast<unsigned>(index)});
    }
    fleet deployed{record, folder, ".", backends};
    deployment configured{
        .routes = {{.name = "write", .path_prefix = "/write/", .kind = "unsafe", .service = "ledger"}},
        .services = {"ledger", "archive"},
        .limits = {}};
    if (!deployed.start(configured)) {
        std::cerr << "the deployment did not start\n";
        return exit_not_run;
    }
    std::this_thread::sleep_for(contact + 1s);
    observations seen;
    std::atomic<bool> stopping = false;
    std::vector<std::thread> clients;
    int number = 0;
    for (auto& host : deployed.hosts()) {
        for (int client = 0; client < clients_per_node; ++client) {
            clients.emplace_back([&, id = ++number] { run_client(id, host.callers, stopping, seen); });
        }
    }
    std::this_thread::sleep_for(3s);
    configured.routes[0].service = "archive";
    configured.routes.push_back({.name = "export",
                                 .path_prefix = "/export/",
                                 .kind = "safe",
                                 .service = "archive",
                                 .timeout_ms = trouble ? long_timeout_ms : usual_timeout_ms});
    deployed.configure(configured);
    const auto acknowledged_at = steady_clock::now();
    std::this_thread::sleep_for(observed);
    stopping = true;
    for (auto& client : clients) {
        client.join();
    }
    return judge(deployed, seen, acknowledged_at, record) > 0 ? exit_broken : exit_held;
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
