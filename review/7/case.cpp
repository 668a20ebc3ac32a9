// Clients send a second request behind a first one on kept connections while the machine's node gets SIGTERM.
#include "stand_ins-2/fleet.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

constexpr auto time_budget = 3000ms;
constexpr auto loss_slack = 200ms; // bound loss_slack_ms
constexpr auto grace = 6s;         // bound grace_s
constexpr int client_count = 12;
constexpr auto client_stagger = 100ms;
constexpr int misses_until_out = 2; // of the platform's readiness questions, one a second

/// @brief A request whose connection ended without its answer.
struct unanswered_request {
    std::string id;
    std::chrono::milliseconds waited{};
    bool was_read = false; // the node closed without a reset, so it had read all that was sent
};

/// @brief What the clients saw.
struct observations {
    std::mutex guard;
    int answered = 0;
    std::vector<unanswered_request> unanswered;
};

[[nodiscard]] std::string request_text(const char* method, const std::string& target, const std::string& id,
                                       const std::string& body) {
    return message_text({.start_line = std::string{method} + ' ' + target + " HTTP/1.1",
                         .headers = {{"Host", route_host},
                                     {"Chervilturn-Request-Id", id},
                                     {"Chervilturn-Deadline-Ms", std::to_string(time_budget.count())}},
                         .body = body});
}

// Sends pairs of requests, a safe one and an unsafe one behind it, until it is told to stop or the connection
// ends; reads both answers before the next pair.
void run_client(int number, const endpoint& node, const std::atomic<bool>& takes_new_work,
                record_file& record, observations& seen) {
    for (int pair = 1; takes_new_work; ++pair) {
        auto connection = http_connection::connect(node);
        if (!connection) {
            return;
        }
        for (; takes_new_work; ++pair) {
            const auto prefix = "c" + std::to_string(number) + '-' + std::to_string(pair);
            const std::string ids[] = {prefix + "-read", prefix + "-write"};
            const auto sent_at = steady_clock::now();
            record.write("client sends " + ids[0] + " and, behind it, " + ids[1]);
            if (!connection->write(request_text("GET", "/read/1200/200", ids[0], "") +
                                   request_text("POST", "/write/50/200", ids[1], "transfer"))) {
                break;
            }
            bool ended = false;
            for (const auto& id : ids) {
                http_message response;
                const auto end = connection->read(response, sent_at + time_budget);
                const std::lock_guard lock{seen.guard};
                if (end == read_end::complete) {
                    record.write("client gets " + std::to_string(response.status()) + " for " + id + ' ' +
                                 response.header("connection"));
                    ++seen.answered;
                    continue;
                }
                const auto waited =
                    std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - sent_at);
                record.write(
                    "the connection of " + id + (end == read_end::closed ? " is closed " : " is reset ") +
                    "without an answer, " + std::to_string(waited.count()) + " ms after it was sent");
                if (end != read_end::timed_out) {
                    seen.unanswered.push_back({id, waited, end == read_end::closed});
                }
                ended = true;
            }
            if (ended) {
                break;
            }
        }
    }
}

int run_case(const std::string& folder, const std::string& record_path, bool trouble) {
    record_file record{record_path};
    std::vector<backend_options> backends;
    for (int index = 1; index <= 4; ++index) {
        backends.push_back({.id = "i-ledger-" + std::to_string(index),
                            .service = "ledger",
                            .address = {},
                            .slots = 12,
                            .queue = 24,
                            .seed = static_cast<unsigned>(index)});
    }
    fleet deployed{record, folder, ".", backends};
    const deployment configured{
        .routes = {{.name = "read", .path_prefix = "/read/", .kind = "safe", .service = "ledger"},
                   {.name = "write", .path_prefix = "/write/", .kind = "unsafe", .service = "ledger"}},
        .services = {"ledger"},
        .limits = {}};
    if (!deployed.start(configured)) {
        std::cerr << "the deployment did not start\n";
        return exit_not_run;
    }
    std::this_thread::sleep_for(5s); // contact_ms and more without any disturbance
    observations seen;
    std::atomic<bool> takes_new_work = true;
    auto& host = deployed.hosts().front();
    std::vector<std::thread> clients;
    for (int number = 1; number <= client_count; ++number) {
        clients.emplace_back([&, number] {
            std::this_thread::sleep_for(client_stagger * number);
            run_client(number, host.callers, takes_new_work, record, seen);
        });
    }
    std::this_thread::sleep_for(3s);
    if (trouble) {
        deployed.signal_node(host, SIGTERM);
    }
    const auto stopped_at = steady_clock::now();
    for (int misses = 0; misses < misses_until_out && steady_clock::now() < stopped_at + grace;) {
        std::this_thread::sleep_for(1s);
        misses = deployed.is_ready(host) ? 0 : misses + 1;
    }
    record.write("clients get no new work");
    takes_new_work = false;
    for (auto& client : clients) {
        client.join();
    }
    const bool ended = !trouble || deployed.wait_for_end(host, stopped_at + grace + 1s);
    const auto lost = std::count_if(seen.unanswered.begin(), seen.unanswered.end(), [](const auto& request) {
        return request.was_read && request.waited > loss_slack;
    });
    std::cout << "answered " << seen.answered << ", read but closed without an answer " << lost << ", other "
              << seen.unanswered.size() - static_cast<std::size_t>(lost) << (ended ? "" : ", node still runs")
              << '\n';
    record.write("LOST: " + std::to_string(lost) + " requests");
    return lost > 0 ? exit_broken : exit_held;
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
