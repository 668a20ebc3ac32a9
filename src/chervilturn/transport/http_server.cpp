// HTTP server: accepts connections, reads one request at a time from each and writes the responses.
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

constexpr microseconds timeout_check_period = std::chrono::milliseconds{250};
constexpr microseconds max_linger =
    std::chrono::milliseconds{500};                 // for the client to read the last response
constexpr std::size_t max_read_ahead = 64UL * 1024; // bytes of later requests buffered during a request
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
          phase_started{monotonic_clock::now()} {}

    void respond(const http_response& response, bool head_request) {
        const bool last_response = this->server->closing || !this->keep_alive;
        this->write(response_text(response, last_response, head_request));
        this->exchange.reset();
        this->phase_started = monotonic_clock::now();
        if (last_response) {
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

    /// @brief Whether no request is being read or processed and no output is waiting.
    [[nodiscard]] bool is_idle() const noexcept {
        return (this->state == phase::idle || this->state == phase::lingering) && this->unwritten() == 0;
    }

    void check_timeout(instant now) {
        const auto phase_duration = elapsed(this->phase_started, now);
        const auto guard = this->shared_from_this();
        switch (this->state) {
        case phase::idle:
            if (phase_duration >= this->server->options.idle_timeout) {
                this->end();
            }
            break;
        case phase::reading:
            if (phase_duration >= this->server->options.header_timeout) {
                this->reject(status_request_timeout, "the request was not complete in time");
            }
            break;
        case phase::lingering:
            if (phase_duration >= max_linger && this->unwritten() == 0) {
                this->end();
            }
            break;
        case phase::processing:
            break;
        }
    }

  private:
    enum class phase { idle, reading, processing, lingering };

    void on_readable() override {
        const auto guard = this->shared_from_this();
        if (this->state == phase::lingering) {
            evbuffer_drain(this->input(), evbuffer_get_length(this->input()));
            return;
        }
        if (this->state == phase::processing) {
            if (evbuffer_get_length(this->input()) > max_read_ahead) {
                this->reading_paused = true;
                this->pause_reading();
            }
            return;
        }
        if (this->state == phase::idle) {
            this->state = phase::reading;
            this->phase_started = monotonic_clock::now();
        }
        this->read();
    }

    void read() {
        switch (this->reader.consume(this->input())) {
        case read_status::incomplete:
            this->send_continue();
            break;
        case read_status::complete:
            this->start_request();
            break;
        case read_status::malformed:
            this->reject(status_bad_request, "the request is malformed");
            break;
        case read_status::head_too_large:
            this->reject(status_headers_too_large, "the request's headers are too large");
            break;
        case read_status::body_too_large:
            this->reject(status_content_too_large, "the request's body is too large");
            break;
        }
    }

    // Sends 100 Continue to a client that expects it before it sends the body.
    void send_continue() {
        if (this->reader.head_complete() && !this->continue_sent &&
            !find_header(this->reader.message().headers, "expect").empty()) {
            this->continue_sent = true;
            this->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    void start_request() {
        auto& message = this->reader.message();
        this->state = phase::processing;
        this->continue_sent = false;
        this->keep_alive = message.keep_alive;
        auto new_exchange = std::make_shared<http_exchange>(
            this->weak_from_this(), http_request{.method = std::move(message.method),
                                                 .target = std::move(message.target),
                                                 .headers = std::move(message.headers),
                                                 .body = std::move(message.body)});
        this->exchange = new_exchange;
        this->server->handler(std::move(new_exchange));
    }

    void reject(std::uint16_t status, const std::string& explanation) {
        this->write(response_text({.status = status,
                                   .headers = {{"content-type", "application/json"}},
                                   .body = "{\"message\":\"" + explanation + "\"}\n"},
                                  true, false));
        this->start_linger();
    }

    // Closing at once would reset the connection if unread input arrives, and the client could lose the
    // response.
    void start_linger() {
        this->state = phase::lingering;
        this->phase_started = monotonic_clock::now();
        evbuffer_drain(this->input(), evbuffer_get_length(this->input()));
        if (this->reading_paused) {
            this->reading_paused = false;
            this->resume_reading();
        }
        if (this->unwritten() == 0) {
            this->shutdown_writing();
        }
    }

    void on_written() override {
        if (this->state == phase::lingering) {
            this->shutdown_writing();
        }
    }

    void on_end(stream_end) override { this->end(); }

    void end() {
        const auto guard = this->shared_from_this();
        this->close();
        const auto unanswered = this->exchange.lock();
        this->exchange.reset();
        this->server->remove(*this);
        if (unanswered) {
            unanswered->notify_abandoned();
        }
    }

    http_server* server; // outlives the connection
    http_reader reader;
    phase state = phase::idle;
    instant phase_started;
    std::weak_ptr<http_exchange> exchange;
    bool keep_alive = false;
    bool continue_sent = false; // for the current request
    bool reading_paused = false;
};

} // namespace internal

http_exchange::http_exchange(std::weak_ptr<internal::server_connection> carrying_connection,
                             http_request parsed_request)
    : connection{std::move(carrying_connection)}, received_request{std::move(parsed_request)},
      head_request{this->received_request.method == "HEAD"} {}

http_exchange::~http_exchange() {
    constexpr std::uint16_t internal_error = 500;
    this->respond({.status = internal_error, .headers = {}, .body = {}});
}

void http_exchange::respond(const http_response& response) {
    const auto open_connection = this->connection.lock();
    this->connection.reset();
    this->abandon_handler = nullptr;
    if (open_connection != nullptr && open_connection->is_open()) {
        open_connection->respond(response, this->head_request);
    }
}

bool http_exchange::client_has_left() const noexcept {
    const auto open_connection = this->connection.lock();
    return open_connection == nullptr || open_connection->ended_by_peer();
}

void http_exchange::notify_abandoned() {
    this->connection.reset();
    if (this->abandon_handler) {
        const auto handler = std::move(this->abandon_handler);
        this->abandon_handler = nullptr;
        handler();
    }
}

http_server::http_server(event_loop& io_loop, const http_server_options& server_options,
                         request_handler callback)
    : loop{&io_loop}, options{server_options}, handler{std::move(callback)},
      timeout_timer{io_loop, [this] { this->check_timeouts(); }} {
    this->timeout_timer.start_periodic(timeout_check_period);
}

http_server::~http_server() {
    this->stop_accepting();
    for (const auto& connection : this->connections) {
        connection->close();
    }
}

result<std::unique_ptr<http_server>, transport_error> http_server::listen(event_loop& loop,
                                                                          const address& bind_address,
                                                                          const http_server_options& options,
                                                                          request_handler handler) {
    constexpr int backlog = 512;
    std::unique_ptr<http_server> new_server{new http_server{loop, options, std::move(handler)}};
    const auto on_accept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        static_cast<http_server*>(self)->on_accepted(socket);
    };
    const auto socket_address = internal::to_socket_address(bind_address);
    new_server->socket =
        evconnlistener_new_bind(loop.base(), on_accept, new_server.get(),
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, backlog,
                                reinterpret_cast<const sockaddr*>(&socket_address), sizeof(socket_address));
    if (new_server->socket == nullptr) {
        return transport_error{"cannot listen on " + to_string(bind_address) + ": " + std::strerror(errno)};
    }
    return new_server;
}

void http_server::stop_accepting() noexcept {
    if (this->socket != nullptr) {
        evconnlistener_free(this->socket);
        this->socket = nullptr;
    }
}

bool http_server::idle() const noexcept {
    return std::all_of(this->connections.begin(), this->connections.end(),
                       [](const auto& connection) { return connection->is_idle(); });
}

void http_server::on_accepted(int accepted_socket) {
    this->connections.push_back(std::make_shared<internal::server_connection>(*this, accepted_socket));
}

void http_server::check_timeouts() {
    const auto now = monotonic_clock::now();
    const auto snapshot = this->connections; // a copy, since a check may remove its connection from the list
    for (const auto& connection : snapshot) {
        if (connection->is_open()) {
            connection->check_timeout(now);
        }
    }
}

void http_server::remove(const internal::server_connection& closed_connection) {
    this->connections.remove_if(
        [&closed_connection](const auto& connection) { return connection.get() == &closed_connection; });
}

} // namespace chervilturn
