// Slots, runs and responses of the stand-in for the users' backend servers.
#include "stand_ins-2/backend.hpp"

#include <algorithm>
#include <cstdlib>

namespace review {

namespace {

constexpr auto keep_connection = std::chrono::seconds{10}; // idle time after which a backend closes
constexpr auto default_deadline = std::chrono::seconds{30};
constexpr int full_speed_percent = 100;

[[nodiscard]] http_message shed() {
    return {.start_line = "HTTP/1.1 503 Service Unavailable",
            .headers = {{"Chervilturn-Not-Executed", "1"}},
            .body = {}};
}

// The number behind the `index`-th slash after the first one of a path.
[[nodiscard]] long path_number(const std::string& target, int index) {
    std::size_t position = 0;
    for (; index > 0 && position != std::string::npos; --index) {
        position = target.find('/', position + 1);
    }
    return position == std::string::npos ? 0 : std::atol(target.c_str() + position + 1);
}

} // namespace

std::string response_body(const std::string& request_id, std::size_t size) {
    std::string body = request_id + ':';
    while (body.size() < size) {
        body += static_cast<char>('a' + body.size() % 26);
    }
    return body;
}

bool backend_server::start() {
    return this->listener.start(this->options.address,
                                [this](http_connection& connection) { this->serve(connection); });
}

void backend_server::stop() {
    {
        const std::lock_guard lock{this->guard};
        this->stopping = true;
    }
    this->slot_freed.notify_all();
    this->listener.stop();
}

void backend_server::set_extra_late_share(double share) {
    const std::lock_guard lock{this->guard};
    this->options.extra_late_share = share;
}

void backend_server::become_cold(std::chrono::milliseconds duration, std::size_t most) {
    const std::lock_guard lock{this->guard};
    this->cold_from = steady_clock::now();
    this->cold_until = this->cold_from + duration;
    this->most_cold_runs = most;
}

std::optional<time_point> backend_server::fell_over() {
    const std::lock_guard lock{this->guard};
    return this->fell_over_at;
}

std::vector<backend_run> backend_server::runs() {
    const std::lock_guard lock{this->guard};
    return this->started_runs;
}

void backend_server::serve(http_connection& connection) {
    http_message request;
    std::string extra; // a copy of the previous response
    while (connection.read(request, steady_clock::now() + keep_connection) == read_end::complete) {
        const auto text = message_text(this->respond(request));
        if (this->stopping) { // it ends with its running requests unanswered
            return;
        }
        if (!extra.empty()) {
            this->record->write(this->options.id + " sends again, before its response to " +
                                request.target() + " of " + request.header("Chervilturn-Request-Id") + ": " +
                                extra.substr(0, extra.find('\r')));
            if (!connection.write(std::exchange(extra, {}))) {
                return;
            }
        }
        if (!connection.write(text)) {
            return;
        }
        if (this->is_sent_again()) {
            extra = text;
        }
    }
}

bool backend_server::is_sent_again() {
    const std::lock_guard lock{this->guard};
    return std::uniform_real_distribution<double>{0.0, 1.0}(this->random) < this->options.extra_late_share;
}

http_message backend_server::respond(const http_message& request) {
    if (request.target() == "/health") {
        return this->health();
    }
    const auto expected = request.header("Chervilturn-Target-Instance");
    if (!expected.empty() && expected != this->options.id) {
        return {.start_line = "HTTP/1.1 421 Misdirected Request",
                .headers = {{"Chervilturn-Instance-Id", this->options.id}},
                .body = {}};
    }
    const auto left = request.header("Chervilturn-Deadline-Ms");
    const auto deadline =
        steady_clock::now() +
        (left.empty() ? default_deadline : std::chrono::milliseconds{std::atol(left.c_str())});
    if (!this->take_slot(deadline)) {
        this->record->write(this->options.id + " rejects " + request.header("Chervilturn-Request-Id"));
        return shed();
    }
    auto response = this->run(request, deadline);
    this->release_slot();
    return response;
}

http_message backend_server::health() {
    if (!this->options.tells_load) {
        if (!this->take_slot(steady_clock::now() + default_deadline)) {
            return shed();
        }
        this->release_slot();
    }
    http_message response{.start_line = "HTTP/1.1 200 OK",
                          .headers = {{"Chervilturn-Instance-Id", this->options.id}},
                          .body = {}};
    this->add_load(response);
    const std::lock_guard lock{this->guard};
    const auto cold_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->cold_until - steady_clock::now());
    if (cold_left.count() > 0) {
        response.headers.emplace_back("Chervilturn-Cold-Ms", std::to_string(cold_left.count()));
    }
    return response;
}

http_message backend_server::run(const http_message& request, time_point deadline) {
    const auto id = request.header("Chervilturn-Request-Id");
    const auto target = request.target();
    {
        const std::lock_guard lock{this->guard};
        const auto now = steady_clock::now();
        this->started_runs.push_back({.request_id = id, .backend = this->options.id, .at = now});
        const auto recent = std::count_if(
            this->started_runs.begin(), this->started_runs.end(), [this, now](const backend_run& started) {
                return started.at >= this->cold_from && started.at > now - std::chrono::seconds{1};
            });
        if (now<this->cold_until&& static_cast<std::size_t>(recent)> this->most_cold_runs &&
            !this->fell_over_at) {
            this->fell_over_at = now;
        }
    }
    this->record->write(this->options.id + " runs " + id);
    const auto end = steady_clock::now() + std::chrono::milliseconds{path_number(target, 1)};
    {
        std::unique_lock lock{this->guard};
        this->slot_freed.wait_until(lock, std::min(end, deadline), [this] { return this->stopping.load(); });
    }
    http_message response{
        .start_line = end <= deadline ? "HTTP/1.1 200 OK" : "HTTP/1.1 504 Gateway Timeout",
        .headers = {{"Chervilturn-Request-Id", id}, {"Chervilturn-Response-Seal", "seal-" + id}},
        .body = response_body(id, static_cast<std::size_t>(path_number(target, 2)))};
    this->add_load(response);
    return response;
}

void backend_server::add_load(http_message& response) {
    if (this->options.tells_load) {
        const std::lock_guard lock{this->guard};
        response.headers.emplace_back("Chervilturn-Server-Load",
                                      std::to_string(this->running) + ',' + std::to_string(this->waiting) +
                                          ',' + std::to_string(this->options.slots) + ',' +
                                          std::to_string(full_speed_percent));
    }
}

bool backend_server::take_slot(time_point deadline) {
    std::unique_lock lock{this->guard};
    if (this->running >= this->options.slots) {
        if (this->waiting >= this->options.queue) {
            return false;
        }
        ++this->waiting;
        const bool has_slot = this->slot_freed.wait_until(
            lock, deadline, [this] { return this->stopping || this->running < this->options.slots; });
        --this->waiting;
        if (!has_slot) {
            return false;
        }
    }
    ++this->running;
    return true;
}

void backend_server::release_slot() {
    {
        const std::lock_guard lock{this->guard};
        --this->running;
    }
    this->slot_freed.notify_all();
}

} // namespace review
