// Stand-in for a backend server: slots, cold start that collapses under load, drain, lagging load report,
// cancellation, and a count of runs for each call.
//
// Calls may ask for a service time (?ms=), a body size (?size=) or an answer cut short (?cut=1).
// Control: POST /control/set?latency_us=&factor=&drain=&cold=&shed=, GET /control/stats, GET
// /control/runs?id=.
#include "chervilturn/core/random.hpp"
#include "chervilturn/transport/event_loop.hpp"
#include "stand_ins/query.hpp"

#include <algorithm>
#include <cmath>
#include <csignal>
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
#include <tclap/CmdLine.h>

namespace chervilturn::stand_ins {

namespace {

struct backend_options {
    std::string name;
    std::uint32_t slots = 6;
    microseconds latency = std::chrono::milliseconds{5};
    std::uint32_t cold_slots = 2;       // more at once while cold makes it collapse
    std::uint32_t warm_up_answers = 50; // answers until it is warm
    microseconds report_lag = std::chrono::milliseconds{200};
    std::uint64_t seed = 1;
};

struct work {
    evhttp_request* request = nullptr; // null once the other side has gone
    std::string id;
    query asked;
    bool running = false;
    std::unique_ptr<timer> done;
};

class backend_stand_in {
  public:
    backend_stand_in(event_loop& used, const backend_options& given)
        : loop{&used}, options{given}, random{given.seed}, boot{this->random.bits()},
          reporter{used, [this] { this->reported_in_use = this->in_use; }} {
        this->reporter.start_periodic(given.report_lag);
    }

    void on_request(evhttp_request* request) {
        const query asked{evhttp_request_get_uri(request)};
        if (asked.path == "/load") {
            this->reply(request, 200, this->load_report());
        } else if (asked.path.starts_with("/control/")) {
            this->control(request, asked);
        } else if (this->shed || this->draining) {
            ++this->shed_count;
            evhttp_add_header(evhttp_request_get_output_headers(request), "chervilturn-outcome", "not-run");
            this->reply(request, 503, {{"shed", true}});
        } else {
            this->enqueue(request, asked);
        }
    }

  private:
    void enqueue(evhttp_request* request, const query& asked) {
        auto* headers = evhttp_request_get_input_headers(request);
        const auto* key = evhttp_find_header(headers, "idempotency-key");
        const auto* call = evhttp_find_header(headers, "x-call-id");
        auto added = std::make_shared<work>(work{.request = request,
                                                 .id = key != nullptr    ? key
                                                       : call != nullptr ? call
                                                                         : std::string{},
                                                 .asked = asked,
                                                 .done = nullptr});
        const auto gone = [](evhttp_connection*, void* self) { static_cast<work*>(self)->request = nullptr; };
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), gone, added.get());
        this->waiting.push_back(std::move(added));
        this->max_present = std::max(this->max_present, this->in_use + this->waiting.size());
        this->start_waiting();
    }

    void start_waiting() {
        while (this->in_use < this->options.slots && !this->waiting.empty()) {
            const auto next = this->waiting.front();
            this->waiting.pop_front();
            if (next->request != nullptr) {
                this->run(next);
            }
        }
    }

    void run(const std::shared_ptr<work>& started) {
        ++this->in_use;
        ++this->runs[started->id];
        ++this->total_runs;
        this->max_in_use = std::max(this->max_in_use, this->in_use);
        if (!this->is_warm()) {
            this->max_in_use_cold = std::max(this->max_in_use_cold, this->in_use);
            if (this->in_use > this->options.cold_slots) {
                ++this->collapses;
                this->warmth = 0;
            }
        }
        started->done = std::make_unique<timer>(*this->loop, [this, started] { this->finish(started); });
        started->done->start_once(this->service_time(started->asked));
        started->running = true;
    }

    [[nodiscard]] bool is_warm() const { return this->warmth >= this->options.warm_up_answers; }

    [[nodiscard]] microseconds service_time(const query& asked) {
        constexpr double collapsed_factor = 20.0;
        const double base = asked.has("ms") ? static_cast<double>(asked.number("ms", 0)) * 1000.0
                                            : static_cast<double>(this->options.latency.count());
        const bool overwhelmed = !this->is_warm() && this->in_use > this->options.cold_slots;
        const double spread = asked.has("ms") ? 1.0 : -std::log(this->random.uniform(0.05, 1.0)) * 0.5 + 0.5;
        const double micros = base * this->factor * spread * (overwhelmed ? collapsed_factor : 1.0);
        return microseconds{static_cast<std::int64_t>(std::max(1.0, micros))};
    }

    void finish(const std::shared_ptr<work>& ended) {
        --this->in_use;
        ++this->warmth;
        if (ended->request != nullptr) {
            this->answer(*ended);
        } else {
            ++this->cancelled;
        }
        ended->done.reset();
        this->start_waiting();
    }

    void answer(work& ended) {
        auto* connection = evhttp_request_get_connection(ended.request);
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        if (ended.asked.has("cut")) {
            evhttp_add_header(evhttp_request_get_output_headers(ended.request), "Content-Length", "1000000");
            auto* part = evbuffer_new();
            evbuffer_add_printf(part, "cut short");
            evhttp_send_reply_start(ended.request, 200, "OK");
            evhttp_send_reply_chunk_with_cb(
                ended.request, part,
                [](evhttp_connection* written, void*) {
                    bufferevent_disable(evhttp_connection_get_bufferevent(written), EV_READ | EV_WRITE);
                    evhttp_connection_free(written);
                },
                nullptr);
            evbuffer_free(part);
            return;
        }
        nlohmann::json body{{"backend_server", this->options.name},
                            {"id", ended.id},
                            {"runs", this->runs[ended.id]},
                            {"path", ended.asked.path}};
        if (ended.asked.has("size")) {
            body["filler"] = std::string(static_cast<std::size_t>(ended.asked.number("size", 0)), 'x');
        }
        this->reply(ended.request, 200, body);
    }

    [[nodiscard]] nlohmann::json load_report() const {
        return {{"in_use", this->reported_in_use},
                {"slots", this->options.slots},
                {"draining", this->draining},
                {"boot", std::to_string(this->boot)}};
    }

    void control(evhttp_request* request, const query& asked) {
        if (asked.path == "/control/set") {
            this->options.latency = microseconds{asked.number("latency_us", this->options.latency.count())};
            this->factor =
                static_cast<double>(asked.number("factor", static_cast<std::int64_t>(this->factor)));
            this->draining = asked.number("drain", this->draining ? 1 : 0) != 0;
            this->shed = asked.number("shed", this->shed ? 1 : 0) != 0;
            if (asked.has("cold")) {
                this->warmth = 0;
                this->boot = this->random.bits();
            }
            if (asked.has("reset")) {
                this->max_in_use = this->max_in_use_cold = this->max_present = 0;
                this->collapses = 0;
            }
        }
        if (asked.path == "/control/runs") {
            const auto found = this->runs.find(asked.text("id"));
            this->reply(request, 200, {{"runs", found == this->runs.end() ? 0 : found->second}});
            return;
        }
        this->reply(request, 200,
                    {{"total_runs", this->total_runs},
                     {"in_use", this->in_use},
                     {"waiting", this->waiting.size()},
                     {"max_in_use", this->max_in_use},
                     {"max_present", this->max_present},
                     {"max_in_use_cold", this->max_in_use_cold},
                     {"collapses", this->collapses},
                     {"cancelled", this->cancelled},
                     {"shed", this->shed_count},
                     {"warm", this->is_warm()}});
    }

    void reply(evhttp_request* request, int status, const nlohmann::json& body) {
        auto* buffer = evbuffer_new();
        const auto text = body.dump() + '\n';
        evbuffer_add(buffer, text.data(), text.size());
        evhttp_send_reply(request, status, nullptr, buffer);
        evbuffer_free(buffer);
    }

    event_loop* loop;
    backend_options options;
    random_source random;
    std::uint64_t boot;
    double factor = 1.0;
    bool draining = false;
    bool shed = false;
    std::uint32_t warmth = 0; // answers since the cold start
    std::size_t in_use = 0;
    std::size_t reported_in_use = 0;
    std::size_t max_in_use = 0;
    std::size_t max_in_use_cold = 0;
    std::size_t max_present = 0;
    std::uint64_t collapses = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t shed_count = 0;
    std::uint64_t total_runs = 0;
    std::map<std::string, std::uint64_t> runs; // by call
    std::deque<std::shared_ptr<work>> waiting;
    timer reporter;
};

int serve(const std::string& where, const backend_options& options) {
    event_loop loop;
    backend_stand_in backend{loop, options};
    auto* server = evhttp_new(loop.base());
    const auto handle = [](evhttp_request* request, void* self) {
        static_cast<backend_stand_in*>(self)->on_request(request);
    };
    evhttp_set_gencb(server, handle, &backend);
    const auto colon = where.find(':');
    const auto port = static_cast<std::uint16_t>(std::stoi(where.substr(colon + 1)));
    if (evhttp_bind_socket(server, where.substr(0, colon).c_str(), port) != 0) {
        std::cerr << "backend server stand-in: cannot listen on " << where << '\n';
        return 1;
    }
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}

} // namespace

} // namespace chervilturn::stand_ins

int main(int count, char** values) {
    try {
        using chervilturn::stand_ins::backend_options;
        TCLAP::CmdLine line{"Stand-in for a backend server.", ' '};
        TCLAP::ValueArg<std::string> listen{"", "listen", "Address", true, "", "IP:PORT", line};
        TCLAP::ValueArg<std::string> name{"", "name", "Name", true, "", "NAME", line};
        TCLAP::ValueArg<std::uint32_t> slots{"", "slots", "Calls at once", false, 6, "N", line};
        TCLAP::ValueArg<std::uint32_t> latency{"", "latency-us", "Service time", false, 5000, "N", line};
        TCLAP::ValueArg<std::uint32_t> cold{"",  "cold-slots", "Calls at once while cold", false, 2,
                                            "N", line};
        TCLAP::ValueArg<std::uint32_t> warm{"",  "warm-up-answers", "Answers until warm", false, 50, "N",
                                            line};
        TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "Seed", false, 1, "N", line};
        line.parse(count, values);
        std::signal(SIGPIPE, SIG_IGN);
        const backend_options options{.name = name.getValue(),
                                      .slots = slots.getValue(),
                                      .latency = chervilturn::microseconds{latency.getValue()},
                                      .cold_slots = cold.getValue(),
                                      .warm_up_answers = warm.getValue(),
                                      .seed = seed.getValue()};
        return chervilturn::stand_ins::serve(listen.getValue(), options);
    } catch (const std::exception& failure) {
        std::cerr << "backend server stand-in: " << failure.what() << '\n';
        return 1;
    }
}
