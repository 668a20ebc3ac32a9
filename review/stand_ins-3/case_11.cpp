// TWICE and REFUSED: backend servers send rejections of status checks once more, late; counts unsafe requests
// that run more than once, and those that are refused although they ran.
#include "harness.hpp"

#include <cmath>
#include <map>
#include <random>

namespace {

using namespace review;

constexpr int hosts = 5;
constexpr int faulty_hosts = 3;     // garble, share: 0.6 at most in sites/tvr-mesh.toml
constexpr double copy_share = 0.03; // garble, x: 0.03 with "extra late" there
constexpr double window_ms = 5000;  // garble, for_s: 5.0 there
constexpr double pause_ms = 500;
constexpr int windows = 17;
constexpr int readers_of_host = 14;
constexpr int payers_of_host = 4;
constexpr double wave_ms = 1800;      // readers come in waves
constexpr double crest_ms = 900;      // and send nothing in the rest of each
constexpr double leaving_share = 0.3; // give_up, share: 0.3 there
constexpr double aim_ms = 500;        // clients who leave do so within half of it

constexpr const char* configuration =
    R"({"config_version":7,"routes":{"columns":["name","host","path_prefix","route_type","timeout_ms",)"
    R"("target_latency_ms","priority","service","max_attempts","allowed_regions","traffic_split"],"rows":)"
    R"([["r1","shop.example","/read/","safe",1500,500,2,"svc-a",2,[],null],)"
    R"(["r2","shop.example","/pay/","unsafe",1500,600,1,"svc-a",2,[],null]]},"services":{"columns":)"
    R"(["name","health_path","max_connections","protocol","tls","cold_start_s","cold_per_s"],"rows":)"
    R"([["svc-a","/health",260,"h1",false,0,1000]]},"limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

struct shared_state {
    std::atomic<bool> done = false;
    std::atomic<bool> some_leave = false;
    std::mutex guard;
    std::vector<outcome> payments;
    std::atomic<int> reads_served = 0;
};

[[nodiscard]] message request_for(const std::string& method, const std::string& target) {
    return {
        .method = method, .target = target, .status = 0, .fields = {{"Host", "shop.example"}}, .body = {}};
}

void run_reader(int number, const std::string& ip, int port, shared_state& state) {
    std::mt19937 random{static_cast<unsigned>(number)};
    std::uniform_real_distribution<double> share{0.0, 1.0};
    auto open_connection = connection::open(ip, port);
    for (int count = 0; !state.done; ++count) {
        const double phase = std::fmod(now_ms(), wave_ms);
        if (phase > crest_ms) {
            sleep_ms(wave_ms - phase);
        }
        const auto id = "r" + std::to_string(number) + '-' + std::to_string(count);
        const auto request = request_for("GET", "/read/" + id);
        if (state.some_leave && share(random) < leaving_share && open_connection != nullptr) {
            auto sent = request;
            sent.fields.emplace_back("Chervilturn-Request-Id", id);
            sent.fields.emplace_back("Chervilturn-Deadline-Ms", "1500");
            open_connection->write(format_request(sent));
            sleep_ms(aim_ms / 2 * share(random));
            open_connection->close();
            open_connection = connection::open(ip, port);
            continue;
        }
        const auto seen = send_request(open_connection, request, id, 1500);
        state.reads_served += seen.status == 200 ? 1 : 0;
        if (seen.status == 0) {
            open_connection = connection::open(ip, port);
        }
        sleep_ms(20 + 40 * share(random));
    }
}

void run_payer(int number, const std::string& ip, int port, shared_state& state) {
    std::mt19937 random{static_cast<unsigned>(1000 + number)};
    std::uniform_real_distribution<double> share{0.0, 1.0};
    auto open_connection = connection::open(ip, port);
    for (int count = 0; !state.done; ++count) {
        const auto id = "p" + std::to_string(number) + '-' + std::to_string(count);
        auto seen = send_request(open_connection, request_for("POST", "/pay/" + id), id, 1500);
        if (seen.status == 0) {
            open_connection = connection::open(ip, port);
        }
        {
            const std::lock_guard lock{state.guard};
            state.payments.push_back(std::move(seen));
        }
        sleep_ms(100 + 300 * share(random));
    }
}

int judge(deployment& fleet, const shared_state& state, record& log) {
    std::map<std::string, std::vector<arrival>> runs;
    for (const auto& server : fleet.backends) {
        for (const auto& item : server->arrivals()) {
            if (item.ran) {
                runs[item.id].push_back(item);
            }
        }
    }
    int twice = 0;
    int refused = 0;
    for (const auto& seen : state.payments) {
        const auto found = runs.find(seen.id);
        const auto count = found == runs.end() ? 0 : found->second.size();
        const bool is_promise =
            seen.status == 503 || seen.status == 429 || seen.status == 408 || seen.status == 421;
        log.line("sent: " + seen.id + ", status " + std::to_string(seen.status) + " at " +
                 std::to_string(seen.ended_at_ms) + " ms, ran " + std::to_string(count) +
                 (count > 1 ? " TWICE" : "") + (count > 0 && is_promise ? " REFUSED" : ""));
        for (std::size_t index = 0; count > 1 && index < count; ++index) {
            log.line("    run at " + found->second[index].server + " from " +
                     std::to_string(found->second[index].at_ms) + " ms");
        }
        twice += count > 1 ? 1 : 0;
        refused += count > 0 && is_promise ? 1 : 0;
    }
    log.line("unsafe requests " + std::to_string(state.payments.size()) + ", ran more than once " +
             std::to_string(twice) + ", refused and ran " + std::to_string(refused) + ", safe ones served " +
             std::to_string(state.reads_served));
    if (state.payments.empty() || state.reads_served == 0) {
        return could_not_run;
    }
    return twice + refused > 0 ? rule_broken : rule_held;
}

int play(const std::string& program, record& log) {
    deployment fleet;
    if (!fleet.start(hosts, program, configuration,
                     {.slots = 6, .queue = 2, .work_ms = 350, .tells_load = false})) {
        log.line("the deployment did not start");
        return could_not_run;
    }
    sleep_ms(5000);
    shared_state state;
    std::vector<std::thread> threads;
    threads.reserve(std::size_t{hosts} * (readers_of_host + payers_of_host));
    for (int number = 0; number < hosts * readers_of_host; ++number) {
        threads.emplace_back([&, number] {
            run_reader(number, deployment::ip_of(1 + number % hosts), fleet.used.callers, state);
        });
    }
    for (int number = 0; number < hosts * payers_of_host; ++number) {
        threads.emplace_back([&, number] {
            run_payer(number, deployment::ip_of(1 + number % hosts), fleet.used.callers, state);
        });
    }
    for (int window = 0; window < windows; ++window) {
        state.some_leave = with_trouble();
        for (std::size_t index = 0; index < faulty_hosts; ++index) {
            fleet.backends[index]->double_rejections(with_trouble() ? copy_share : 0.0);
        }
        sleep_ms(window_ms);
        state.some_leave = false;
        for (std::size_t index = 0; index < faulty_hosts; ++index) {
            const auto [copies, answers] = fleet.backends[index]->doubled();
            log.line("window " + std::to_string(window + 1) + ": i-" + std::to_string(index + 1) +
                     " doubled " + std::to_string(copies) + " of " + std::to_string(answers) + " answers");
            fleet.backends[index]->double_rejections(0.0);
        }
        sleep_ms(pause_ms);
    }
    state.done = true;
    for (auto& thread : threads) {
        thread.join();
    }
    sleep_ms(2000);
    return judge(fleet, state, log);
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        return review::could_not_run;
    }
    review::record log{argv[2]};
    return play(argv[1], log);
}
