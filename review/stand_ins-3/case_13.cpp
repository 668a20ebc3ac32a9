// CONFIG: a route that was added later gets its first request while the backend server beside the node is
// slow; counts how often its requests are served once all is calm again.
#include "harness.hpp"

namespace {

using namespace review;

constexpr double config_apply_ms = 2500.0; // bounds of sites/tvr-mesh.toml
constexpr double contact_ms = 4000.0;
constexpr double slow_ms = 9000.0;    // srv_slow, for_s: 9.0 at most in that file
constexpr double slow_factor = 12.0;  // srv_slow, x: 12.0 at most in that file
constexpr double work_ms = 400.0;     // of a request on the later route, at usual speed
constexpr double patient_ms = 8000.0; // time budgets
constexpr double usual_ms = 3000.0;
constexpr double calm_ms = 20000.0; // of the count
constexpr int hosts = 3;
constexpr std::size_t least_requests = 20; // on later routes, as the rule has it
constexpr double least_share = 0.25;

[[nodiscard]] std::string configuration(int version, bool with_later_route) {
    return R"({"config_version":)" + std::to_string(version) +
           R"(,"routes":{"columns":["name","host","path_prefix","route_type","timeout_ms",)"
           R"("target_latency_ms","priority","service","max_attempts","allowed_regions","traffic_split"],)"
           R"("rows":[["r1","shop.example","/read/","safe",10000,1000,2,"svc-a",2,[],null])" +
           (with_later_route ? R"(,["r2","shop.example","/report/","safe",10000,1000,2,"svc-a",2,[],null])"
                             : "") +
           R"(]},"services":{"columns":["name","health_path","max_connections","protocol","tls",)"
           R"("cold_start_s","cold_per_s"],"rows":[["svc-a","/health",260,"h1",false,3.0,8.6]]},"limits":)"
           R"({"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,)"
           R"("idle_timeout_ms":15000}})";
}

struct tally {
    std::atomic<std::size_t> sent = 0;
    std::atomic<std::size_t> served = 0;

    [[nodiscard]] double share() const {
        return this->sent == 0 ? 0.0 : static_cast<double>(this->served) / static_cast<double>(this->sent);
    }
};

class client {
  public:
    client(deployment& fleet, int host, std::string client_name, record& written)
        : ip{deployment::ip_of(host)}, port{fleet.used.callers}, name{std::move(client_name)}, log{&written} {
    }

    bool send(const std::string& prefix, double budget_ms, tally* counted) {
        if (this->open_connection == nullptr) {
            this->open_connection = connection::open(this->ip, this->port);
        }
        const auto number = std::to_string(++this->count);
        const message request{.method = "GET",
                              .target = prefix + number,
                              .status = 0,
                              .fields = {{"Host", "shop.example"}},
                              .body = {}};
        const auto seen = send_request(this->open_connection, request, this->name + '-' + number, budget_ms);
        this->log->line("sent: " + seen.id + ' ' + request.target + ", budget " + std::to_string(budget_ms) +
                        " ms, status " + std::to_string(seen.status) + " after " +
                        std::to_string(seen.ended_at_ms - seen.sent_at_ms) + " ms, " + seen.how + ' ' +
                        (seen.status == 200 ? "" : seen.response.body.substr(0, 40)));
        if (seen.status == 0) {
            this->open_connection = nullptr;
        }
        if (counted != nullptr) {
            ++counted->sent;
            counted->served += seen.status == 200 ? 1 : 0;
        }
        return seen.status == 200;
    }

  private:
    std::string ip;
    int port;
    std::string name;
    record* log;
    connection_pointer open_connection;
    int count = 0;
};

// One backend server is slow for a time; then every request is done at the usual speed again.
void make_slow(backend& server, const std::atomic<double>& slow_until) {
    server.instead = [&slow_until](const message&, const connection_pointer&) {
        if (now_ms() < slow_until) {
            sleep_ms(work_ms * (slow_factor - 1.0));
        }
        return false;
    };
}

int play(const std::string& program, record& log) {
    std::atomic<double> slow_until = 0;
    deployment fleet;
    fleet.zone_each = true;
    if (!fleet.start(hosts, program, configuration(7, false), {.slots = 6, .work_ms = work_ms})) {
        log.line("the deployment did not start");
        return could_not_run;
    }
    make_slow(*fleet.backends.front(), slow_until);
    sleep_ms(contact_ms + 1000);
    fleet.platform.put("op/config", configuration(8, true));
    log.line("version 8 acknowledged, it adds the route /report/");
    sleep_ms(config_apply_ms + contact_ms);
    if (with_trouble()) {
        slow_until = now_ms() + slow_ms;
        log.line("i-1 turns slow");
    }
    const double spell_end = now_ms() + slow_ms;
    client patient{fleet, 1, "patient", log};
    const bool first_served = patient.send("/report/", patient_ms, nullptr);
    sleep_ms(spell_end - now_ms());
    log.line("i-1 is as fast as usual");
    sleep_ms(contact_ms + 1000);
    tally first_routes;
    tally later_routes;
    const double until = now_ms() + calm_ms;
    std::vector<std::thread> threads;
    threads.reserve(hosts);
    for (int host = 1; host <= hosts; ++host) {
        threads.emplace_back([&, host] {
            client usual{fleet, host, "usual" + std::to_string(host), log};
            while (now_ms() < until) {
                usual.send("/read/", usual_ms, &first_routes);
                if (host == 1) {
                    usual.send("/report/", usual_ms, &later_routes);
                }
                sleep_ms(100);
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    log.line("first route: " + std::to_string(first_routes.served) + " of " +
             std::to_string(first_routes.sent) + " served; later route: " +
             std::to_string(later_routes.served) + " of " + std::to_string(later_routes.sent) + " served");
    if (!first_served || first_routes.served == 0 || later_routes.sent < least_requests) {
        return could_not_run;
    }
    return later_routes.share() < least_share * first_routes.share() ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        return review::could_not_run;
    }
    review::record log{argv[2]};
    return play(argv[1], log);
}
