// HTTP client: connections that carry one request at a time and are kept for the next one.
#include "chervilturn/transport/http.hpp"
#include "chervilturn/transport/http_reader.hpp"
#include "chervilturn/transport/http_stream.hpp"
#include "chervilturn/transport/http_writer.hpp"

#include <algorithm>
#include <charconv>
#include <event2/buffer.h>

namespace chervilturn {

namespace {

constexpr microseconds sweep_period = std::chrono::milliseconds{500};
constexpr std::uint16_t first_final_status = 200; // lower ones announce a later response

// How long the server says that it keeps an idle connection; zero when it does not say.
[[nodiscard]] microseconds announced_keep_alive(const std::vector<header>& headers) {
    constexpr std::string_view parameter = "timeout=";
    const auto value = find_header(headers, "keep-alive");
    const auto found = value.find(parameter);
    if (found == std::string_view::npos) {
        return microseconds::zero();
    }
    std::int64_t seconds = 0;
    const auto digits = value.substr(found + parameter.size());
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return parsed.ec == std::errc{} ? microseconds{std::chrono::seconds{seconds}} : microseconds::zero();
}

} // namespace

/// @brief One request in progress.
class http_client::exchange {
  public:
    exchange(http_client& owner, http_send_options given, response_handler receiver, bool is_head)
        : client{&owner}, how{std::move(given)}, handler{std::move(receiver)}, head{is_head},
          deadline{*owner.loop, [this] { this->on_deadline(); }} {
        this->deadline.start_once(this->how.timeout);
    }

    void end(http_failure failure);
    void on_deadline();

    http_client* client; // outlives the exchange
    http_send_options how;
    response_handler handler;
    bool head; // the request is HEAD
    std::shared_ptr<internal::client_connection> connection;
    timer deadline;
};

namespace internal {

/// @brief One connection to the target.
class client_connection final : public http_stream, public std::enable_shared_from_this<client_connection> {
  public:
    explicit client_connection(http_client& owner)
        : http_stream{*owner.loop, -1}, client{&owner}, reader{http_kind::response,
                                                               {owner.options.max_header_bytes,
                                                                owner.options.max_body_bytes}},
          used_at{monotonic_clock::now()}, idle_limit{owner.options.idle_timeout} {
        this->connect(owner.target);
    }

    void start(http_client::exchange& started, const std::string& text) {
        this->carried = &started;
        this->reader.reset(started.head);
        this->write(text);
    }

    [[nodiscard]] bool is_connected() const noexcept { return this->connected; }

    [[nodiscard]] bool has_expired(instant now) const noexcept {
        return elapsed(this->used_at, now) >= this->idle_limit;
    }

  private:
    void on_connected() override { this->connected = true; }

    void on_readable() override {
        const auto guard = this->shared_from_this();
        if (this->carried == nullptr) { // bytes that no request asked for
            this->client->discard(*this);
            return;
        }
        while (this->carried != nullptr && this->is_open()) {
            const auto status = this->reader.consume(this->input());
            if (status == read_status::incomplete) {
                return;
            }
            this->on_read(status);
        }
    }

    void on_read(read_status status) {
        if (status == read_status::complete) {
            this->on_response();
        } else {
            this->fail(status == read_status::body_too_large ? http_failure::too_large
                                                             : http_failure::malformed);
        }
    }

    void on_response() {
        auto& message = this->reader.message();
        http_response response{
            .status = message.status, .headers = std::move(message.headers), .body = std::move(message.body)};
        if (response.status < first_final_status) {
            this->reader.reset(this->carried->head);
            return;
        }
        if (this->carried->how.belongs && !this->carried->how.belongs(response)) {
            this->tainted = true; // answered twice before; may do so again
            this->reader.reset(this->carried->head);
            return;
        }
        const bool reusable = message.keep_alive && !this->tainted && evbuffer_get_length(this->input()) == 0;
        const auto announced = announced_keep_alive(response.headers);
        if (announced > microseconds::zero()) {
            this->idle_limit = std::min(this->idle_limit, announced / 2);
        }
        this->used_at = monotonic_clock::now();
        auto& ended = *std::exchange(this->carried, nullptr);
        if (!reusable) {
            this->close();
        }
        this->client->finish(ended, std::move(response));
    }

    void on_end(stream_end how) override {
        const auto guard = this->shared_from_this();
        if (this->carried == nullptr) {
            this->client->discard(*this);
            return;
        }
        if (!this->connected) {
            this->fail(http_failure::refused);
        } else if (how == stream_end::in_order && this->reader.head_complete() &&
                   this->reader.finish() == read_status::complete) {
            this->tainted = true; // the connection has ended
            this->on_response();
            if (this->carried != nullptr) {
                this->fail(http_failure::cut);
            }
        } else {
            this->fail(http_failure::cut);
        }
    }

    void fail(http_failure failure) {
        auto& ended = *std::exchange(this->carried, nullptr);
        this->close();
        this->client->finish(ended, failure);
    }

    http_client* client; // outlives the connection
    http_reader reader;
    http_client::exchange* carried = nullptr; // null while idle
    bool connected = false;
    bool tainted = false; // must not carry another request
    instant used_at;
    microseconds idle_limit;
};

} // namespace internal

void http_client::exchange::end(http_failure failure) {
    this->connection->close();
    this->client->finish(*this, failure);
}

void http_client::exchange::on_deadline() {
    this->end(this->connection->is_connected() ? http_failure::timed_out : http_failure::refused);
}

http_client::http_client(event_loop& used, const address& where, const http_client_options& given)
    : loop{&used}, target{where}, options{given}, deliver{used,
                                                          [this] {
                                                              const auto finished =
                                                                  std::exchange(this->ended, {});
                                                              for (const auto& [done, outcome] : finished) {
                                                                  done->handler(outcome);
                                                              }
                                                          }},
      sweeper{used, [this] { this->sweep(); }} {
    this->sweeper.start_periodic(sweep_period);
}

http_client::~http_client() = default;

std::weak_ptr<http_client::exchange> http_client::send(const http_request& request, microseconds timeout,
                                                       response_handler handler) {
    return this->send(request, http_send_options{.timeout = timeout, .belongs = {}}, std::move(handler));
}

std::weak_ptr<http_client::exchange> http_client::send(const http_request& request, http_send_options how,
                                                       response_handler handler) {
    const bool fresh = how.fresh_connection;
    auto started =
        std::make_shared<exchange>(*this, std::move(how), std::move(handler), request.method == "HEAD");
    this->in_progress.push_back(started);
    started->connection = this->take_connection(fresh);
    started->connection->start(*started, internal::request_text(request, this->target));
    return started;
}

void http_client::give_up(const std::weak_ptr<exchange>& sent) {
    if (const auto held = sent.lock(); held != nullptr && held->connection != nullptr) {
        held->end(http_failure::cancelled);
    }
}

void http_client::drop_idle() noexcept {
    for (const auto& connection : this->idle) {
        connection->close();
    }
    this->idle.clear();
}

http_client::connection_handle http_client::take_connection(bool fresh) {
    const auto now = monotonic_clock::now();
    while (!fresh && !this->idle.empty()) {
        auto reused = std::move(this->idle.back());
        this->idle.pop_back();
        if (reused->is_open() && !reused->has_expired(now)) {
            return reused;
        }
        reused->close();
    }
    return std::make_shared<internal::client_connection>(*this);
}

void http_client::keep(connection_handle connection) {
    if (connection->is_open() && this->idle.size() < this->options.max_idle) {
        this->idle.push_back(std::move(connection));
    } else {
        connection->close();
    }
}

void http_client::discard(const internal::client_connection& ended) noexcept {
    const auto found = std::find_if(this->idle.begin(), this->idle.end(),
                                    [&ended](const auto& held) { return held.get() == &ended; });
    if (found != this->idle.end()) {
        (*found)->close();
        this->idle.erase(found);
    }
}

void http_client::sweep() {
    const auto now = monotonic_clock::now();
    std::erase_if(this->idle, [now](const connection_handle& held) {
        if (!held->has_expired(now)) {
            return false;
        }
        held->close();
        return true;
    });
}

void http_client::finish(exchange& finished, http_result outcome) {
    const auto found = std::find_if(this->in_progress.begin(), this->in_progress.end(),
                                    [&finished](const auto& held) { return held.get() == &finished; });
    if (found == this->in_progress.end()) {
        return;
    }
    auto guard = std::move(*found);
    this->in_progress.erase(found);
    guard->deadline.stop();
    if (auto connection = std::exchange(guard->connection, nullptr); connection->is_open()) {
        this->keep(std::move(connection));
    }
    this->ended.emplace_back(std::move(guard), std::move(outcome));
    this->deliver.signal();
}

} // namespace chervilturn
