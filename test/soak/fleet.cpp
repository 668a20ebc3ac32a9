// Starts and stops the nodes and backend servers of a soak and writes their entries and configuration to the
// store.
#include "fleet.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace chervilturn::soak {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto heartbeat_period = 1s; // of the entries of backend servers in the store
constexpr std::uint32_t heartbeats_until_removed = 3;
constexpr auto readiness_period = 500ms;
constexpr auto process_check_period = 50ms;
constexpr microseconds max_restart_delay = 2s;  // between the end of a node's process and its restart
constexpr std::uint32_t versions_per_route = 3; // consecutive configurations with the route of a version
constexpr std::uint16_t first_port = 21'000;    // below the kernel's range of ephemeral ports
// Host h has the address 127.N.n.h. N and n depend on the process id, so that parallel soaks do not collide.
constexpr int first_network = 64; // lowest N

// Hosts come in groups of four, one in each data centre. Entry i is the service of group i. Requests that run
// at lookup-svc call leaf-svc.
constexpr std::array<const char*, 8> services_by_group{"lookup-svc", "record-svc", "leaf-svc", "lookup-svc",
                                                       "record-svc", "lookup-svc", "leaf-svc", "record-svc"};
constexpr std::array<std::array<const char*, 2>, 4> locations{
    {{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}, {"south-b", "south"}}};

[[nodiscard]] json make_route_row(const std::string& name, const std::string& prefix, const char* kind,
                                  int timeout_ms, const std::string& service, const json& homes) {
    return {name, route_host, prefix, kind, timeout_ms, 500, 1, service, 2, homes, nullptr};
}

// A route that no caller uses, with a value that a store may accept and few settings expect. Each fifth one
// cannot be read.
[[nodiscard]] json make_odd_route_row(std::uint32_t version) {
    auto row = make_route_row("odd", "/odd/", "safe", 1500, "leaf-svc", json::array());
    constexpr std::uint32_t kinds = 5;
    switch (version % kinds) {
    case 0:
        row[4] = 7'200'000.5;
        break;
    case 1:
        row[8] = 1'000'000;
        break;
    case 2:
        row[9] = {"north", "north"};
        break;
    case 3:
        row[7] = nullptr;
        row[10] = {{{"service", "leaf-svc"}, {"weight", 0.25}}, {{"service", "record-svc"}, {"weight", 0.5}}};
        break;
    default:
        row[9] = "everywhere";
    }
    return row;
}

constexpr int memory_limit_mb = 260; // of a host

void replace_all(std::string& text, const std::string& from, const std::string& to) {
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

} // namespace

fleet::fleet(event_loop& main_loop, invariant_checker& invariants, test::processes& process_runner,
             const fleet_options& values)
    : loop{&main_loop}, checker{&invariants}, node_processes{&process_runner}, options{values},
      random{values.seed}, metadata_store{main_loop, {.page_items = 10, .history = 400}},
      heartbeat_timer{main_loop, [this] { this->heartbeat(); }}, readiness_timer{main_loop,
                                                                                 [this] {
                                                                                     this->poll_readiness();
                                                                                 }},
      process_timer{main_loop, [this] { this->check_processes(); }} {
    for (const auto& location : locations) {
        this->data_centre_names.emplace_back(location[0]);
    }
}

void fleet::start() {
    for (std::size_t index = 0; index < this->options.hosts; ++index) {
        this->add_host(index);
    }
    this->publish_configuration();
    for (auto& member : this->host_list) {
        this->start_server(member, false);
        this->start_node(member);
    }
    this->heartbeat_timer.start_periodic(heartbeat_period);
    this->readiness_timer.start_periodic(readiness_period);
    this->process_timer.start_periodic(process_check_period);
}

void fleet::add_host(std::size_t index) {
    const auto process_id = static_cast<int>(getpid());
    const auto ip = "127." + std::to_string(first_network + process_id / 250 % 128) + '.' +
                    std::to_string(1 + process_id % 250) + '.' + std::to_string(index + 1);
    const auto& location = locations.at(index % locations.size());
    auto& member = this->host_list.emplace_back();
    member.name = "h" + std::to_string(index + 1);
    member.data_centre = location[0];
    member.region = location[1];
    member.service = services_by_group.at(index / locations.size() % services_by_group.size());
    std::uint16_t port = first_port;
    for (auto* endpoint : {&member.caller_address, &member.operator_address, &member.relay_address,
                           &member.peer_address, &member.store_address}) {
        *endpoint = {ip, port++};
    }
    if (!succeeded(this->metadata_store.listen(member.name, member.store_address))) {
        throw std::runtime_error{"the store cannot listen on " + to_string(member.store_address)};
    }
    member.relay =
        std::make_unique<stand_ins::relay_stand_in>(*this->loop, member.relay_address, member.peer_address);
    member.server =
        std::make_unique<test::backend_stand_in>(*this->loop, *this->checker,
                                                 test::backend_options{.host = member.name,
                                                                       .service = member.service,
                                                                       .data_centre = member.data_centre,
                                                                       .region = member.region,
                                                                       .listen_address = {ip, port},
                                                                       .outbound = member.caller_address,
                                                                       .seed = this->random.bits()});
    member.readiness =
        std::make_unique<http_client>(*this->loop, member.operator_address, http_client_options{});
}

std::string fleet::settings_text(const host& member, const std::string& log_level) const {
    std::ifstream stream{this->options.settings_template};
    std::stringstream contents;
    contents << stream.rdbuf();
    auto text = contents.str();
    const auto quote = [](const std::string& value) { return '"' + value + '"'; };
    std::string seeds;
    std::string data_centres_text;
    for (std::size_t index = 0; index < locations.size(); ++index) {
        seeds += (index > 0 ? "," : "") + quote(to_string(this->host_list.at(index).relay_address));
        data_centres_text += std::string{index > 0 ? "," : ""} + R"({"name": ")" + locations.at(index)[0] +
                             R"(", "region": ")" + locations.at(index)[1] + "\"}";
    }
    replace_all(text, R"({{#seeds}}{{.|json}}{{,}}{{/seeds}})", seeds);
    replace_all(text, R"({{#zones}}{"name": "{{@}}", "region": {{.|json}} }{{,}}{{/zones}})",
                data_centres_text);
    replace_all(text, "{{node_name|json}}", quote(member.name));
    replace_all(text, "{{zone|json}}", quote(member.data_centre));
    replace_all(text, "{{service|json}}", quote(member.service));
    replace_all(text, "{{listen.outbound|json}}", quote(to_string(member.caller_address)));
    replace_all(text, "{{listen.control|json}}", quote(to_string(member.peer_address)));
    replace_all(text, "{{listen.ready|json}}", quote(to_string(member.operator_address)));
    replace_all(text, "{{app_addr|json}}", quote(to_string(member.server->server_options().listen_address)));
    replace_all(text, "{{cloud_api.address|json}}", quote(to_string(member.store_address)));
    replace_all(text, "{{bounds.budget_ratio}}", std::to_string(this->options.limits.budget_ratio));
    replace_all(text, "{{bounds.retry_slack}}", std::to_string(this->options.limits.retry_slack));
    replace_all(text, "{{bounds.cold_overshoot}}", std::to_string(this->options.limits.cold_overshoot));
    replace_all(text, "{{bounds.cold_slack}}", std::to_string(this->options.limits.cold_slack));
    replace_all(
        text, "{{bounds.config_apply_ms}}",
        std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(this->options.limits.settings).count()));
    replace_all(text, "{{limits.memory_mb}}", std::to_string(memory_limit_mb));
    replace_all(text, "{{bounds.grace_s}}", std::to_string(to_seconds(this->options.limits.grace)));
    if (const auto unknown = text.find("{{"); unknown != std::string::npos) {
        throw std::runtime_error{"the soak does not know " +
                                 text.substr(unknown, text.find("}}", unknown) - unknown + 2) +
                                 " of the settings template"};
    }
    replace_all(text, R"("log_level": "info")",
                R"("reachable_at": ")" + to_string(member.relay_address) + R"(", "log_level": ")" +
                    log_level + '"');
    return text;
}

void fleet::write_settings(const host& member, bool readable) {
    const auto text = this->settings_text(member, this->random.index(2) == 0 ? "info" : "debug");
    std::ofstream stream{this->node_processes->folder() + '/' + member.name + ".json"};
    stream << (readable ? text : text.substr(0, text.size() / 2));
}

void fleet::start_node(host& member) {
    if (member.process != 0) {
        return;
    }
    this->write_settings(member, true); // a node refuses to start with an unreadable file
    member.process =
        this->node_processes->spawn({"chervilturn-platform-node", "--config",
                                     this->node_processes->folder() + '/' + member.name + ".json"},
                                    member.name + ".log");
    ++member.lifetime;
    member.stop_requested = false;
    member.killed = false;
}

void fleet::stop_node(host& member) {
    if (member.process == 0 || member.stop_requested) {
        return;
    }
    member.stop_requested = true;
    member.stop_requested_at = monotonic_clock::now();
    this->checker->on_stop_requested(member.name, member.stop_requested_at);
    this->node_processes->signal(member.process, SIGTERM);
}

void fleet::kill_node(host& member) {
    if (member.process != 0) {
        member.killed = true;
        this->node_processes->signal(member.process, SIGKILL);
    }
}

void fleet::pause_node(const host& member) {
    if (member.process != 0) {
        this->node_processes->signal(member.process, SIGSTOP);
    }
}

void fleet::resume_node(const host& member) {
    if (member.process != 0) {
        this->node_processes->signal(member.process, SIGCONT);
    }
}

void fleet::signal_reload(const host& member) {
    if (member.process != 0) {
        this->node_processes->signal(member.process, SIGHUP);
    }
}

void fleet::check_processes() {
    const auto now = monotonic_clock::now();
    for (auto& member : this->host_list) {
        if (member.process == 0) {
            if (!this->shutting_down && now >= member.restart_at) {
                this->start_node(member);
            }
            continue;
        }
        const int code = this->node_processes->exit_code(member.process);
        if (code != test::processes::still_running) {
            this->on_process_ended(member, code);
        } else if (member.stop_requested && !member.killed &&
                   now > member.stop_requested_at + this->options.limits.grace) {
            this->checker->on_process_ended(member.name + " still runs after its grace time");
            this->kill_node(member);
        }
    }
}

void fleet::on_process_ended(host& member, int code) {
    const auto now = monotonic_clock::now();
    const bool unexpected = !member.killed && (!member.stop_requested || code != 0);
    this->checker->on_process_ended(
        unexpected ? member.name + " ended unexpectedly with status " + std::to_string(code) : "");
    member.process = 0;
    member.restart_at = now + microseconds{static_cast<std::int64_t>(
                                  this->random.uniform(0.0, static_cast<double>(max_restart_delay.count())))};
    this->ready_hosts.erase(member.name);
    if (!member.recovering) {
        member.recovering = true;
        this->checker->on_disturbed(member.name, now);
    }
}

void fleet::poll_readiness() {
    for (auto& member : this->host_list) {
        if (member.process == 0) {
            continue;
        }
        static_cast<void>(
            member.readiness->send({.method = "GET", .target = "/ready", .headers = {}, .body = {}},
                                   readiness_period, [this, &member](const http_result& result) {
                                       const auto* response = std::get_if<http_response>(&result);
                                       if (response == nullptr || response->status != 200) {
                                           this->ready_hosts.erase(member.name);
                                           return;
                                       }
                                       this->ready_hosts.insert(member.name);
                                       if (member.recovering) {
                                           member.recovering = false;
                                           this->checker->on_undisturbed(member.name, monotonic_clock::now());
                                       }
                                   }));
    }
}

bool fleet::all_ready() const noexcept {
    return this->ready_hosts.size() == this->host_list.size();
}

std::size_t fleet::running() const noexcept {
    return static_cast<std::size_t>(std::count_if(this->host_list.begin(), this->host_list.end(),
                                                  [](const host& member) { return member.process != 0; }));
}

void fleet::stop_all() {
    this->shutting_down = true;
    for (auto& member : this->host_list) {
        this->stop_node(member);
    }
}

void fleet::start_server(host& member, bool cold) {
    if (member.server->running()) {
        return;
    }
    member.server->start("i-" + member.name + '-' + std::to_string(++this->started_servers));
    member.draining = false;
    if (cold) {
        member.server->become_cold();
    }
    this->write_server_entry(member);
}

// The next heartbeat removes the entry of a draining backend server. Other entries are removed after the
// usual number of missed heartbeats.
void fleet::crash_server(host& member) {
    if (member.server->running()) {
        member.server->end();
        this->ended_servers.push_back(
            {member.server->name(), member.draining ? heartbeats_until_removed : 0});
    }
}

void fleet::drain_server(host& member) {
    if (!member.server->running() || member.draining || !this->store_reachable) {
        return;
    }
    member.draining = true;
    this->write_server_entry(member);
    this->checker->on_draining(member.server->name(), monotonic_clock::now());
}

void fleet::write_server_entry(host& member) {
    if (!this->store_reachable) {
        return;
    }
    const auto wall_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
    const json entry{{"address", to_string(member.server->server_options().listen_address)},
                     {"born", wall_ms + member.clock_error_ms},
                     {"info",
                      {{"service", member.service},
                       {"version", "1"},
                       {"zone", member.data_centre},
                       {"slots", member.server->server_options().slots}}},
                     {"status",
                      {{"state", member.draining ? "draining" : "ready"},
                       {"seq", ++member.entry_sequence},
                       {"cold_left_ms", member.server->cold_left_ms()}}}};
    this->metadata_store.put("servers/" + member.server->name(), entry.dump());
}

void fleet::heartbeat() {
    if (!this->store_reachable) {
        return;
    }
    for (auto& member : this->host_list) {
        if (member.server->running()) {
            this->write_server_entry(member);
        }
    }
    std::erase_if(this->ended_servers, [this](ended_server& server) {
        if (++server.missed_heartbeats < heartbeats_until_removed) {
            return false;
        }
        this->metadata_store.remove("servers/" + server.name);
        return true;
    });
}

std::uint32_t fleet::dropped_in(std::uint32_t version) noexcept {
    return version + versions_per_route;
}

void fleet::publish_configuration() {
    if (!this->store_reachable) {
        return;
    }
    const auto next_version = this->current_version + 1;
    const json homes{"north"};
    const auto all_regions = json::array();
    const std::string moving_service = next_version % 2 == 0 ? "record-svc" : "lookup-svc";
    auto rows = json::array({make_route_row("lookup", "/lookup/", "safe", 1500, "lookup-svc", all_regions),
                             make_route_row("record", "/record/", "unsafe", 1500, "record-svc", all_regions),
                             make_route_row("home", "/home/", "safe", 1500, "lookup-svc", homes),
                             make_route_row("moving", "/moving/", "safe", 1500, moving_service, all_regions),
                             make_route_row("slow", "/slow/", "safe", 500, "lookup-svc", all_regions),
                             make_route_row("leaf", "/leaf/", "safe", 600, "leaf-svc", all_regions)});
    const std::uint32_t oldest =
        next_version < versions_per_route ? 1 : next_version + 1 - versions_per_route;
    for (auto version = oldest; version <= next_version; ++version) {
        const auto name = "v" + std::to_string(version);
        rows.push_back(make_route_row(name, '/' + name + '/', "safe", 1500, "lookup-svc", all_regions));
    }
    for (const auto& row : rows) {
        this->checker->on_service_allowed(row[0].get<std::string>(), row[7].get<std::string>());
    }
    rows.push_back(make_odd_route_row(next_version));
    auto services = json::array({{"odd-svc", "", 260, 7200.5, 0.6}});
    for (const auto* name : {"lookup-svc", "record-svc", "leaf-svc"}) {
        services.push_back({name, "/health", 260, 3.0, this->options.limits.cold_per_second});
    }
    const json config{{"config_version", next_version},
                      {"routes",
                       {{"columns",
                         {"name", "host", "path_prefix", "route_type", "timeout_ms", "target_latency_ms",
                          "priority", "service", "max_attempts", "allowed_regions", "traffic_split"}},
                        {"rows", std::move(rows)}}},
                      {"services",
                       {{"columns", {"name", "health_path", "max_connections", "cold_start_s", "cold_per_s"}},
                        {"rows", std::move(services)}}},
                      {"limits",
                       {{"max_header_bytes", 16384},
                        {"max_body_bytes", 1'000'000},
                        {"header_timeout_ms", 3000},
                        {"idle_timeout_ms", 15000}}}};
    this->current_config = config.dump();
    this->metadata_store.put("op/config", this->current_config);
    this->current_version = next_version;
    this->checker->on_configuration(next_version, monotonic_clock::now());
}

void fleet::evacuate(const std::string& data_centre) {
    if (this->store_reachable) {
        this->evacuated.insert(data_centre);
        this->metadata_store.put("op/evacuate/" + data_centre, "{}");
        this->checker->on_evacuated(data_centre, monotonic_clock::now());
    }
}

void fleet::end_evacuation(const std::string& data_centre) {
    this->checker->on_evacuation_ended(data_centre);
    this->evacuated.erase(data_centre);
    this->metadata_store.remove("op/evacuate/" + data_centre);
}

void fleet::write_again() {
    this->metadata_store.put("op/config", this->current_config);
    for (const auto& data_centre : this->data_centre_names) {
        if (this->evacuated.contains(data_centre)) {
            this->metadata_store.put("op/evacuate/" + data_centre, "{}");
        } else {
            this->metadata_store.remove("op/evacuate/" + data_centre);
        }
    }
    std::set<std::string> running_servers;
    for (auto& member : this->host_list) {
        if (member.server->running()) {
            running_servers.insert(member.server->name());
            this->write_server_entry(member);
        }
    }
    for (const auto& key : this->metadata_store.keys("servers/i-")) {
        const auto name = key.substr(std::string_view{"servers/"}.size());
        const bool is_listed =
            std::any_of(this->ended_servers.begin(), this->ended_servers.end(),
                        [&name](const ended_server& server) { return server.name == name; });
        if (!running_servers.contains(name) && !is_listed) {
            this->ended_servers.push_back({name, 0});
        }
    }
}

} // namespace chervilturn::soak
