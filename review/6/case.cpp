// All node processes are killed right after a configuration was acknowledged that has a route with a long
// timeout.
#include "stand_ins-2/fleet.hpp"

#include <csignal>
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
constexpr auto contact = 4000ms;  // bound contact_ms
constexpr auto recovery = 15s;    // bound recovery_s
constexpr auto down_time = 900ms; // of the final fault
constexpr auto after_ack = 100ms; // from the acknowledgement to the final fault
constexpr auto observed = 10s;    // after the time for recovery
constexpr double served_share = 0.25;
constexpr int long_timeout_ms = 2 * 3600 * 1000;
constexpr int clients_per_node = 3;
constexpr int status_ok = 200;

/// @brief One request and its answer.
struct observation {
    time_point sent_at;
    int status = 0;
};

/// @brief What the clients saw.
struct observations {
    std::mutex guard;
    std::vector<observation> requests;
};

/// @brief Answers in a span of time.
struct summary {
    int sent = 0;
    int served = 0;
    std::map<int, int> by_status;

    [[nodiscard]] double share() const {
        return this->sent == 0 ? 0.0 : static_cast<double>(this->served) / this->sent;
    }
};

// Sends unsafe requests one after the other on a kept connection.
void run_client(int number, const endpoint& node, const std::atomic<bool>& stopping, observations& seen) {
    std::optional<http_connection> connection;
    for (int sequence = 1; !stopping; ++sequence) {
        if (!connection) {
            connection = http_connection::connect(node);
        }
        observation request{.sent_at = steady_clock::now()};
        if (connection) {
            connection->write(
                message_text({.start_line = "POST /write/20/100 HTTP/1.1",
                              .headers = {{"Host", route_host},
                                          {"Chervilturn-Request-Id",
                                           "w" + std::to_string(number) + '-' + std::to_string(sequence)},
                                          {"Chervilturn-Deadline-Ms", std::to_string(time_budget.count())}},
                              .body = "transfer"}));
            http_message response;
            const auto end = connection->read(response, request.sent_at + time_budget + 500ms);
            request.status = end == read_end::complete ? response.status() : 0;
            if (end != read_end::complete || response.header("connection") == "close") {
                connection.reset();
            }
        }
        {
            const std::lock_guard lock{seen.guard};
            seen.requests.push_back(request);
        }
        std::this_thread::sleep_for(request.status == status_ok ? 50ms : 200ms);
    }
}

[[nodiscard]] summary summarise(const observations& seen, time_point from, time_point until) {
    summary counted;
    for (const auto& request : seen.requests) {
        if (request.sent_at >= from && request.sent_at < until) {
            ++counted.sent;
            counted.served += request.status == status_ok ? 1 : 0;
            ++counted.by_status[request.status];
        }
    }
    return counted;
}

void print(const char* span, const summary& counted, record_file& record) {
    std::string line = std::string{span} + ": sent " + std::to_string(counted.sent) + ", served " +
                       std::to_string(counted.served) + ", by status";
    for (const auto& [status, count] : counted.by_status) {
        line += ' ' + std::to_string(status) + ": " + std::to_string(count);
    }
    std::cout << line << '\n';
    record.write(line);
}

int run_case(const std::string& folder, const std::string& record_path, bool trouble) {
    record_file record{record_path};
    std::vector<backend_options> backends;
    for (int index = 1; index <= 6; ++index) {
        backends.push_back({.id = "i-ledger-" + std::to_string(index),
                            .service = "ledger",
                            .address = {},
                            .seed = static_cast<unsigned>(index)});
    }
    fleet deployed{record, folder, ".", backends};
    deployment configured{
        .routes = {{.name = "write", .path_prefix = "/write/", .kind = "unsafe", .service = "ledger"}},
        .services = {"ledger"},
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
    const auto load_start = steady_clock::now();
    std::this_thread::sleep_for(3s);
    configured.routes.push_back({.name = "export",
                                 .path_prefix = "/export/",
                                 .kind = "safe",
                                 .service = "ledger",
                                 .timeout_ms = long_timeout_ms});
    deployed.configure(configured);
    std::this_thread::sleep_for(after_ack);
    const auto fault = steady_clock::now();
    bool all_ended = true;
    if (trouble) {
        for (auto& host : deployed.hosts()) {
            deployed.signal_node(host, SIGKILL);
        }
        for (auto& host : deployed.hosts()) {
            all_ended = deployed.wait_for_end(host, fault + 2s) && all_ended;
        }
        std::this_thread::sleep_until(fault + down_time);
        for (auto& host : deployed.hosts()) {
            deployed.start_node(host);
        }
    }
    const auto back = steady_clock::now();
    std::this_thread::sleep_until(back + recovery + observed);
    stopping = true;
    for (auto& client : clients) {
        client.join();
    }
    if (!all_ended) {
        return exit_not_run;
    }
    const auto before = summarise(seen, load_start, fault - time_budget);
    const auto after = summarise(seen, back + recovery, back + recovery + observed);
    print("before the final fault", before, record);
    print("later than recovery_s after it", after, record);
    return before.share() >= served_share && after.share() < served_share ? exit_broken : exit_held;
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
