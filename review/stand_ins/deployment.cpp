// The store's calls, the nodes' processes, and the texts of registrations and configurations.
#include "deployment.hpp"

#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <iomanip>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t page_items = 500;

[[nodiscard]] std::string encode_base64(const std::string& bytes) {
    static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t start = 0; start < bytes.size(); start += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            const bool present = start + offset < bytes.size();
            group = (group << 8U) | (present ? static_cast<unsigned char>(bytes[start + offset]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            const bool padded = start + digit > bytes.size();
            text += padded ? '=' : digits[(group >> (18U - 6U * digit)) & 0x3FU];
        }
    }
    return text;
}

[[nodiscard]] std::string decode_url(const std::string& text) {
    std::string decoded;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (text[position] == '%' && position + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(position + 1, 2), nullptr, 16));
            position += 2;
        } else {
            decoded += text[position];
        }
    }
    return decoded;
}

[[nodiscard]] std::map<std::string, std::string> parse_query(const std::string& target) {
    std::map<std::string, std::string> query;
    const auto start = target.find('?');
    std::istringstream pairs{start == std::string::npos ? std::string{} : target.substr(start + 1)};
    for (std::string pair; std::getline(pairs, pair, '&');) {
        const auto equals = pair.find('=');
        query[pair.substr(0, equals)] =
            equals == std::string::npos ? std::string{} : decode_url(pair.substr(equals + 1));
    }
    return query;
}

[[nodiscard]] std::string item_json(const std::string& key, const std::string& value, std::uint64_t revision,
                                    std::uint64_t created) {
    return R"({"key":")" + key + R"(","value":")" + encode_base64(value) + R"(","rev":)" +
           std::to_string(revision) + R"(,"created_rev":)" + std::to_string(created) + R"(,"lease_id":0})";
}

void replace_all(std::string& text, const std::string& from, const std::string& to) {
    for (auto found = text.find(from); found != std::string::npos;
         found = text.find(from, found + to.size())) {
        text.replace(found, from.size(), to);
    }
}

[[nodiscard]] std::string quoted(const std::string& text) {
    return '"' + text + '"';
}

[[nodiscard]] std::string read_file(const std::string& file) {
    std::ifstream stream{file};
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace

record::record(const std::string& file) : stream{file} {}

void record::add(const std::string& line) {
    const std::lock_guard lock{this->guard};
    const std::chrono::duration<double> at = steady::now() - this->start;
    this->stream << std::fixed << std::setprecision(4) << at.count() << ' ' << line << std::endl;
}

store::store(const endpoint& where) : listener{where, [this](connection& client) { this->serve(client); }} {}

void store::put(const std::string& key, const std::string& value) {
    const std::lock_guard lock{this->guard};
    auto& stored = this->items[key];
    stored.value = value;
    stored.revision = ++this->revision;
    stored.created = stored.created == 0 ? stored.revision : stored.created;
    this->changed.notify_all();
}

void store::serve(connection& client) {
    constexpr auto idle_limit = std::chrono::seconds{120};
    message request;
    while (client.read(request, steady::now() + idle_limit) == read_end::whole) {
        const auto query = parse_query(request.target);
        const auto body = request.target.starts_with("/kv-watch") ? this->watch(query) : this->range(query);
        if (!client.send(response_text(200, {{"Content-Type", "application/json"}}, body))) {
            return;
        }
    }
}

std::string store::range(const std::map<std::string, std::string>& query) {
    const std::lock_guard lock{this->guard};
    const auto after = query.contains("after") ? query.at("after") : std::string{};
    std::string list;
    std::size_t count = 0;
    bool has_more = false;
    for (auto found = this->items.upper_bound(after); found != this->items.end(); ++found) {
        if (!found->first.starts_with(query.at("path_prefix"))) {
            continue;
        }
        has_more = count == page_items;
        if (has_more) {
            break;
        }
        ++count;
        list += (list.empty() ? "" : ",") +
                item_json(found->first, found->second.value, found->second.revision, found->second.created);
    }
    return R"({"items":[)" + list + R"(],"has_more":)" + (has_more ? "true" : "false") + R"(,"at_rev":)" +
           std::to_string(this->revision) + '}';
}

std::string store::watch(const std::map<std::string, std::string>& query) {
    std::unique_lock lock{this->guard};
    const auto after = std::stoull(query.at("after"));
    const auto wait = std::chrono::milliseconds{std::stoll(query.at("wait_ms"))};
    this->changed.wait_for(lock, wait, [this, after] { return this->revision > after; });
    std::string list;
    for (const auto& [key, stored] : this->items) {
        if (stored.revision > after && key.starts_with(query.at("path_prefix"))) {
            list += (list.empty() ? "" : ",") + item_json(key, stored.value, stored.revision, stored.created);
        }
    }
    return R"({"events":[)" + list + R"(],"at_rev":)" + std::to_string(this->revision) + '}';
}

deployment::deployment(deployment_options chosen) : options{std::move(chosen)} {}

void deployment::end_all() {
    for (const auto& [name, process] : std::exchange(this->processes, {})) {
        kill(process, SIGCONT);
        kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
    }
}

std::string deployment::settings_text(const machine& which) const {
    const auto& ports = this->options.ports;
    auto text = read_file(this->options.template_file);
    std::string zone_list;
    for (const auto& [zone, region] : this->options.zones) {
        zone_list += (zone_list.empty() ? "" : ",") + (R"({"name": )" + quoted(zone)) + R"(, "region": )" +
                     quoted(region) + '}';
    }
    std::string seed_list;
    for (std::size_t index = 0; index < this->options.machines.size() && index < 3; ++index) {
        seed_list += (seed_list.empty() ? "" : ",") +
                     quoted(to_string({this->options.machines[index].ip, ports.control}));
    }
    const std::vector<std::pair<std::string, std::string>> values{
        {"{{node_name|json}}", quoted(which.name)},
        {"{{zone|json}}", quoted(which.zone)},
        {"{{service|json}}", quoted(which.service)},
        {"{{listen.outbound|json}}", quoted(to_string({which.ip, ports.outbound}))},
        {"{{listen.control|json}}", quoted(to_string({which.ip, ports.control}))},
        {"{{listen.ready|json}}", quoted(to_string({which.ip, ports.ready}))},
        {"{{app_addr|json}}", quoted(to_string({which.ip, ports.app}))},
        {"{{cloud_api.address|json}}", quoted(to_string(this->options.store_address))},
        {"{{#seeds}}{{.|json}}{{,}}{{/seeds}}", seed_list},
        {R"({{#zones}}{"name": "{{@}}", "region": {{.|json}} }{{,}}{{/zones}})", zone_list},
        {"{{bounds.grace_s}}", std::to_string(this->options.grace_s)},
        {"{{bounds.budget_ratio}}", "0.2"},
        {"{{bounds.retry_slack}}", "62"},
        {"{{bounds.cold_overshoot}}", "1.5"},
        {"{{bounds.cold_slack}}", "5"}};
    for (const auto& [placeholder, value] : values) {
        replace_all(text, placeholder, value);
    }
    if (text.find("{{") != std::string::npos) {
        throw std::runtime_error{"the settings template has placeholders that this case does not fill"};
    }
    return text;
}

void deployment::start(const machine& which) {
    const auto file = this->options.folder + '/' + which.name + ".json";
    std::ofstream{file} << this->settings_text(which);
    const auto log = this->options.folder + '/' + which.name + ".log";
    const auto& program = this->options.program;
    const pid_t process = fork();
    if (process < 0) {
        throw std::runtime_error{"cannot fork"};
    }
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execl(program.c_str(), program.c_str(), "--config", file.c_str(), nullptr);
        _exit(127);
    }
    this->processes[which.name] = process;
}

void deployment::signal(const machine& which, int number) {
    const auto found = this->processes.find(which.name);
    if (found != this->processes.end()) {
        kill(found->second, number);
    }
}

int deployment::wait_for_end(const machine& which) {
    const auto found = this->processes.find(which.name);
    int status = 0;
    if (found != this->processes.end()) {
        waitpid(found->second, &status, 0);
        this->processes.erase(found);
    }
    return status;
}

bool deployment::is_running(const machine& which) {
    const auto found = this->processes.find(which.name);
    if (found == this->processes.end()) {
        return false;
    }
    siginfo_t ended{};
    waitid(P_PID, static_cast<id_t>(found->second), &ended, WEXITED | WNOHANG | WNOWAIT);
    return ended.si_pid == 0;
}

std::size_t deployment::resident_bytes(const machine& which) const {
    const auto found = this->processes.find(which.name);
    if (found == this->processes.end()) {
        return 0;
    }
    std::ifstream stream{"/proc/" + std::to_string(found->second) + "/statm"};
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    stream >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

bool deployment::wait_until_ready(steady::time_point until) const {
    for (const auto& which : this->options.machines) {
        bool ready = false;
        while (!ready) {
            if (steady::now() > until) {
                return false;
            }
            connection probe{{which.ip, this->options.ports.ready}, 0};
            message response;
            ready = probe.is_open() &&
                    probe.send(request_text("GET", "/ready", {{"Host", which.name}}, "")) &&
                    probe.read(response, steady::now() + std::chrono::seconds{1}) == read_end::whole &&
                    response.status == 200;
            std::this_thread::sleep_for(std::chrono::milliseconds{ready ? 0 : 50});
        }
    }
    return true;
}

std::string registration(const endpoint& app, const machine& which, int slots) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return R"({"address":)" + quoted(to_string(app)) + R"(,"info":{"service":)" + quoted(which.service) +
           R"(,"config_version":"v1","zone":)" + quoted(which.zone) + R"(,"slots":)" + std::to_string(slots) +
           R"(},"status":{"state":"ready","seq":1,"cold_left_ms":0},"born":)" +
           std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count()) + '}';
}

std::string configuration(const std::string& host, const std::vector<route_row>& routes,
                          const std::vector<std::string>& services, int idle_timeout_ms) {
    std::string route_list;
    for (const auto& row : routes) {
        route_list += (route_list.empty() ? "[" : ",[") + quoted(row.name) + ',' + quoted(host) + ',' +
                      quoted(row.prefix) + ',' + quoted(row.kind) + ',' + std::to_string(row.timeout_ms) +
                      ',' + std::to_string(row.target_latency_ms) + ",1," + quoted(row.service) + ',' +
                      std::to_string(row.max_attempts) + ",[],null]";
    }
    std::string service_list;
    for (const auto& name : services) {
        service_list +=
            (service_list.empty() ? "[" : ",[") + quoted(name) + R"(,"/health",260,"h1",false,3.0,8.6])";
    }
    return R"({"config_version":7,"routes":{"columns":["name","host","path_prefix","route_type","timeout_ms",)"
           R"("target_latency_ms","priority","service","max_attempts","allowed_regions","traffic_split"],"rows":[)" +
           route_list +
           R"(]},"services":{"columns":["name","health_path","max_connections","protocol","tls","cold_start_s",)"
           R"("cold_per_s"],"rows":[)" +
           service_list +
           R"(]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,)"
           R"("idle_timeout_ms":)" +
           std::to_string(idle_timeout_ms) + "}}";
}

void finish(deployment& nodes, int exit_status) {
    nodes.end_all();
    std::_Exit(exit_status);
}

bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

} // namespace review
