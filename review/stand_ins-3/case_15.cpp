// FAILBACK: a backend server in service becomes cold again; counts what reaches it in each second.
#include "harness.hpp"

#include <algorithm>

namespace {

using namespace review;

constexpr double bearable_per_second = 8.6; // cold_per_s, as in sites/tvr-mesh.toml
constexpr double overshoot = 1.5;           // cold_overshoot
constexpr double slack = 5.0;               // cold_slack
constexpr double bound = bearable_per_second * overshoot + slack;
constexpr double cold_ms = 3000.0; // cold_start_s
constexpr int spells = 8;
constexpr int servers = 2;
constexpr int clients = 24;
constexpr double client_period_ms = 100.0;
constexpr double window_ms = 1000.0;

constexpr const char* configuration =
    R"({"config_version":7,"routes":{"columns":["name","host","path_prefix","route_type","timeout_ms",)"
    R"("target_latency_ms","priority","service","max_attempts","allowed_regions","traffic_split"],"rows":)"
    R"([["r1","shop.example","/read/","safe",1200,500,2,"svc-a",2,[],null]]},"services":{"columns":)"
    R"(["name","health_path","max_connections","protocol","tls","cold_start_s","cold_per_s"],"rows":)"
    R"([["svc-a","/health",260,"h1",false,3.0,8.6]]},"limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

// The most arrivals of a span that lie within one second.
[[nodiscard]] int most_in_a_second(const std::vector<double>& times) {
    std::ptrdiff_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto end = std::lower_bound(first, times.end(), *first + window_ms);
        most = std::max(most, end - first);
    }
    return static_cast<int>(most);
}

void run_client(int number, int port, const std::atomic<bool>& done, std::atomic<int>& served,
                std::atomic<int>& failed) {
    const auto ip = deployment::ip_of(1 + number % servers);
    auto open_connection = connection::open(ip, port);
    for (int count = 0; !done; ++count) {
        const message request{.method = "GET",
                              .target = "/read/" + std::to_string(count),
                              .status = 0,
                              .fields = {{"Host", "shop.example"}},
                              .body = {}};
        const auto id = "c" + std::to_string(number) + '-' + std::to_string(count);
        const auto seen = send_request(open_connection, request, id, 1200);
        ++(seen.status == 200 ? served : failed);
        if (seen.status == 0) {
            open_connection = connection::open(ip, port);
        }
        sleep_ms(client_period_ms - (now_ms() - seen.sent_at_ms));
    }
}

int play(const std::string& program, record& log) {
    deployment fleet;
    if (!fleet.start(servers, program, configuration, {.slots = 6, .work_ms = 30})) {
        log.line("the deployment did not start");
        return could_not_run;
    }
    sleep_ms(5000); // longer than contact_ms
    std::atomic<bool> done = false;
    std::atomic<int> served = 0;
    std::atomic<int> failed = 0;
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int number = 0; number < clients; ++number) {
        threads.emplace_back([&, number] { run_client(number, fleet.used.callers, done, served, failed); });
    }
    sleep_ms(3000);
    auto& observed = *fleet.backends.back();
    int broken = 0;
    for (int spell = 1; spell <= spells; ++spell) {
        const double from = now_ms();
        if (with_trouble()) {
            observed.become_cold(cold_ms);
        }
        log.line("spell " + std::to_string(spell) + (with_trouble() ? ": i-2 becomes cold" : ": no trouble"));
        sleep_ms(cold_ms);
        std::vector<double> times;
        for (const auto& item : observed.arrivals()) {
            if (item.at_ms >= from && item.at_ms < from + cold_ms) {
                times.push_back(item.at_ms);
                log.line("arrival of " + item.id + " at " + std::to_string(item.at_ms - from) + " ms");
            }
        }
        const int most = most_in_a_second(times);
        const bool is_broken = with_trouble() && most > bound;
        broken += is_broken ? 1 : 0;
        log.line("most in one second: " + std::to_string(most) + ", bound " + std::to_string(bound) +
                 (is_broken ? ", broken" : ""));
        sleep_ms(1500);
    }
    done = true;
    for (auto& thread : threads) {
        thread.join();
    }
    log.line("served " + std::to_string(served) + ", not served " + std::to_string(failed) +
             ", spells with the rule broken " + std::to_string(broken) + " of " + std::to_string(spells));
    if (served == 0) {
        return could_not_run;
    }
    return broken > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        return review::could_not_run;
    }
    review::record log{argv[2]};
    return play(argv[1], log);
}
