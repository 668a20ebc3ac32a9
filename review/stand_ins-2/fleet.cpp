// Addresses, settings files and processes of the small deployment.
#include "stand_ins-2/fleet.hpp"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using nlohmann::json;

constexpr auto poll_period = std::chrono::milliseconds{20};
constexpr auto start_timeout = std::chrono::seconds{15};
constexpr int first_port = 20'000; // below the kernel's range of ephemeral ports
constexpr int port_range = 10'000;
constexpr int ports_of_host = 5; // callers, peers, operators, backend, store
constexpr int network_count = 200;
constexpr std::size_t first_unused_host = 200; // last part of addresses of hosts that are gone

struct location {
    const char* zone;
    const char* region;
};
constexpr location locations[] = {{"dakar-a", "dakar"}, {"kaolack-a", "kaolack"}};

// Bounds of the site tvr-mesh.
constexpr const char* grace_s = "6";
constexpr const char* memory_mb = "260";
constexpr const char* budget_ratio = "0.2";
constexpr const char* retry_slack = "62";
constexpr const char* cold_overshoot = "1.5";
constexpr const char* cold_slack = "5";
constexpr const char* config_apply_ms = "2500";
constexpr double cold_start_s = 3.0;

void replace_all(std::string& text, const std::string& from, const std::string& to) {
    for (auto found = text.find(from); found != std::string::npos;
         found = text.find(from, found + to.size())) {
        text.replace(found, from.size(), to);
    }
}

[[nodiscard]] std::string quoted(const std::string& text) {
    return '"' + text + '"';
}

} // namespace

fleet::fleet(record_file& written_record, std::string files_folder, std::string repository_folder,
             const std::vector<backend_options>& backends)
    : record{&written_record}, folder{std::move(files_folder)}, repository{std::move(repository_folder)} {
    for (const auto& planned : backends) {
        const auto index = this->host_list.size();
        auto& host = this->host_list.emplace_back();
        host.name = "h" + std::to_string(index + 1);
        host.zone = locations[index % std::size(locations)].zone;
        host.region = locations[index % std::size(locations)].region;
        host.backend = std::make_unique<backend_server>(written_record, planned);
    }
}

fleet::~fleet() {
    for (auto& host : this->host_list) {
        if (host.node != 0) {
            kill(host.node, SIGKILL);
            waitpid(host.node, nullptr, 0);
        }
    }
    for (auto& host : this->host_list) {
        host.backend->stop();
    }
    this->store.stop();
}

bool fleet::choose_addresses() {
    std::mt19937 random{std::random_device{}()};
    for (int attempt = 0; attempt < 20; ++attempt) {
        const auto network = std::to_string(1 + random() % network_count) + '.' +
                             std::to_string(1 + random() % network_count) + '.';
        const auto base = static_cast<int>(first_port + random() % port_range);
        bool all_free = true;
        const auto port = [base](int offset) { return static_cast<std::uint16_t>(base + offset); };
        for (std::size_t index = 0; index < this->host_list.size(); ++index) {
            auto& host = this->host_list[index];
            const auto ip = "127." + network + std::to_string(index + 1);
            host.callers = {ip, port(0)};
            host.peers = {ip, port(1)};
            host.operators = {ip, port(2)};
            const endpoint server{ip, port(3)};
            auto planned = host.backend->server_options();
            planned.address = server;
            host.backend = std::make_unique<backend_server>(*this->record, planned);
            for (int offset = 0; offset < ports_of_host; ++offset) {
                http_listener probe;
                all_free = all_free && probe.start({ip, port(offset)}, [](http_connection&) {});
            }
        }
        this->store_address = {this->host_list.front().callers.ip, port(4)};
        if (all_free) {
            return true;
        }
    }
    return false;
}

bool fleet::start(const deployment& configured) {
    this->stale_seeds = configured.stale_seeds;
    if (!this->choose_addresses() || !this->store.start(this->store_address)) {
        return false;
    }
    for (auto& host : this->host_list) {
        if (!host.backend->start()) {
            return false;
        }
    }
    this->configure(configured);
    for (const auto& host : this->host_list) {
        this->register_backend(host);
    }
    for (auto& host : this->host_list) {
        this->start_node(host);
    }
    const auto deadline = steady_clock::now() + start_timeout;
    for (const auto& host : this->host_list) {
        if (!this->wait_until_ready(host, deadline)) {
            return false;
        }
    }
    return true;
}

void fleet::register_backend(const fleet_host& host) {
    const auto& backend = host.backend->server_options();
    const json entry{{"address", to_string(backend.address)},
                     {"info",
                      {{"service", backend.service},
                       {"config_version", "v1"},
                       {"zone", host.zone},
                       {"slots", backend.slots}}},
                     {"status", {{"state", "ready"}, {"seq", ++this->sequence}, {"cold_left_ms", 0}}}};
    this->store.put("servers/" + backend.id, entry.dump());
}

void fleet::configure(const deployment& configured) {
    auto routes = json::array();
    for (const auto& route : configured.routes) {
        routes.push_back({route.name, route_host, route.path_prefix, route.kind, route.timeout_ms,
                          route.target_latency_ms, route.priority, route.service, route.max_attempts,
                          json::array(), nullptr});
    }
    auto services = json::array();
    for (const auto& name : configured.services) {
        services.push_back({name, "/health", 260, cold_start_s, configured.cold_per_s});
    }
    const json config{{"config_version", ++this->version},
                      {"routes",
                       {{"columns",
                         {"name", "host", "path_prefix", "route_type", "timeout_ms", "target_latency_ms",
                          "priority", "service", "max_attempts", "allowed_regions", "traffic_split"}},
                        {"rows", routes}}},
                      {"services",
                       {{"columns", {"name", "health_path", "max_connections", "cold_start_s", "cold_per_s"}},
                        {"rows", services}}},
                      {"limits",
                       {{"max_header_bytes", 16'384},
                        {"max_body_bytes", configured.limits.max_body_bytes},
                        {"header_timeout_ms", configured.limits.header_timeout_ms},
                        {"idle_timeout_ms", configured.limits.idle_timeout_ms}}}};
    this->store.put("op/config", config.dump());
    this->record->write("operator writes configuration " + std::to_string(this->version));
}

std::string fleet::settings(const fleet_host& host) const {
    std::ifstream stream{this->repository + "/deploy/node.json"};
    std::stringstream contents;
    contents << stream.rdbuf();
    auto text = contents.str();
    std::string seeds;
    for (std::size_t index = 0; index < std::min<std::size_t>(3, this->host_list.size()); ++index) {
        auto seed = this->host_list[index].peers;
        if (this->stale_seeds) {
            seed.ip = seed.ip.substr(0, seed.ip.rfind('.')) + '.' + std::to_string(first_unused_host + index);
        }
        seeds += (index > 0 ? "," : "") + quoted(to_string(seed));
    }
    std::string zones;
    for (const auto& listed : locations) {
        zones += std::string{zones.empty() ? "" : ","} + R"({"name": ")" + listed.zone + R"(", "region": ")" +
                 listed.region + "\"}";
    }
    const std::pair<const char*, std::string> values[] = {
        {R"({{#seeds}}{{.|json}}{{,}}{{/seeds}})", seeds},
        {R"({{#zones}}{"name": "{{@}}", "region": {{.|json}} }{{,}}{{/zones}})", zones},
        {"{{node_name|json}}", quoted(host.name)},
        {"{{zone|json}}", quoted(host.zone)},
        {"{{service|json}}", quoted(host.backend->server_options().service)},
        {"{{listen.outbound|json}}", quoted(to_string(host.callers))},
        {"{{listen.control|json}}", quoted(to_string(host.peers))},
        {"{{listen.ready|json}}", quoted(to_string(host.operators))},
        {"{{app_addr|json}}", quoted(to_string(host.backend->server_options().address))},
        {"{{cloud_api.address|json}}", quoted(to_string(this->store_address))},
        {"{{bounds.grace_s}}", grace_s},
        {"{{limits.memory_mb}}", memory_mb},
        {"{{bounds.budget_ratio}}", budget_ratio},
        {"{{bounds.retry_slack}}", retry_slack},
        {"{{bounds.cold_overshoot}}", cold_overshoot},
        {"{{bounds.cold_slack}}", cold_slack},
        {"{{bounds.config_apply_ms}}", config_apply_ms}};
    for (const auto& [placeholder, value] : values) {
        replace_all(text, placeholder, value);
    }
    return text;
}

void fleet::start_node(fleet_host& host) {
    const auto settings_file = this->folder + '/' + host.name + ".json";
    std::ofstream{settings_file} << this->settings(host);
    const auto program = this->repository + "/target/chervilturn-platform-node";
    const auto log_file = this->folder + '/' + host.name + ".log";
    const char* const arguments[] = {program.c_str(), "--config", settings_file.c_str(), nullptr};
    host.node = fork();
    if (host.node == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // never outlives the case
        const int log = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execv(program.c_str(), const_cast<char* const*>(arguments));
        _exit(127);
    }
    this->record->write("starts the node of " + host.name);
}

void fleet::signal_node(const fleet_host& host, int number) {
    if (host.node != 0) {
        this->record->write("sends " + std::string{strsignal(number)} + " to the node of " + host.name);
        kill(host.node, number);
    }
}

bool fleet::wait_for_end(fleet_host& host, time_point deadline) {
    while (host.node != 0) {
        int status = 0;
        if (waitpid(host.node, &status, WNOHANG) == host.node) {
            this->record->write("the node of " + host.name + " has ended with " + std::to_string(status));
            host.node = 0;
            return true;
        }
        if (steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_period);
    }
    return true;
}

bool fleet::is_ready(const fleet_host& host) {
    auto connection = http_connection::connect(host.operators);
    http_message response;
    return connection && connection->write("GET /ready HTTP/1.1\r\nHost: node\r\n\r\n") &&
           connection->read(response, steady_clock::now() + std::chrono::seconds{1}) == read_end::complete &&
           response.status() == 200;
}

bool fleet::wait_until_ready(const fleet_host& host, time_point deadline) {
    while (!this->is_ready(host)) {
        if (steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_period);
    }
    return true;
}

} // namespace review
