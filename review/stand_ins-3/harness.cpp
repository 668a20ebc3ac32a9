// Sockets, HTTP and processes of the stand-ins.
#include "harness.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const steady::time_point case_start = steady::now();

[[nodiscard]] bool same_name(const std::string& left, const std::string& right) {
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(), [](unsigned char one, unsigned char other) {
               return std::tolower(one) == std::tolower(other);
           });
}

[[nodiscard]] sockaddr_in to_address(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

[[nodiscard]] int new_socket() {
    const int created = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(created, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    return created;
}

[[nodiscard]] std::string base64(const std::string& bytes) {
    constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t position = 0; position < bytes.size(); position += 3) {
        std::uint32_t group = 0;
        const auto count = std::min<std::size_t>(3, bytes.size() - position);
        for (std::size_t index = 0; index < 3; ++index) {
            group <<= 8U;
            group |= index < count ? static_cast<unsigned char>(bytes[position + index]) : 0U;
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += index <= count ? digits[(group >> (18U - 6U * index)) & 63U] : '=';
        }
    }
    return text;
}

[[nodiscard]] std::string query_value(const std::string& target, const std::string& name) {
    auto position = target.find('?');
    while (position != std::string::npos) {
        const auto end = target.find('&', position + 1);
        const auto pair = target.substr(position + 1, end == std::string::npos ? end : end - position - 1);
        if (pair.rfind(name + "=", 0) == 0) {
            return pair.substr(name.size() + 1);
        }
        position = end;
    }
    return {};
}

[[nodiscard]] std::string decode_percent(const std::string& text) {
    std::string decoded;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (text[position] == '%' && position + 2 < text.size()) {
            decoded += static_cast<char>(std::strtol(text.substr(position + 1, 2).c_str(), nullptr, 16));
            position += 2;
        } else {
            decoded += text[position];
        }
    }
    return decoded;
}

} // namespace

double now_ms() {
    return std::chrono::duration<double, std::milli>(steady::now() - case_start).count();
}

void sleep_ms(double milliseconds_to_wait) {
    if (milliseconds_to_wait > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(milliseconds_to_wait));
    }
}

record::record(const std::string& path) : file{std::fopen(path.c_str(), "we")} {}

record::~record() {
    if (this->file != nullptr) {
        std::fclose(this->file);
    }
}

void record::line(const std::string& text) {
    const std::lock_guard lock{this->guard};
    if (this->file != nullptr) {
        std::fprintf(this->file, "%10.1f ms  %s\n", now_ms(), text.c_str());
        std::fflush(this->file);
    }
}

std::string message::get(const std::string& name) const {
    for (const auto& [field, value] : this->fields) {
        if (same_name(field, name)) {
            return value;
        }
    }
    return {};
}

connection::~connection() {
    this->close();
}

std::shared_ptr<connection> connection::open(const std::string& ip, int port) {
    const int created = new_socket();
    const auto address = to_address(ip, port);
    fcntl(created, F_SETFL, fcntl(created, F_GETFL) | O_NONBLOCK);
    const int started = ::connect(created, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    pollfd watched{.fd = created, .events = POLLOUT, .revents = 0};
    int failure = started == 0 ? 0 : errno;
    if (failure == EINPROGRESS && poll(&watched, 1, 1000) == 1) {
        socklen_t size = sizeof(failure);
        getsockopt(created, SOL_SOCKET, SO_ERROR, &failure, &size);
    }
    if (failure != 0) {
        ::close(created);
        return nullptr;
    }
    fcntl(created, F_SETFL, fcntl(created, F_GETFL) & ~O_NONBLOCK);
    return std::make_shared<connection>(created);
}

read_end connection::read(message& received, double timeout_ms, bool head_only) {
    received = {};
    const double until = now_ms() + timeout_ms;
    std::size_t head_length = std::string::npos;
    std::size_t body_length = 0;
    for (;;) {
        if (head_length == std::string::npos) {
            const auto end = this->buffered.find("\r\n\r\n");
            if (end != std::string::npos) {
                head_length = end + 4;
                const auto head = this->buffered.substr(0, end);
                auto line_end = head.find("\r\n");
                const auto first = head.substr(0, line_end);
                const auto space = first.find(' ');
                if (first.rfind("HTTP/", 0) == 0) {
                    received.status = std::atoi(first.c_str() + space);
                } else {
                    received.method = first.substr(0, space);
                    received.target = first.substr(space + 1, first.rfind(' ') - space - 1);
                }
                while (line_end != std::string::npos) {
                    const auto start = line_end + 2;
                    line_end = head.find("\r\n", start);
                    const auto line =
                        head.substr(start, line_end == std::string::npos ? line_end : line_end - start);
                    const auto colon = line.find(':');
                    const auto value = line.find_first_not_of(' ', colon + 1);
                    received.fields.emplace_back(line.substr(0, colon),
                                                 value == std::string::npos ? "" : line.substr(value));
                }
                body_length = static_cast<std::size_t>(std::atoll(received.get("content-length").c_str()));
            }
        }
        if (head_length != std::string::npos &&
            (head_only || this->buffered.size() >= head_length + body_length)) {
            received.body = head_only ? std::string{} : this->buffered.substr(head_length, body_length);
            this->buffered.erase(0, head_length + received.body.size());
            return read_end::complete;
        }
        const double left = until - now_ms();
        pollfd watched{.fd = this->socket, .events = POLLIN, .revents = 0};
        if (this->socket < 0) {
            return read_end::closed;
        }
        if (left <= 0 || poll(&watched, 1, static_cast<int>(left) + 1) == 0) {
            return read_end::timed_out;
        }
        char bytes[65536];
        const auto count = recv(this->socket, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return read_end::closed;
        }
        this->buffered.append(bytes, static_cast<std::size_t>(count));
    }
}

bool connection::write(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = send(this->socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::has_input() const {
    pollfd watched{.fd = this->socket, .events = POLLIN, .revents = 0};
    return poll(&watched, 1, 0) > 0;
}

void connection::close() {
    if (this->socket >= 0) {
        ::close(this->socket);
        this->socket = -1;
    }
}

void connection::reset() {
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    this->close();
}

void connection::shut_down() const {
    if (this->socket >= 0) {
        shutdown(this->socket, SHUT_RDWR);
    }
}

std::string format_request(const message& request) {
    auto text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.fields) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (request.method != "GET" || !request.body.empty()) {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

std::string format_response(int status, const headers& fields, const std::string& body) {
    auto text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : fields) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

listener::listener(const std::string& ip, int port, handler on_accepted)
    : on_connection{std::move(on_accepted)} {
    const int created = new_socket();
    const int enabled = 1;
    setsockopt(created, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    const auto address = to_address(ip, port);
    if (bind(created, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(created, 512) != 0) {
        ::close(created);
        return;
    }
    this->socket = created;
    this->acceptor = std::thread{[this] { this->accept_all(); }};
}

listener::~listener() {
    this->stop();
}

void listener::stop() {
    if (this->stopping.exchange(true)) {
        return;
    }
    if (this->acceptor.joinable()) {
        this->acceptor.join();
    }
    if (this->socket >= 0) {
        ::close(this->socket);
    }
    {
        const std::lock_guard lock{this->guard};
        for (const auto& weak : this->connections) {
            if (const auto open_connection = weak.lock()) {
                open_connection->shut_down();
            }
        }
    }
    for (auto& worker : this->workers) {
        worker.join();
    }
}

void listener::accept_all() {
    while (!this->stopping) {
        pollfd watched{.fd = this->socket, .events = POLLIN, .revents = 0};
        if (poll(&watched, 1, 20) <= 0) {
            continue;
        }
        const int accepted = accept4(this->socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        const int enabled = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        auto opened = std::make_shared<connection>(accepted);
        const std::lock_guard lock{this->guard};
        this->connections.push_back(opened);
        this->workers.emplace_back([this, opened] { this->on_connection(opened); });
    }
}

int free_port() {
    static int next = 20000 + static_cast<int>(getpid() % 1000) * 10;
    for (;;) {
        const int port = ++next;
        bool is_free = true;
        for (int last = 1; last <= 9 && is_free; ++last) {
            const int created = new_socket();
            const auto address = to_address("127.0.0." + std::to_string(last), port);
            is_free = bind(created, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
            ::close(created);
        }
        if (is_free) {
            return port;
        }
    }
}

store::store(const std::string& ip, int port)
    : server{ip, port, [this](const connection_pointer& client) { this->serve(client); }} {}

void store::put(const std::string& key, const std::string& value) {
    const std::lock_guard lock{this->guard};
    this->items[key] = {.value = value, .revision = ++this->revision, .removed = false};
    this->changed.notify_all();
}

void store::remove(const std::string& key) {
    const std::lock_guard lock{this->guard};
    this->items[key] = {.value = {}, .revision = ++this->revision, .removed = true};
    this->changed.notify_all();
}

void store::serve(const connection_pointer& client) {
    message request;
    while (client->read(request, 600000) == read_end::complete) {
        if (this->paused) {
            break;
        }
        std::string body;
        if (request.target.rfind("/kv-range", 0) == 0) {
            body = this->range(decode_percent(query_value(request.target, "after")));
        } else if (request.target.rfind("/kv-watch", 0) == 0) {
            body = this->watch(std::strtoull(query_value(request.target, "after").c_str(), nullptr, 10),
                               std::strtod(query_value(request.target, "wait_ms").c_str(), nullptr));
        }
        if (this->paused) {
            break;
        }
        if (!client->write(format_response(200, {{"Content-Type", "application/json"}}, body))) {
            return;
        }
    }
    client->reset();
}

std::string store::range(const std::string& after) {
    const std::lock_guard lock{this->guard};
    std::string listed;
    for (auto position = this->items.upper_bound(after); position != this->items.end(); ++position) {
        const auto& [key, present] = *position;
        if (!present.removed) {
            listed += (listed.empty() ? "" : ",") + std::string{R"({"key":")"} + key + R"(","value":")" +
                      base64(present.value) + R"(","rev":)" + std::to_string(present.revision) +
                      R"(,"created_rev":1,"lease_id":0})";
        }
    }
    return R"({"items":[)" + listed + R"(],"has_more":false,"at_rev":)" + std::to_string(this->revision) +
           "}";
}

std::string store::watch(std::uint64_t after, double wait_ms) {
    std::unique_lock lock{this->guard};
    this->changed.wait_for(lock, std::chrono::duration<double, std::milli>(wait_ms),
                           [&] { return this->revision > after; });
    std::multimap<std::uint64_t, std::string> events;
    for (const auto& [key, present] : this->items) {
        if (present.revision <= after) {
            continue;
        }
        auto text = R"({"key":")" + key + R"(","rev":)" + std::to_string(present.revision);
        text += present.removed
                    ? std::string{R"(,"removed":true})"}
                    : R"(,"value":")" + base64(present.value) + R"(","created_rev":1,"lease_id":0})";
        events.emplace(present.revision, std::move(text));
    }
    std::string listed;
    for (const auto& [number, text] : events) {
        listed += (listed.empty() ? "" : ",") + text;
    }
    return R"({"events":[)" + listed + R"(],"at_rev":)" + std::to_string(this->revision) + "}";
}

backend::backend(const backend_options& backend_settings)
    : options{backend_settings}, server{backend_settings.ip, backend_settings.port,
                                        [this](const connection_pointer& client) { this->serve(client); }} {}

void backend::stop() {
    {
        const std::lock_guard lock{this->guard};
        this->stopping = true;
        this->slot_free.notify_all();
    }
    this->server.stop();
}

void backend::become_cold(double cold_ms) {
    this->cold_until_ms = now_ms() + cold_ms;
}

bool backend::is_cold() const {
    return now_ms() < this->cold_until_ms;
}

std::vector<arrival> backend::arrivals() {
    const std::lock_guard lock{this->guard};
    return this->log;
}

std::string backend::load() const {
    return std::to_string(this->running.load()) + ',' + std::to_string(this->waiting.load()) + ',' +
           std::to_string(this->options.slots) + ",100";
}

std::string backend::health() const {
    const double cold_left = std::max(0.0, this->cold_until_ms - now_ms());
    headers fields{{"Chervilturn-Instance-Id", this->options.name},
                   {"Chervilturn-Cold-Ms", std::to_string(static_cast<long>(cold_left))}};
    if (this->options.tells_load) {
        fields.emplace_back("Chervilturn-Server-Load", this->load());
    }
    return format_response(this->draining ? 503 : 200, fields, "");
}

void backend::double_rejections(double share) {
    this->copies = 0;
    this->answers = 0;
    this->copy_share = share;
}

bool backend::may_double() {
    if (this->copies + 1 > this->copy_share * this->answers) {
        return false;
    }
    ++this->copies;
    return true;
}

void backend::serve(const connection_pointer& client) {
    message request;
    std::string late_copy;
    while (!this->stopping && client->read(request, 10000) == read_end::complete) {
        if (!late_copy.empty() && !client->write(std::exchange(late_copy, {}))) {
            break;
        }
        const bool asks_health = request.target == "/health";
        const auto answer = !asks_health               ? this->run(request, client)
                            : this->options.tells_load ? this->health()
                                                       : this->check_in_turn();
        ++this->answers;
        if (answer.empty() || !client->write(answer)) {
            break;
        }
        const bool is_rejection = answer.find("Chervilturn-Not-Executed") != std::string::npos;
        if (asks_health && is_rejection && this->may_double()) {
            late_copy = answer;
        }
    }
    client->shut_down();
}

bool backend::take_slot(std::unique_lock<std::mutex>& lock, double until) {
    const auto has_slot = [this] { return this->stopping || this->running < this->options.slots; };
    if (!has_slot() && this->waiting >= this->options.queue) {
        return false;
    }
    ++this->waiting;
    const bool started = this->slot_free.wait_for(
        lock, std::chrono::duration<double, std::milli>(std::max(0.0, until - now_ms())), has_slot);
    --this->waiting;
    if (!started || this->stopping) {
        return false;
    }
    ++this->running;
    return true;
}

void backend::free_slot() {
    const std::lock_guard lock{this->guard};
    --this->running;
    this->slot_free.notify_one();
}

std::string backend::check_in_turn() {
    constexpr double check_ms = 6.0;
    constexpr double patience_ms = 300.0;
    {
        std::unique_lock lock{this->guard};
        if (!this->take_slot(lock, now_ms() + patience_ms)) {
            return format_response(503, {{"Chervilturn-Not-Executed", "1"}}, "");
        }
    }
    sleep_ms(check_ms);
    this->free_slot();
    return this->health();
}

std::string backend::run(const message& request, const connection_pointer& client) {
    const auto id = request.get("Chervilturn-Request-Id");
    const auto expected = request.get("Chervilturn-Target-Instance");
    if (!expected.empty() && expected != this->options.name) {
        return format_response(421, {{"Chervilturn-Instance-Id", this->options.name}}, "");
    }
    const double arrived = now_ms();
    const double until = arrived + std::strtod(request.get("Chervilturn-Deadline-Ms").c_str(), nullptr);
    std::size_t position = 0;
    {
        std::unique_lock lock{this->guard};
        position = this->log.size();
        this->log.push_back(
            {.at_ms = arrived, .id = id, .path = request.target, .server = this->options.name, .ran = false});
        if (!this->take_slot(lock, until)) {
            return format_response(503, {{"Chervilturn-Not-Executed", "1"}, {"Chervilturn-Request-Id", id}},
                                   "");
        }
        this->log[position].ran = true;
    }
    const bool handled = this->instead && this->instead(request, client);
    if (!handled) {
        sleep_ms(this->options.work_ms);
    }
    this->free_slot();
    if (handled) {
        return {};
    }
    headers fields{{"Chervilturn-Request-Id", id}, {"Chervilturn-Response-Seal", "seal-" + id}};
    if (this->options.tells_load) {
        fields.emplace_back("Chervilturn-Server-Load", this->load());
    }
    return format_response(200, fields, "answer to " + id);
}

outcome send_request(const connection_pointer& client, const message& request, const std::string& id,
                     double deadline_ms) {
    outcome seen{.id = id,
                 .sent_at_ms = now_ms(),
                 .ended_at_ms = 0,
                 .status = 0,
                 .how = "no connection",
                 .response = {}};
    auto sent = request;
    sent.fields.emplace_back("Chervilturn-Request-Id", id);
    sent.fields.emplace_back("Chervilturn-Deadline-Ms", std::to_string(static_cast<long>(deadline_ms)));
    if (client != nullptr) {
        if (!client->write(format_request(sent))) {
            seen.how = "not sent";
        } else {
            const auto end = client->read(seen.response, deadline_ms);
            seen.status = end == read_end::complete ? seen.response.status : 0;
            seen.how = end == read_end::complete ? "answered"
                       : end == read_end::closed ? "closed"
                                                 : "no answer in time";
        }
    }
    seen.ended_at_ms = now_ms();
    return seen;
}

bool node::start() {
    const int output = open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t parent = getpid();
    const pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(could_not_run);
        }
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execl(this->path.c_str(), this->path.c_str(), "--config", this->settings.c_str(),
              static_cast<char*>(nullptr));
        _exit(could_not_run);
    }
    ::close(output);
    this->process = child;
    return child > 0;
}

void node::signal(int number) const {
    if (this->process > 0) {
        kill(this->process, number);
    }
}

bool node::has_ended() {
    int status = 0;
    if (this->process > 0 && waitpid(this->process, &status, WNOHANG) == this->process) {
        this->process = -1;
    }
    return this->process < 0;
}

void node::end() {
    if (this->process > 0) {
        kill(this->process, SIGKILL);
        waitpid(this->process, nullptr, 0);
        this->process = -1;
    }
}

std::string node_settings(const host_options& host, const ports& used, const std::string& store_ip,
                          const std::string& zones_json) {
    const auto address = [&host](int port) { return '"' + host.ip + ':' + std::to_string(port) + '"'; };
    return "{\n\"host\": \"" + host.name + "\",\n\"data_centre\": \"" + host.zone + "\",\n\"service\": \"" +
           host.service + "\",\n\"callers\": " + address(used.callers) +
           ",\n\"peers\": " + address(used.peers) + ",\n\"operators\": " + address(used.operators) +
           ",\n\"backend_server\": " + address(used.backend) + ",\n\"platform\": [\"" + store_ip + ':' +
           std::to_string(used.store) + "\"],\n\"seeds\": [" + host.seeds +
           "],\n\"data_centres\": " + zones_json +
           R"(,
"policy": "expected_time",
"log_level": "info",
"limits": {"max_deadline_ms": 86400000, "memory_mb": 260, "max_moves": 8, "shutdown_kill_s": 6,
           "shutdown_notice_ms": 2500},
"repeats": {"ratio": 0.2, "slack": 62},
"cold_servers": {"overshoot": 1.5, "slack": 5},
"reading": {"wait_ms": 1000, "pause_ms": 300, "readers_per_data_centre": 1, "own_start_ms": 800,
            "compare_ms": 1000, "parent_ping_ms": 600, "parent_suspect_ms": 1100, "apply_ms": 2500},
"probes": {"probes_per_second": 5, "timeout_ms": 300}
}
)";
}

std::string server_entry(const std::string& service, const std::string& address, const std::string& zone,
                         int slots, const std::string& state, int seq) {
    return R"({"address":")" + address + R"(","info":{"service":")" + service +
           R"(","config_version":"v1","zone":")" + zone + R"(","slots":)" + std::to_string(slots) +
           R"(},"status":{"state":")" + state + R"(","seq":)" + std::to_string(seq) +
           R"(,"cold_left_ms":0}})";
}

void write_file(const std::string& path, const std::string& text) {
    if (std::FILE* file = std::fopen(path.c_str(), "we")) {
        std::fwrite(text.data(), 1, text.size(), file);
        std::fclose(file);
    }
}

bool wait_ready(const std::string& ip, int port, double timeout_ms) {
    const double until = now_ms() + timeout_ms;
    while (now_ms() < until) {
        message response;
        const auto client = connection::open(ip, port);
        if (client != nullptr && client->write("GET /ready HTTP/1.1\r\nHost: node\r\n\r\n") &&
            client->read(response, 500) == read_end::complete && response.status == 200) {
            return true;
        }
        sleep_ms(50);
    }
    return false;
}

bool deployment::start(int hosts, const std::string& program, const std::string& config,
                       const backend_options& server_options) {
    constexpr int max_seeds = 3;
    std::string seeds;
    for (int host = 1; host <= std::min(hosts, max_seeds); ++host) {
        seeds += (host > 1 ? ", \"" : "\"") + ip_of(host) + ':' + std::to_string(this->used.peers) + '"';
    }
    this->platform.put("op/config", config);
    bool started = this->platform.open();
    for (int host = 1; host <= hosts; ++host) {
        const auto number = std::to_string(host);
        auto options = server_options;
        options.name = "i-" + number;
        options.ip = ip_of(host);
        options.port = this->used.backend;
        this->backends.push_back(std::make_unique<backend>(options));
        started = started && this->backends.back()->open();
        const std::string zone = this->zone_each ? "zone-" + number : "zone-1";
        this->platform.put(key_of(host),
                           server_entry("svc-a", options.ip + ':' + std::to_string(options.port), zone,
                                        options.slots, "ready", 1));
        const auto settings = this->folder.path() + "/node-" + number + ".json";
        write_file(settings, node_settings({.name = "node-" + number,
                                            .ip = options.ip,
                                            .zone = zone,
                                            .service = "svc-a",
                                            .seeds = seeds},
                                           this->used, "127.0.0.9",
                                           R"([{"name": "zone-1", "region": "north"},)"
                                           R"({"name": "zone-2", "region": "south"},)"
                                           R"({"name": "zone-3", "region": "east"}])"));
        this->nodes.push_back(
            std::make_unique<node>(program, settings, this->folder.path() + "/node-" + number + ".log"));
        started = started && this->nodes.back()->start();
    }
    for (int host = 1; host <= hosts; ++host) {
        started = started && wait_ready(ip_of(host), this->used.operators, 5000);
    }
    return started;
}

bool deployment::is_reader(int host) const {
    message response;
    const auto client = connection::open(ip_of(host), this->used.operators);
    return client != nullptr && client->write("GET /status HTTP/1.1\r\nHost: node\r\n\r\n") &&
           client->read(response, 1000) == read_end::complete &&
           response.body.find(R"("reader": true)") != std::string::npos;
}

bool with_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

temporary_folder::temporary_folder() {
    auto pattern = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    if (mkdtemp(pattern.data()) != nullptr) {
        this->folder = pattern;
    }
}

temporary_folder::~temporary_folder() {
    std::error_code ignored;
    if (!this->folder.empty() && std::getenv("KEEP_FILES") == nullptr) {
        std::filesystem::remove_all(this->folder, ignored);
    }
}

} // namespace review
