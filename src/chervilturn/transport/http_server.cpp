// HTTP server: connections, their requests in turn, and the responses to them.
#include "chervilturn/transport/http.hpp"
#include "chervilturn/transport/http_reader.hpp"
#include "chervilturn/transport/http_stream.hpp"
#include "chervilturn/transport/http_writer.hpp"
#include "chervilturn/transport/socket_address.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <event2/buffer.h>
#include <event2/listener.h>

namespace chervilturn {

namespace {

constexpr microseconds sweep_period = std::chrono::milliseconds{250};
constexpr microseconds longest_linger =
    std::chrono::milliseconds{500};                 // for the other side to read a refusal
constexpr std::size_t max_read_ahead = 64UL * 1024; // bytes of later requests taken in while one is at work
constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_request_timeout = 408;
constexpr std::uint16_t status_content_too_large = 413;
constexpr std::uint16_t status_headers_too_large = 431;

} // namespace

namespace internal {

/// @brief One accepted connection. Carries one request at a time.
class server_connection final : public http_stream, public std::enable_shared_from_this<server_connection> {
  public:
    server_connection(http_server& owner, int socket)
        : http_stream{*owner.loop, socket}, server{&owner}, reader{http_kind::request,
                                                                   {owner.options.max_header_bytes,
                                                                    owner.options.max_body_bytes}},
          changed_at{monotonic_clock::now()} {}

    void respond(const http_response& response, bool head) {
        const bool last = this->server->closing || !this->keep_alive;
        this->write(response_text(response, last, head));
        this->exchange.reset();
        this->changed_at = monotonic_clock::now();
        if (last) {
            this->start_linger();
            return;
        }
        this->reader.reset();
        this->state = phase::idle;
        if (this->reading_paused) {
            this->reading_paused = false;
            this->resume_reading();
        }
        if (evbuffer_get_length(this->input()) > 0) {
            this->on_readable();
        }
    }

    /// @brief Whether nothing is read, at work or being written.
    [[nodiscard]] bool is_idle() const noexcept {
        return (this->state == phase::idle || this->state == phase::lingering) && this->unwritten() == 0;
    }

    void check_time(instant now) {
        const auto since = elapsed(this->changed_at, now);
        const auto guard = this->shared_from_this();
        switch (this->state) {
        case phase::idle:
            if (since >= this->server->options.idle_timeout) {
                this->end();
            }
            break;
        case phase::reading:
            if (since >= this->server->options.header_timeout) {
                this->refuse(status_request_timeout, "the request did not arrive whole in time");
            }
            break;
        case phase::lingering:
            if (since >= longest_linger && this->unwritten() == 0) {
                this->end();
            }
            break;
        case phase::at_work:
            break;
        }
    }

  private:
    enum class phase { idle, reading, at_work, lingering };

    void on_readable() override {
        const auto guard = this->shared_from_this();
        if (this->state == phase::lingering) {
            evbuffer_drain(this->input(), evbuffer_get_length(this->input()));
            return;
        }
        if (this->state == phase::at_work) {
            if (evbuffer_get_length(this->input()) > max_read_ahead) {
                this->reading_paused = true;
                this->pause_reading();
            }
            return;
        }
        if (this->state == phase::idle) {
            this->state = phase::reading;
            this->changed_at = monotonic_clock::now();
        }
        this->read();
    }

    void read() {
        switch (this->reader.consume(this->input())) {
        case read_status::incomplete:
            this->invite_body();
            break;
        case read_status::complete:
            this->start_request();
            break;
        case read_status::malformed:
            this->refuse(status_bad_request, "the request is malformed");
            break;
        case read_status::head_too_large:
            this->refuse(status_headers_too_large, "the request's headers are too large");
            break;
        case read_status::body_too_large:
            this->refuse(status_content_too_large, "the request's body is too large");
            break;
        }
    }

    void invite_body() {
        if (this->reader.head_complete() && !this->invited &&
            !find_header(this->reader.message().headers, "expect").empty()) {
            this->invited = true;
            this->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    void start_request() {
        auto& message = this->reader.message();
        this->state = phase::at_work;
        this->invited = false;
        this->keep_alive = message.keep_alive;
        auto started = std::make_shared<http_exchange>(this->weak_from_this(),
                                                       http_request{.method = std::move(message.method),
                                                                    .target = std::move(message.target),
                                                                    .headers = std::move(message.headers),
                                                                    .body = std::move(message.body)});
        this->exchange = started;
        this->server->handler(std::move(started));
    }

    void refuse(std::uint16_t status, const std::string& why) {
        this->write(response_text({.status = status,
                                   .headers = {{"content-type", "application/json"}},
                                   .body = "{\"message\":\"" + why + "\"}\n"},
                                  true, false));
        this->start_linger();
    }

    // Closing at once would reset the connection and could cost the other side the response.
    void start_linger() {
        this->state = phase::lingering;
        this->changed_at = monotonic_clock::now();
        evbuffer_drain(this->input(), evbuffer_get_length(this->input()));
        if (this->reading_paused) {
            this->reading_paused = false;
            this->resume_reading();
        }
        if (this->unwritten() == 0) {
            this->end_writing();
        }
    }

    void on_written() override {
        if (this->state == phase::lingering) {
            this->end_writing();
        }
    }

    void on_end(stream_end) override { this->end(); }

    void end() {
        const auto guard = this->shared_from_this();
        this->close();
        const auto left = this->exchange.lock();
        this->exchange.reset();
        this->server->forget(*this);
        if (left) {
            left->notice_abandoned();
        }
    }

    http_server* server; // outlives the connection
    http_reader reader;
    phase state = phase::idle;
    instant changed_at; // of the phase
    std::weak_ptr<http_exchange> exchange;
    bool keep_alive = false;
    bool invited = false; // to send the body, after an expectation
    bool reading_paused = false;
};

} // namespace internal

http_exchange::http_exchange(std::weak_ptr<internal::server_connection> carrier, http_request parsed)
    : connection{std::move(carrier)}, received{std::move(parsed)}, head{this->received.method == "HEAD"} {}

http_exchange::~http_exchange() {
    constexpr std::uint16_t internal_error = 500;
    this->respond({.status = internal_error, .headers = {}, .body = {}});
}

void http_exchange::respond(const http_response& response) {
    const auto carrier = this->connection.lock();
    this->connection.reset();
    this->abandoned = nullptr;
    if (carrier != nullptr && carrier->is_open()) {
        carrier->respond(response, this->head);
    }
}

void http_exchange::notice_abandoned() {
    this->connection.reset();
    if (this->abandoned) {
        const auto handler = std::move(this->abandoned);
        this->abandoned = nullptr;
        handler();
    }
}

http_server::http_server(event_loop& used, const http_server_options& given, request_handler receiver)
    : loop{&used}, options{given}, handler{std::move(receiver)}, sweeper{used, [this] { this->sweep(); }} {
    this->sweeper.start_periodic(sweep_period);
}

http_server::~http_server() {
    this->stop_accepting();
    for (const auto& connection : this->open) {
        connection->close();
    }
}

result<std::unique_ptr<http_server>, transport_error> http_server::listen(event_loop& loop,
                                                                          const address& where,
                                                                          const http_server_options& options,
                                                                          request_handler handler) {
    constexpr int backlog = 512;
    std::unique_ptr<http_server> made{new http_server{loop, options, std::move(handler)}};
    const auto accepted = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        static_cast<http_server*>(self)->on_accepted(socket);
    };
    const auto target = internal::to_socket_address(where);
    made->socket = evconnlistener_new_bind(
        loop.base(), accepted, made.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        backlog, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    if (made->socket == nullptr) {
        return transport_error{"cannot listen on " + to_string(where) + ": " + std::strerror(errno)};
    }
    return made;
}

void http_server::stop_accepting() noexcept {
    if (this->socket != nullptr) {
        evconnlistener_free(this->socket);
        this->socket = nullptr;
    }
}

bool http_server::idle() const noexcept {
    return std::all_of(this->open.begin(), this->open.end(),
                       [](const auto& connection) { return connection->is_idle(); });
}

void http_server::on_accepted(int accepted) {
    this->open.push_back(std::make_shared<internal::server_connection>(*this, accepted));
}

void http_server::sweep() {
    const auto now = monotonic_clock::now();
    const auto checked = this->open; // connections may end while they are checked
    for (const auto& connection : checked) {
        if (connection->is_open()) {
            connection->check_time(now);
        }
    }
}

void http_server::forget(const internal::server_connection& ended) {
    this->open.remove_if([&ended](const auto& connection) { return connection.get() == &ended; });
}

} // namespace chervilturn
