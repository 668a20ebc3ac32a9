// Stand-in for a backend server. It has a fixed number of slots, collapses under load while it is cold, can
// drain or shed calls, publishes its load with a lag, and counts the runs of each call.
//
// Query parameters of a call: ms (service time in milliseconds), size (bytes of filler in the response body),
// cut (closes the connection in the middle of the response body), crash (ends the process as the call
// begins), endless (sends bytes without end in place of a response, see stand_ins/endless_response.hpp).
// Control requests: POST /control/set?latency_us=&factor=&drain=&shed=&rate=&leaving=&cold=&reset= (cold and
// reset act when present, whatever their value; an empty rate states none), GET /control/stats, GET
// /control/runs?id=.
#include "chervilturn/core/random.hpp"
#include "chervilturn/transport/event_loop.hpp"
#include "stand_ins/endless_response.hpp"
#include "stand_ins/query.hpp"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <tclap/CmdLine.h>

namespace chervilturn::stand_ins {

namespace {

/// @brief Behaviour of the simulated server.
struct backend_options {
    std::string name;
    std::uint32_t slots = 6;
    microseconds latency = std::chrono::milliseconds{5}; // approximate mean of the random service time
    std::uint32_t cold_slots = 2;       // more concurrent calls than this while cold cause a collapse
    std::uint32_t warm_up_answers = 50; // completed calls until the server is warm
    microseconds report_lag = std::chrono::milliseconds{200}; // refresh interval of in_use in the load report
    std::uint64_t seed = 1;
};

/// @brief A call that waits for a slot or runs.
struct backend_call {
    evhttp_request* request = nullptr; // null once the client closed the connection
    std::string id;                    // idempotency key, else x-call-id, else empty
    query url;
    bool running = false;
    std::unique_ptr<timer> completion_timer; // null until the call runs
};

/// @brief The simulated backend server; one libevent HTTP server passes all requests to on_request.
class backend_stand_in {
  public:
    backend_stand_in(event_loop& io_loop, const backend_options& initial_options)
        : loop{&io_loop}, options{initial_options}, random{initial_options.seed},
          boot_id{std::random_device{}()}, load_report_timer{
                                               io_loop, [this] { this->reported_in_use = this->in_use; }} {
        this->load_report_timer.start_periodic(initial_options.report_lag);
    }

    void on_request(evhttp_request* request) {
        const query url{evhttp_request_get_uri(request)};
        if (url.path == "/load") {
            this->reply(request, 200, this->load_report());
        } else if (url.path.starts_with("/control/")) {
            this->handle_control(request, url);
        } else if (this->shedding || this->draining) {
            ++this->shed_count;
            evhttp_add_header(evhttp_request_get_output_headers(request), "chervilturn-outcome", "not-run");
            this->reply(request, 503, {{"shed", true}});
        } else {
            this->enqueue(request, url);
        }
    }

  private:
    void enqueue(evhttp_request* request, const query& url) {
        auto* headers = evhttp_request_get_input_headers(request);
        const auto* idempotency_key = evhttp_find_header(headers, "idempotency-key");
        const auto* call_id = evhttp_find_header(headers, "x-call-id");
        auto new_call =
            std::make_shared<backend_call>(backend_call{.request = request,
                                                        .id = idempotency_key != nullptr ? idempotency_key
                                                              : call_id != nullptr       ? call_id
                                                                                         : std::string{},
                                                        .url = url,
                                                        .completion_timer = nullptr});
        const auto on_close = [](evhttp_connection*, void* self) {
            static_cast<backend_call*>(self)->request = nullptr;
        };
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), on_close, new_call.get());
        this->waiting_calls.push_back(std::move(new_call));
        this->max_present = std::max(this->max_present, this->in_use + this->waiting_calls.size());
        this->start_waiting();
    }

    void start_waiting() {
        while (this->in_use < this->options.slots && !this->waiting_calls.empty()) {
            const auto next_call = this->waiting_calls.front();
            this->waiting_calls.pop_front();
            if (next_call->request != nullptr) {
                this->run(next_call);
            }
        }
    }

    // A cold server that runs more than cold_slots calls collapses: its warm-up starts again.
    void run(const std::shared_ptr<backend_call>& started_call) {
        if (started_call->url.has("crash")) {
            std::_Exit(1);
        }
        ++this->in_use;
        ++this->runs_by_call[started_call->id];
        ++this->total_runs;
        this->max_in_use = std::max(this->max_in_use, this->in_use);
        if (!this->is_warm()) {
            this->max_in_use_cold = std::max(this->max_in_use_cold, this->in_use);
            if (this->in_use > this->options.cold_slots) {
                ++this->collapses;
                this->answers_since_cold = 0;
            }
        }
        started_call->completion_timer =
            std::make_unique<timer>(*this->loop, [this, started_call] { this->finish(started_call); });
        started_call->completion_timer->start_once(this->service_time(started_call->url));
        started_call->running = true;
    }

    [[nodiscard]] bool is_warm() const { return this->answers_since_cold >= this->options.warm_up_answers; }

    // Fixed when the call asks for a time, else random around the configured latency. A collapsed server
    // takes 20 times as long.
    [[nodiscard]] microseconds service_time(const query& url) {
        constexpr double collapsed_factor = 20.0;
        const double base_micros = url.has("ms") ? static_cast<double>(url.number("ms", 0)) * 1000.0
                                                 : static_cast<double>(this->options.latency.count());
        const bool overloaded = !this->is_warm() && this->in_use > this->options.cold_slots;
        const double jitter = url.has("ms") ? 1.0 : -std::log(this->random.uniform(0.05, 1.0)) * 0.5 + 0.5;
        const double micros =
            base_micros * this->latency_factor * jitter * (overloaded ? collapsed_factor : 1.0);
        return microseconds{static_cast<std::int64_t>(std::max(1.0, micros))};
    }

    void finish(const std::shared_ptr<backend_call>& ended_call) {
        --this->in_use;
        ++this->answers_since_cold;
        if (ended_call->request != nullptr) {
            this->answer(*ended_call);
        } else {
            ++this->cancelled;
        }
        ended_call->completion_timer.reset();
        this->start_waiting();
    }

    void answer(backend_call& ended_call) {
        auto* connection = evhttp_request_get_connection(ended_call.request);
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        if (ended_call.url.has("endless")) {
            send_endless_response(connection, ended_call.url.text("endless"));
            return;
        }
        if (ended_call.url.has("cut")) {
            evhttp_add_header(evhttp_request_get_output_headers(ended_call.request), "Content-Length",
                              "1000000");
            auto* partial_body = evbuffer_new();
            evbuffer_add_printf(partial_body, "cut short");
            evhttp_send_reply_start(ended_call.request, 200, "OK");
            evhttp_send_reply_chunk_with_cb(
                ended_call.request, partial_body,
                [](evhttp_connection* sent_connection, void*) {
                    bufferevent_disable(evhttp_connection_get_bufferevent(sent_connection),
                                        EV_READ | EV_WRITE);
                    evhttp_connection_free(sent_connection);
                },
                nullptr);
            evbuffer_free(partial_body);
            return;
        }
        nlohmann::json body{{"backend_server", this->options.name},
                            {"id", ended_call.id},
                            {"runs", this->runs_by_call[ended_call.id]},
                            {"path", ended_call.url.path}};
        if (ended_call.url.has("size")) {
            body["filler"] = std::string(static_cast<std::size_t>(ended_call.url.number("size", 0)), 'x');
        }
        this->reply(ended_call.request, 200, body);
    }

    [[nodiscard]] nlohmann::json load_report() const {
        return {{"in_use", this->reported_in_use},
                {"slots", this->options.slots},
                {"draining", this->draining},
                {"boot", std::to_string(this->boot_id)}};
    }

    void handle_control(evhttp_request* request, const query& url) {
        if (url.path == "/control/set") {
            this->options.latency = microseconds{url.number("latency_us", this->options.latency.count())};
            this->latency_factor =
                static_cast<double>(url.number("factor", static_cast<std::int64_t>(this->latency_factor)));
            this->draining = url.number("drain", this->draining ? 1 : 0) != 0;
            this->shedding = url.number("shed", this->shedding ? 1 : 0) != 0;
            this->leaving = url.number("leaving", this->leaving ? 1 : 0) != 0;
            if (url.has("rate")) {
                this->stated_rate = url.text("rate");
            }
            if (url.has("cold")) {
                this->answers_since_cold = 0;
                this->boot_id = this->random.bits();
            }
            if (url.has("reset")) {
                this->max_in_use = this->max_in_use_cold = this->max_present = 0;
                this->collapses = 0;
            }
        }
        if (url.path == "/control/runs") {
            const auto found = this->runs_by_call.find(url.text("id"));
            this->reply(request, 200, {{"runs", found == this->runs_by_call.end() ? 0 : found->second}});
            return;
        }
        this->reply(request, 200,
                    {{"total_runs", this->total_runs},
                     {"in_use", this->in_use},
                     {"waiting", this->waiting_calls.size()},
                     {"max_in_use", this->max_in_use},
                     {"max_present", this->max_present},
                     {"max_in_use_cold", this->max_in_use_cold},
                     {"collapses", this->collapses},
                     {"cancelled", this->cancelled},
                     {"shed", this->shed_count},
                     {"warm", this->is_warm()}});
    }

    void reply(evhttp_request* request, int status, const nlohmann::json& body) {
        auto* headers = evhttp_request_get_output_headers(request);
        if (!this->stated_rate.empty()) {
            evhttp_add_header(headers, "chervilturn-calls-per-second", this->stated_rate.c_str());
        }
        if (this->leaving) {
            evhttp_add_header(headers, "chervilturn-leaving", "1");
        }
        auto* buffer = evbuffer_new();
        const auto text = body.dump() + '\n';
        evbuffer_add(buffer, text.data(), text.size());
        evhttp_send_reply(request, status, nullptr, buffer);
        evbuffer_free(buffer);
    }

    event_loop* loop;
    backend_options options;
    random_source random;
    std::uint64_t boot_id;
    double latency_factor = 1.0;
    bool draining = false;                // refuses calls and says so in the load report
    bool shedding = false;                // refuses calls without notice in the load report
    bool leaving = false;                 // says so in every response, and runs calls
    std::string stated_rate;              // calls per second, in every response; empty: none
    std::uint32_t answers_since_cold = 0; // completed calls since the last cold start or collapse
    std::size_t in_use = 0;
    std::size_t reported_in_use = 0; // in_use at the last refresh of the load report
    std::size_t max_in_use = 0;
    std::size_t max_in_use_cold = 0; // maximum of in_use while cold
    std::size_t max_present = 0;     // most calls running and waiting together
    std::uint64_t collapses = 0;
    std::uint64_t cancelled = 0; // calls that ended after their client closed the connection
    std::uint64_t shed_count = 0;
    std::uint64_t total_runs = 0;
    std::map<std::string, std::uint64_t> runs_by_call; // key: id of the call
    std::deque<std::shared_ptr<backend_call>> waiting_calls;
    timer load_report_timer;
};

int serve(const std::string& listen_address, const backend_options& options) {
    event_loop loop;
    backend_stand_in backend{loop, options};
    auto* server = evhttp_new(loop.base());
    const auto handle = [](evhttp_request* request, void* self) {
        static_cast<backend_stand_in*>(self)->on_request(request);
    };
    evhttp_set_gencb(server, handle, &backend);
    const auto colon = listen_address.find(':');
    const auto port = static_cast<std::uint16_t>(std::stoi(listen_address.substr(colon + 1)));
    if (evhttp_bind_socket(server, listen_address.substr(0, colon).c_str(), port) != 0) {
        std::cerr << "backend server stand-in: cannot listen on " << listen_address << '\n';
        return 1;
    }
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}

} // namespace

} // namespace chervilturn::stand_ins

int main(int argc, char** argv) {
    try {
        using chervilturn::stand_ins::backend_options;
        TCLAP::CmdLine command_line{"Stand-in for a backend server.", ' '};
        TCLAP::ValueArg<std::string> listen_arg{"", "listen", "Address", true, "", "IP:PORT", command_line};
        TCLAP::ValueArg<std::string> name_arg{"", "name", "Name", true, "", "NAME", command_line};
        TCLAP::ValueArg<std::uint32_t> slots_arg{"", "slots", "Concurrent calls", false,
                                                 6,  "N",     command_line};
        TCLAP::ValueArg<std::uint32_t> latency_arg{
            "",  "latency-us", "Approximate mean service time in microseconds", false, 5000,
            "N", command_line};
        TCLAP::ValueArg<std::uint32_t> cold_slots_arg{
            "", "cold-slots", "Concurrent calls that a cold server bears", false, 2, "N", command_line};
        TCLAP::ValueArg<std::uint32_t> warm_up_answers_arg{
            "", "warm-up-answers", "Completed calls until warm", false, 50, "N", command_line};
        TCLAP::ValueArg<std::uint64_t> seed_arg{"", "seed", "Seed", false, 1, "N", command_line};
        command_line.parse(argc, argv);
        std::signal(SIGPIPE, SIG_IGN);
        const backend_options options{.name = name_arg.getValue(),
                                      .slots = slots_arg.getValue(),
                                      .latency = chervilturn::microseconds{latency_arg.getValue()},
                                      .cold_slots = cold_slots_arg.getValue(),
                                      .warm_up_answers = warm_up_answers_arg.getValue(),
                                      .seed = seed_arg.getValue()};
        return chervilturn::stand_ins::serve(listen_arg.getValue(), options);
    } catch (const std::exception& failure) {
        std::cerr << "backend server stand-in: " << failure.what() << '\n';
        return 1;
    }
}
