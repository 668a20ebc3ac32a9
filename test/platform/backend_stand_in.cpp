// Connections, jobs and responses of the stand-in for the users' backend servers.
#include "platform/backend_stand_in.hpp"

#include "chervilturn/transport/http_reader.hpp"
#include "chervilturn/transport/http_stream.hpp"
#include "chervilturn/transport/socket_address.hpp"
#include "platform/headers.hpp"

#include <event2/listener.h>
#include <stdexcept>
#include <unistd.h>

namespace chervilturn::test {

namespace {

namespace headers = adapter::headers;

constexpr std::uint32_t max_waiting = 4;                         // requests that can wait for a slot
constexpr std::size_t max_body_size = 20'000;                    // greatest size of a response body in bytes
constexpr std::size_t fault_kind_count = 8;                      // number of enumerators of answer_fault
constexpr auto max_nested_time = std::chrono::milliseconds{400}; // longest deadline of a nested call
constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_error = 500;

[[nodiscard]] std::string make_body(const std::string& start, std::size_t size) {
    std::string body = start;
    while (body.size() < size) {
        body += static_cast<char>('a' + body.size() % 26);
    }
    return body;
}

} // namespace

genuine_answer::genuine_answer(const std::string& id, std::uint64_t run, std::size_t size)
    : signature{id + ':' + std::to_string(run) + ':' + std::to_string(size)}, body{make_body(signature,
                                                                                             size)} {}

bool genuine_answer::is_whole(const std::string& id, const http_response& response) {
    const std::string signature{find_header(response.headers, headers::signature)};
    const auto size = signature.substr(signature.rfind(':') + 1);
    return signature.starts_with(id + ':') && find_header(response.headers, headers::request_id) == id &&
           response.body == make_body(signature, std::strtoull(size.c_str(), nullptr, 10));
}

/// @brief A request that runs or waits for a slot.
struct backend_stand_in::job {
    connection* client = nullptr; // null after the connection was closed
    std::string id;
    std::string target;
    instant expiry{};
    std::uint64_t run_number = 0; // 0 while it waits
    std::unique_ptr<timer> work_timer;
    std::weak_ptr<http_client::exchange> nested_call;
};

/// @brief One connection to a backend server.
class backend_stand_in::connection final : public internal::http_stream {
  public:
    connection(event_loop& loop, int socket, backend_stand_in& stand_in)
        : http_stream{loop, socket}, backend{&stand_in}, reader{internal::http_kind::request, {}} {}

    void send(const std::string& bytes) { this->write(bytes); }

    /// @brief Sends bytes and closes the connection when all of them are written.
    void send_last(const std::string& bytes) {
        this->write(bytes);
        this->close_when_written = true;
    }

    /// @brief Continues with the next request on the connection.
    void read_next() {
        this->busy = false;
        this->on_readable();
    }

  private:
    void on_readable() override {
        if (this->busy || !this->is_open()) {
            return;
        }
        const auto status = this->reader.consume(this->input());
        if (status == internal::read_status::incomplete) {
            return;
        }
        this->busy = true;
        auto& message = this->reader.message();
        const http_request request{.method = message.method,
                                   .target = message.target,
                                   .headers = std::move(message.headers),
                                   .body = std::move(message.body)};
        this->reader.reset();
        this->backend->on_request(*this, request);
    }

    void on_written() override {
        if (this->close_when_written && this->unwritten() == 0) {
            this->backend->drop_connection(*this);
        }
    }

    void on_end(internal::stream_end) override { this->backend->drop_connection(*this); }

    backend_stand_in* backend;
    internal::http_reader reader;
    bool busy = false; // a request is in progress; later ones stay unread
    bool close_when_written = false;
};

backend_stand_in::backend_stand_in(event_loop& shared_loop, backend_watcher& observer,
                                   const backend_options& initial_options)
    : loop{&shared_loop}, watcher{&observer}, options{initial_options}, random{initial_options.seed},
      free_closed_connections{shared_loop, [this] { this->closed_connections.clear(); }} {}

backend_stand_in::~backend_stand_in() {
    this->end();
}

void backend_stand_in::start(const std::string& name) {
    this->id = name;
    const auto socket_address = internal::to_socket_address(this->options.listen_address);
    const auto on_accept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        static_cast<backend_stand_in*>(self)->accept(socket);
    };
    this->listener = evconnlistener_new_bind(
        this->loop->base(), on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<const sockaddr*>(&socket_address), sizeof(socket_address));
    if (this->listener == nullptr) {
        throw std::runtime_error{"backend server cannot listen on " +
                                 to_string(this->options.listen_address)};
    }
    this->nested_calls =
        std::make_unique<http_client>(*this->loop, this->options.outbound, http_client_options{});
}

void backend_stand_in::end() {
    if (this->listener == nullptr) {
        return;
    }
    evconnlistener_free(this->listener);
    this->listener = nullptr;
    const auto now = monotonic_clock::now();
    for (const auto& ended_job : this->jobs) {
        ended_job->client = nullptr;
        ended_job->work_timer.reset();
        this->watcher->on_work_ended(ended_job->id, now);
    }
    this->jobs.clear();
    this->running_jobs = 0;
    this->connections.clear();
    this->nested_calls.reset();
}

void backend_stand_in::become_cold() {
    this->cold_until = monotonic_clock::now() + this->options.cold_start;
    this->watcher->on_cold(this->id, this->cold_until);
}

std::int64_t backend_stand_in::cold_left_ms() const {
    const auto left = this->cold_until - monotonic_clock::now();
    return std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
}

void backend_stand_in::accept(int socket) {
    this->connections.push_back(std::make_unique<connection>(*this->loop, socket, *this));
}

void backend_stand_in::drop_connection(const connection& closed) {
    const auto now = monotonic_clock::now();
    const auto current_jobs = this->jobs;
    for (const auto& ended_job : current_jobs) {
        if (ended_job->client == &closed) {
            ended_job->client = nullptr;
            this->watcher->on_work_ended(ended_job->id, now);
            if (const auto call = ended_job->nested_call.lock()) {
                this->nested_calls->cancel(ended_job->nested_call);
            }
            this->release(ended_job);
        }
    }
    this->closed_connections.splice(
        this->closed_connections.end(), this->connections,
        std::find_if(this->connections.begin(), this->connections.end(),
                     [&closed](const auto& candidate) { return candidate.get() == &closed; }));
    this->closed_connections.back()->close();
    this->free_closed_connections.signal();
}

void backend_stand_in::on_request(connection& client, const http_request& request) {
    const auto header_of = [&request](const char* name) {
        return std::string{find_header(request.headers, name)};
    };
    if (request.target == "/health") {
        const bool healthy = !this->fails_probes && (!this->refuses || this->passes_probes);
        const auto cold_header =
            std::string{headers::cold_left_ms} + ": " + std::to_string(this->cold_left_ms());
        client.send(this->response_text({}, healthy ? status_ok : 503, cold_header + "\r\n", "health", true));
        client.read_next();
        return;
    }
    const auto now = monotonic_clock::now();
    const auto time_left = header_of(headers::time_left_ms);
    arrival request_arrival{.id = header_of(headers::request_id),
                            .host = this->options.host,
                            .server = this->id,
                            .service = this->options.service,
                            .data_centre = this->options.data_centre,
                            .region = this->options.region,
                            .origin = header_of(headers::origin),
                            .target = request.target,
                            .time_left = std::nullopt,
                            .runs = false,
                            .at = now};
    const std::chrono::milliseconds remaining{std::strtoll(time_left.c_str(), nullptr, 10)};
    if (!time_left.empty()) {
        request_arrival.time_left = remaining;
    }
    const auto expected_name = header_of(headers::expected_server);
    const bool misdirected = !expected_name.empty() && expected_name != this->id;
    const bool full = this->refuses || this->jobs.size() >= this->options.slots + max_waiting;
    request_arrival.misdirected = misdirected;
    request_arrival.runs = !full && !misdirected;
    this->watcher->on_arrival(request_arrival);
    if (misdirected) {
        client.send(this->response_text(request_arrival.id, 421, std::string{headers::not_run} + ": yes\r\n",
                                        "other", true));
        client.read_next();
        return;
    }
    if (full) {
        client.send(this->response_text(request_arrival.id, 503, std::string{headers::not_run} + ": yes\r\n",
                                        "full", true));
        client.read_next();
        return;
    }
    auto new_job = std::make_shared<job>();
    new_job->client = &client;
    new_job->id = request_arrival.id;
    new_job->target = request.target;
    new_job->expiry = now + remaining;
    this->jobs.push_back(new_job);
    if (this->running_jobs < this->options.slots) {
        this->run(new_job);
    }
}

void backend_stand_in::run(const std::shared_ptr<job>& next_job) {
    ++this->running_jobs;
    next_job->run_number = ++this->run_count;
    const double cold_factor = this->cold_left_ms() > 0 ? 3.0 : 1.0;
    const auto mean_work =
        next_job->target.find("/slow/") != std::string::npos ? this->options.work * 20 : this->options.work;
    const auto work = std::chrono::duration_cast<microseconds>(mean_work * this->slowdown * cold_factor *
                                                               this->random.uniform(0.5, 1.5));
    next_job->work_timer =
        std::make_unique<timer>(*this->loop, [this, next_job] { this->on_work_done(next_job); });
    next_job->work_timer->start_once(work);
}

void backend_stand_in::on_work_done(const std::shared_ptr<job>& finished_job) {
    if (finished_job->target.find("/nested/") != std::string::npos) {
        this->send_nested_call(finished_job);
        return;
    }
    this->answer(finished_job, status_ok);
}

// Calls another service through the node on the same host, and answers the request when that call ends. The
// request fails when the call fails.
void backend_stand_in::send_nested_call(const std::shared_ptr<job>& calling_job) {
    const auto now = monotonic_clock::now();
    const auto left = std::min<microseconds>(elapsed(now, calling_job->expiry), max_nested_time);
    if (left <= microseconds::zero()) {
        this->answer(calling_job, 504);
        return;
    }
    const auto call_id = calling_job->id + '.' + std::to_string(calling_job->run_number) + this->id;
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(left);
    const std::string target = "/leaf/" + call_id;
    this->watcher->on_sent({.id = call_id,
                            .entry = this->options.host,
                            .origin = this->options.service,
                            .service = "leaf-svc",
                            .target = target,
                            .route = "leaf",
                            .allowed_regions = {},
                            .time_left = left,
                            .at = now,
                            .parent = calling_job->id});
    const std::weak_ptr<job> weak_job = calling_job;
    calling_job->nested_call = this->nested_calls->send(
        {.method = "GET",
         .target = target,
         .headers = {{"Host", "soak.example"},
                     {headers::request_id, call_id},
                     {headers::time_left_ms, std::to_string(millis.count())}},
         .body = {}},
        left + std::chrono::seconds{1}, [this, weak_job, call_id](const http_result& result) {
            const auto* response = std::get_if<http_response>(&result);
            const bool whole = response != nullptr && genuine_answer::is_whole(call_id, *response);
            this->watcher->on_ended({.id = call_id,
                                     .status = response == nullptr ? std::uint16_t{0} : response->status,
                                     .cancelled = response == nullptr &&
                                                  std::get<http_failure>(result) == http_failure::cancelled,
                                     .answer_complete = whole,
                                     .at = monotonic_clock::now()});
            if (const auto waiting_job = weak_job.lock()) {
                this->answer(waiting_job, whole ? status_ok : status_error);
            }
        });
}

void backend_stand_in::answer(const std::shared_ptr<job>& finished_job, std::uint16_t status) {
    this->watcher->on_work_ended(finished_job->id, monotonic_clock::now());
    auto* client = finished_job->client;
    this->release(finished_job);
    if (client == nullptr) {
        return;
    }
    const genuine_answer genuine{finished_job->id, finished_job->run_number,
                                 this->random.index(max_body_size)};
    const auto signature = std::string{headers::signature} + ": " + genuine.signature + "\r\n";
    const auto whole_response = this->response_text(finished_job->id, status, signature, genuine.body, true);
    if (this->random.uniform(0.0, 1.0) >= this->fault_share) {
        client->send(whole_response);
        if (this->closes_connections && this->random.index(4) == 0) {
            this->drop_connection(*client);
            return;
        }
        client->read_next();
        return;
    }
    ++this->fault_count;
    const genuine_answer foreign_answer{"nobody", finished_job->run_number, 100};
    const auto foreign_response = this->response_text(
        "nobody", status, std::string{headers::signature} + ": " + foreign_answer.signature + "\r\n",
        foreign_answer.body, true);
    switch (static_cast<answer_fault>(this->random.index(fault_kind_count))) {
    case answer_fault::cut:
        client->send_last(whole_response.substr(0, whole_response.size() - 1 - genuine.body.size() / 2));
        return;
    case answer_fault::garbage:
        client->send_last("\x16\x03\x01 no answer at all\r\n\r\n");
        return;
    case answer_fault::extra_bytes:
        client->send(whole_response + "extra");
        break;
    case answer_fault::second_answer:
        client->send(whole_response + foreign_response);
        break;
    case answer_fault::foreign:
        client->send(foreign_response);
        break;
    case answer_fault::silent:
        return; // the connection stays open and reads no further request
    case answer_fault::dropped:
        this->drop_connection(*client);
        return;
    case answer_fault::unframed:
        client->send_last(this->response_text(finished_job->id, status, signature, genuine.body, false));
        return;
    }
    client->read_next();
}

void backend_stand_in::release(const std::shared_ptr<job>& finished_job) {
    this->running_jobs -= finished_job->run_number > 0 ? 1 : 0;
    finished_job->work_timer.reset();
    this->jobs.remove(finished_job);
    for (const auto& waiting_job : this->jobs) {
        if (waiting_job->run_number == 0 && this->running_jobs < this->options.slots) {
            this->run(waiting_job);
            return;
        }
    }
}

std::string backend_stand_in::response_text(const std::string& request_id, std::uint16_t status,
                                            const std::string& extra_headers, const std::string& body,
                                            bool has_length) const {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    if (!request_id.empty()) {
        text += std::string{headers::request_id} + ": " + request_id + "\r\n";
    }
    const auto waiting_jobs = this->jobs.size() - this->running_jobs;
    text += std::string{headers::server_name} + ": " + this->id + "\r\n" + headers::load + ": " +
            std::to_string(this->running_jobs) + ',' + std::to_string(waiting_jobs) + ',' +
            std::to_string(this->options.slots) + ',' +
            std::to_string(static_cast<int>(this->slowdown * 100)) + "\r\n" + extra_headers;
    if (this->stated_rate) {
        text += std::string{headers::calls_per_second} + ": " + std::to_string(*this->stated_rate) + "\r\n";
    }
    if (this->says_leaving) {
        text += std::string{headers::leaving} + ": 1\r\n";
    }
    text += has_length ? "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                       : std::string{"Connection: close\r\n\r\n"};
    return text + body;
}

} // namespace chervilturn::test
