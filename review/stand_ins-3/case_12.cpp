// DRAIN: a backend server leaves without a word while the node that reads the store is down; the node beside
// the server has failed to read the store in an outage that ended long before.
#include "harness.hpp"

#include <algorithm>
#include <fstream>
#include <set>

namespace {

using namespace review;

constexpr double drain_ms = 2500.0;         // bound of sites/tvr-mesh.toml
constexpr double contact_ms = 4000.0;       // after which calm machines and the store are in touch again
constexpr double outage_ms = 6000.0;        // platform_down, how "reset": 8 s at most in that file
constexpr double node_down_ms = 3500.0;     // node_kill, for_s: 3.5 at most in that file
constexpr double serves_on_ms = 3000.0;     // drain_ms and a little longer
constexpr double since_outage_ms = 10000.0; // from the outage's end to the removal
constexpr int hosts = 3;
constexpr int clients = 4;

constexpr const char* configuration =
    R"({"config_version":7,"routes":{"columns":["name","host","path_prefix","route_type","timeout_ms",)"
    R"("target_latency_ms","priority","service","max_attempts","allowed_regions","traffic_split"],"rows":)"
    R"([["r1","shop.example","/pay/","unsafe",1500,600,1,"svc-a",2,[],null]]},"services":{"columns":)"
    R"(["name","health_path","max_connections","protocol","tls","cold_start_s","cold_per_s"],"rows":)"
    R"([["svc-a","/health",260,"h1",false,3.0,8.6]]},"limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

struct client_log {
    std::mutex guard;
    std::vector<outcome> outcomes;
};

void run_client(int number, const std::string& ip, int port, const std::atomic<bool>& done, client_log& log) {
    auto open_connection = connection::open(ip, port);
    for (int count = 0; !done; ++count) {
        const message request{.method = "POST",
                              .target = "/pay/" + std::to_string(count),
                              .status = 0,
                              .fields = {{"Host", "shop.example"}},
                              .body = "transfer"};
        auto seen = send_request(open_connection, request,
                                 "c" + std::to_string(number) + '-' + std::to_string(count), 1500);
        if (seen.status == 0) {
            open_connection = connection::open(ip, port);
        }
        {
            const std::lock_guard lock{log.guard};
            log.outcomes.push_back(std::move(seen));
        }
        sleep_ms(40);
    }
}

// The host whose node reads the store; 0 when it is not exactly one.
[[nodiscard]] int find_reader(const deployment& fleet) {
    int reader = 0;
    for (int host = 1; host <= hosts; ++host) {
        if (fleet.is_reader(host)) {
            reader = reader == 0 ? host : -1;
        }
    }
    return std::max(reader, 0);
}

// A host whose node does not read the store now but has read it at its start, by its log; 0 when there is
// none.
[[nodiscard]] int find_former_reader(const deployment& fleet) {
    for (int host = 1; host <= hosts; ++host) {
        std::ifstream lines{fleet.folder.path() + "/node-" + std::to_string(host) + ".log"};
        bool has_read = false;
        for (std::string line; std::getline(lines, line);) {
            has_read = has_read || line.find("event=platform_read ") != std::string::npos;
        }
        if (has_read && !fleet.is_reader(host)) {
            return host;
        }
    }
    return 0;
}

// Counts the requests that reach the server later than the bound, and those of them without its answer.
int judge(const std::vector<arrival>& arrivals, const std::vector<outcome>& outcomes, double removed_at,
          record& log) {
    std::set<std::string> late;
    double last = 0;
    for (const auto& item : arrivals) {
        const double after = item.at_ms - removed_at;
        log.line("reached " + item.server + ": " + item.id + " at " + std::to_string(item.at_ms) + " ms" +
                 (item.ran ? ", ran" : ", not run"));
        if (after > 0) {
            last = after;
        }
        if (after > drain_ms) {
            late.insert(item.id);
            log.line("late: " + item.id + " reached the server " + std::to_string(after) +
                     " ms after its removal was acknowledged");
        }
    }
    int unanswered = 0;
    int served = 0;
    for (const auto& seen : outcomes) {
        served += seen.status == 200 ? 1 : 0;
        log.line("sent: " + seen.id + " at " + std::to_string(seen.sent_at_ms) + " ms, status " +
                 std::to_string(seen.status) + " at " + std::to_string(seen.ended_at_ms) + " ms, " +
                 seen.how);
        if (late.contains(seen.id)) {
            log.line("late: " + seen.id + " ended for its client with status " + std::to_string(seen.status) +
                     ", " + seen.how);
            unanswered += seen.status == 200 ? 0 : 1;
        }
    }
    log.line("requests " + std::to_string(outcomes.size()) + ", served " + std::to_string(served) +
             ", last one at the server " + std::to_string(last) + " ms after the acknowledgement, bound " +
             std::to_string(drain_ms) + " ms, late " + std::to_string(late.size()) +
             ", of these not served " + std::to_string(unanswered));
    if (served == 0) {
        return could_not_run;
    }
    return late.empty() ? rule_held : rule_broken;
}

int play(const std::string& program, record& log) {
    deployment fleet;
    if (!fleet.start(hosts, program, configuration, {.slots = 6, .work_ms = 150})) {
        log.line("the deployment did not start");
        return could_not_run;
    }
    sleep_ms(contact_ms + 1000);
    const int reader = find_reader(fleet);
    const int observed = find_former_reader(fleet);
    if (reader == 0 || observed == 0) {
        log.line("not exactly one node reads the store, or no other one has read it");
        return could_not_run;
    }
    log.line("node-" + std::to_string(reader) + " reads the store; i-" + std::to_string(observed) +
             " will leave");
    if (with_trouble()) {
        log.line("store down");
        fleet.platform.pause(true);
        sleep_ms(outage_ms);
        fleet.platform.pause(false);
        log.line("store up");
    }
    sleep_ms(since_outage_ms - 2000);
    std::atomic<bool> done = false;
    client_log seen;
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int number = 0; number < clients; ++number) {
        threads.emplace_back(
            [&, number] { run_client(number, deployment::ip_of(observed), fleet.used.callers, done, seen); });
    }
    sleep_ms(2000);
    auto& reading_node = *fleet.nodes[static_cast<std::size_t>(reader) - 1];
    auto& leaving = *fleet.backends[static_cast<std::size_t>(observed) - 1];
    if (with_trouble()) {
        reading_node.end();
        log.line("node-" + std::to_string(reader) + " killed");
    }
    fleet.platform.remove(deployment::key_of(observed));
    const double removed_at = now_ms();
    log.line("removal of i-" + std::to_string(observed) + " acknowledged");
    sleep_ms(serves_on_ms);
    leaving.stop();
    log.line("i-" + std::to_string(observed) + " has ended");
    sleep_ms(node_down_ms - serves_on_ms);
    if (with_trouble()) {
        static_cast<void>(reading_node.start());
        log.line("node-" + std::to_string(reader) + " started");
    }
    sleep_ms(2000);
    done = true;
    for (auto& thread : threads) {
        thread.join();
    }
    return judge(leaving.arrivals(), seen.outcomes, removed_at, log);
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        return review::could_not_run;
    }
    review::record log{argv[2]};
    return play(argv[1], log);
}
