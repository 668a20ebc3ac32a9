// MIXED: a backend server answers with more than 256 headers, the seal last, through two nodes.
#include "harness.hpp"

namespace {

using namespace review;

constexpr int hosts = 2;
constexpr int requests = 20;
constexpr int many_headers = 260; // of the backend's own, besides two of the protocol
constexpr int few_headers = 20;

constexpr const char* configuration =
    R"({"config_version":7,"routes":{"columns":["name","host","path_prefix","route_type","timeout_ms",)"
    R"("target_latency_ms","priority","service","max_attempts","allowed_regions","traffic_split"],"rows":)"
    R"([["r1","shop.example","/pay/","unsafe",1500,600,1,"svc-a",2,[],null]]},"services":{"columns":)"
    R"(["name","health_path","max_connections","protocol","tls","cold_start_s","cold_per_s"],"rows":)"
    R"([["svc-a","/health",260,"h1",false,0,1000]]},"limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

void answer_with_headers(backend& server, int count) {
    server.instead = [count](const message& request, const connection_pointer& client) {
        const auto id = request.get("Chervilturn-Request-Id");
        headers fields{{"Chervilturn-Request-Id", id}};
        for (int number = 0; number < count; ++number) {
            fields.emplace_back("X-" + std::to_string(number), "value");
        }
        fields.emplace_back("Chervilturn-Response-Seal", "seal-" + id);
        client->write(format_response(200, fields, "answer to " + id));
        client->shut_down();
        return true;
    };
}

int play(const std::string& program, record& log) {
    deployment fleet;
    if (!fleet.start(hosts, program, configuration, {.slots = 6, .work_ms = 20})) {
        log.line("the deployment did not start");
        return could_not_run;
    }
    for (auto& server : fleet.backends) {
        answer_with_headers(*server, with_trouble() ? many_headers : few_headers);
    }
    fleet.platform.remove(deployment::key_of(1)); // the clients' requests go to the other host
    sleep_ms(5000);
    int successes = 0;
    int without_seal = 0;
    for (int number = 1; number <= requests; ++number) {
        const auto client = connection::open(deployment::ip_of(1), fleet.used.callers);
        const auto id = "c-" + std::to_string(number);
        const message request{.method = "POST",
                              .target = "/pay/" + id,
                              .status = 0,
                              .fields = {{"Host", "shop.example"}},
                              .body = "transfer"};
        const auto seen = send_request(client, request, id, 1500);
        const auto seal = seen.response.get("Chervilturn-Response-Seal");
        successes += seen.status == 200 ? 1 : 0;
        without_seal += seen.status == 200 && seal != "seal-" + id ? 1 : 0;
        log.line("sent: " + id + ", status " + std::to_string(seen.status) + ", " +
                 std::to_string(seen.response.fields.size()) + " headers, seal \"" + seal + '"');
        sleep_ms(50);
    }
    for (const auto& item : fleet.backends.back()->arrivals()) {
        log.line("ran: " + item.id + " at " + item.server);
    }
    log.line("successes " + std::to_string(successes) + ", without the backend's seal " +
             std::to_string(without_seal));
    if (successes == 0) {
        return could_not_run;
    }
    return without_seal > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        return review::could_not_run;
    }
    review::record log{argv[2]};
    return play(argv[1], log);
}
