// HTTP server: accepts connections, reads their requests and writes the responses in the same order.
#include "chervilturn/observe/log.hpp"
#include "chervilturn/transport/client_pace.hpp"
#include "chervilturn/transport/http.hpp"
#include "chervilturn/transport/http_reader.hpp"
#include "chervilturn/transport/http_stream.hpp"
#include "chervilturn/transport/http_writer.hpp"
#include "chervilturn/transport/request_pipeline.hpp"
#include "chervilturn/transport/socket_address.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <event2/buffer.h>
#include <event2/listener.h>
#include <limits>
#include <optional>
#include <utility>

namespace chervilturn {

namespace {

constexpr microseconds timeout_check_period = std::chrono::milliseconds{250};
constexpr microseconds max_linger =
    std::chrono::milliseconds{500};                 // for the client to read the last response
constexpr std::size_t max_read_ahead = 64UL * 1024; // bytes buffered while the pipeline has no room
constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_request_timeout = 408;
constexpr std::uint16_t status_content_too_large = 413;
constexpr std::uint16_t status_headers_too_large = 431;
constexpr std::uint16_t status_unavailable = 503;
// While bytes are lacking, a client that makes no progress for so long ends.
constexpr microseconds min_stall = std::chrono::milliseconds{500};
constexpr std::size_t min_drawn_bytes = 2048;        // of a request; fewer draw on no budget
constexpr std::size_t min_held_output = 64UL * 1024; // bytes; the kernel takes the rest of a shorter response
constexpr const char* retry_after_shortage_seconds = "1"; // for a client that was refused for lack of bytes

// What buffers take for unread input of this length.
[[nodiscard]] constexpr std::size_t buffer_bytes(std::size_t length) noexcept {
    constexpr std::size_t connection_bytes = 4096; // with the state of the connection
    return length + length / 4 + connection_bytes;
}

// What a message takes whose body takes this much.
[[nodiscard]] std::size_t bytes_of(const internal::http_message& message, std::size_t body_bytes) {
    std::size_t sum = message.target.capacity() + body_bytes;
    for (const auto& item : message.headers) {
        sum += sizeof(item) + item.name.size() + item.value.size();
    }
    return sum;
}

} // namespace

namespace internal {

/// @brief One accepted connection. Reads requests, starts them and writes their responses as its pipeline
/// says.
class server_connection final : public http_stream, public std::enable_shared_from_this<server_connection> {
  public:
    server_connection(http_server& owner, int socket)
        : http_stream{*owner.loop, socket}, server{&owner}, reader{http_kind::request, {}},
          pipeline{owner.options.pipeline}, idle_since{monotonic_clock::now()} {
        if (owner.closing) {
            this->pipeline.close();
        }
    }

    void respond(std::uint64_t number, http_response&& response) {
        this->pipeline.respond(number, std::move(response));
        this->advance();
    }

    void close_after_responses() { this->pipeline.close(); }

    /// @brief Whether no request is being read or processed and no output is waiting.
    [[nodiscard]] bool is_idle() const noexcept {
        return this->pipeline.empty() && !this->reading_since && this->unwritten() == 0;
    }

    [[nodiscard]] microseconds idle_for(instant now) const noexcept { return elapsed(this->idle_since, now); }

    /// @brief Whether a request has begun to arrive, and its client holds it up.
    [[nodiscard]] bool has_stalled(instant now) const noexcept {
        return this->reading_since && !this->awaits_room && this->pipeline.empty() &&
               this->arriving.stalled_for(now) >= min_stall;
    }

    /// @brief The bytes that are held because the client sends or takes slowly.
    [[nodiscard]] held_client held(instant now) {
        if (this->holds_output()) {
            this->note_taken(now);
            return {.bytes = this->unwritten(), .stalled_for = this->taking.stalled_for(now)};
        }
        return {.bytes = this->drawn == nullptr ? 0 : this->drawn->bytes(),
                .stalled_for = this->arriving.stalled_for(now),
                .waits = this->awaits_room};
    }

    /// @brief Ends the client for whom bytes are held, so that others find room.
    void give_up(const char* because) {
        const auto guard = this->shared_from_this();
        log_event(log_level::warn, "client_ended",
                  {{"because", because},
                   {"unread_bytes", this->unwritten()},
                   {"request_bytes", this->drawn == nullptr ? 0 : this->drawn->bytes()}});
        if (this->holds_output() || !this->reading_since) {
            this->end();
        } else if (this->awaits_room) {
            this->reject_for_shortage();
            this->advance();
        } else {
            this->reject(status_request_timeout, "the request arrived too slowly");
            this->advance();
        }
    }

    /// @brief Reads on if the request waits for room.
    void retry_reading() {
        if (this->awaits_room && this->is_open()) {
            this->advance();
        }
    }

    void check_timeout(instant now) {
        const auto guard = this->shared_from_this();
        this->note_taken(now);
        if (this->has_outstayed(now)) {
            this->end();
        } else if (this->reading_since &&
                   elapsed(*this->reading_since, now) >= this->server->options.header_timeout) {
            if (this->awaits_room) {
                this->reject_for_shortage();
            } else {
                this->reject(status_request_timeout, "the request was not complete in time");
            }
            this->advance();
        }
    }

  private:
    // Whether the connection ends now: since its client takes no response, after its last response, since its
    // client has left while reading is paused, or since it is idle. A client that takes its response is not
    // idle, however long that lasts.
    [[nodiscard]] bool has_outstayed(instant now) const {
        if (this->unwritten() > 0) {
            return this->taking.stalled_for(now) >= this->server->options.idle_timeout;
        }
        if (this->lingering_since) {
            return elapsed(*this->lingering_since, now) >= max_linger;
        }
        if (this->reading_paused() && this->peer_has_shut_down()) {
            return true;
        }
        return this->pipeline.empty() && !this->reading_since &&
               elapsed(this->idle_since, now) >= this->server->options.idle_timeout;
    }

    void on_readable() override { this->advance(); }

    // Writes responses, starts requests and reads until there is nothing left to do. A handler may respond
    // while its request is started; the outermost call then writes the response.
    void advance() {
        if (this->advancing) {
            return;
        }
        const auto guard = this->shared_from_this();
        this->advancing = true;
        while (this->is_open() && !this->lingering_since &&
               (this->write_response() || this->start_request() || this->read_request())) {
        }
        this->advancing = false;
        if (this->is_open()) {
            this->limit_input();
        }
    }

    bool write_response() {
        auto next = this->pipeline.take_response();
        if (!next) {
            return false;
        }
        this->idle_since = monotonic_clock::now();
        if (this->unwritten() == 0) {
            this->taking.restart(this->idle_since);
            this->passed_bytes = 0;
        }
        const auto before = this->unwritten();
        this->write(response_head(next->response, next->last_response));
        if (sends_body(next->response, next->head_request)) {
            this->write(std::move(next->response.body), std::move(next->response.held));
        }
        this->passed_bytes += this->unwritten() - before;
        if (next->last_response) {
            this->start_linger();
        }
        return true;
    }

    bool start_request() {
        auto next = this->pipeline.take_startable();
        if (!next) {
            return false;
        }
        auto new_exchange = std::make_shared<http_exchange>(this->weak_from_this(), std::move(*next));
        std::erase_if(this->exchanges, [](const auto& exchange) { return exchange.expired(); });
        this->exchanges.push_back(new_exchange);
        this->server->handler(std::move(new_exchange));
        return true;
    }

    // Reads up to the end of one request; false when more input is needed or no request may be read now.
    bool read_request() {
        if (this->pipeline.has_last()) {
            return false;
        }
        const bool has_input = evbuffer_get_length(this->input()) > 0;
        if (!this->reading_since) {
            if (!has_input) {
                return false;
            }
            const auto now = monotonic_clock::now();
            if (!this->pipeline.has_room()) {
                this->input_since = this->input_since.value_or(now);
                return false;
            }
            this->reading_since = now;
            this->arriving.restart(now);
            const bool is_counted = this->server->options.bodies != nullptr;
            this->reader.configure({.max_header_bytes = this->server->options.max_header_bytes,
                                    .max_body_bytes = this->server->options.max_body_bytes,
                                    .free_body_bytes = is_counted ? max_uncounted_body
                                                                  : std::numeric_limits<std::size_t>::max()});
            this->request_arrived = std::exchange(this->input_since, std::nullopt).value_or(now);
        }
        return this->consume();
    }

    bool consume() {
        switch (this->reader.consume(this->input())) {
        case read_status::incomplete:
            this->send_continue();
            return this->server->options.bodies != nullptr && this->draw_for_part();
        case read_status::complete:
            if (this->draw_for_whole()) {
                this->add_request();
            } else {
                this->reject_for_shortage();
            }
            return true;
        case read_status::malformed:
            this->reject(status_bad_request, "the request is malformed");
            return true;
        case read_status::head_too_large:
            this->reject(status_headers_too_large, "the request's headers are too large");
            return true;
        case read_status::body_too_large:
            this->reject(status_content_too_large, "the request's body is too large");
            return true;
        }
        return false;
    }

    // Draws on the budget for what has arrived of a request, and for the next part of its body. True when
    // reading goes on at once.
    bool draw_for_part() {
        const auto now = monotonic_clock::now();
        const auto& body = this->reader.message().body;
        const auto input_bytes = evbuffer_get_length(this->input());
        this->arriving.note(body.size() + input_bytes, now);
        const bool wants_more = this->reader.awaits_allowance();
        const auto next_size = wants_more ? this->reader.next_allowance() : 0;
        const auto body_bytes = std::min(body.capacity(), this->reader.body_room());
        const auto present = bytes_of(this->reader.message(), body_bytes) + buffer_bytes(input_bytes);
        if (!wants_more && present - buffer_bytes(0) < min_drawn_bytes) {
            return false;
        }
        const auto further = next_size > body_bytes ? next_size - body_bytes : 0;
        switch (this->draw(present + further)) {
        case byte_grant::granted:
            if (wants_more) {
                this->reader.allow_body(next_size);
            }
            return wants_more;
        case byte_grant::refused:
            this->reject(status_content_too_large, "the node has no memory for a request of this size");
            return true;
        case byte_grant::wait:
            break;
        }
        if (wants_more) {
            return false;
        }
        this->reject_for_shortage(); // its bytes are held already
        return true;
    }

    // Draws for a request that is complete. False when there is no room for it.
    bool draw_for_whole() {
        auto* bodies = this->server->options.bodies;
        const auto& message = this->reader.message();
        // Memory that was reserved and not written takes no room.
        const auto bytes = bytes_of(message, std::min(message.body.capacity(), 2 * message.body.size()));
        if (bodies == nullptr || (this->drawn == nullptr && bytes < min_drawn_bytes)) {
            return true;
        }
        if (this->drawn == nullptr && this->draw(bytes) != byte_grant::granted) {
            return false;
        }
        this->drawn->complete(bytes);
        this->awaits_room = false;
        return true;
    }

    byte_grant draw(std::size_t bytes) {
        if (this->drawn == nullptr) {
            this->drawn = std::make_shared<byte_share>(
                *this->server->options.bodies, [owner = this->server] { owner->room.signal(); },
                share_kind::request);
        }
        auto grant = this->drawn->grow_to(bytes);
        while (grant == byte_grant::wait && bytes <= max_short_request &&
               this->server->end_one(microseconds::zero(), this)) {
            grant = this->drawn->grow_to(bytes);
        }
        if (this->awaits_room && grant == byte_grant::granted) {
            this->arriving.restart(monotonic_clock::now());
        }
        this->awaits_room = grant == byte_grant::wait;
        return grant;
    }

    // Sends 100 Continue to a client that expects it before it sends the body, after all earlier responses.
    void send_continue() {
        if (this->reader.head_complete() && !this->continue_sent && this->pipeline.empty() &&
            !find_header(this->reader.message().headers, "expect").empty()) {
            this->continue_sent = true;
            this->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    void add_request() {
        auto& message = this->reader.message();
        pipelined_request received{
            .request = {.method = std::move(message.method),
                        .target = std::move(message.target),
                        .headers = std::move(message.headers),
                        .body = {std::move(message.body), std::exchange(this->drawn, nullptr)}},
            .arrived = this->request_arrived,
            .keep_alive = message.keep_alive};
        received.overlaps = this->server->may_overlap && this->server->may_overlap(received.request);
        this->pipeline.configure(this->server->options.pipeline);
        this->pipeline.add(std::move(received));
        this->reader.reset();
        this->reading_since.reset();
        this->continue_sent = false;
    }

    // Responds to a request that cannot be read, after the requests before it, and ends the connection.
    void reject(std::uint16_t status, const std::string& explanation, std::vector<header> headers = {}) {
        headers.push_back({"content-type", "application/json"});
        this->pipeline.add_rejection({.status = status,
                                      .headers = std::move(headers),
                                      .body = "{\"message\":\"" + explanation + "\"}\n"});
        this->drop_request();
    }

    void reject_for_shortage() {
        this->reject(status_unavailable, "the node holds too many bytes of requests and responses",
                     {{"retry-after", retry_after_shortage_seconds}});
    }

    void drop_request() {
        this->reader.reset();
        this->reading_since.reset();
        this->drawn.reset();
        this->awaits_room = false;
    }

    // Discards input behind the last request, and pauses reading when too much of it waits for room.
    void limit_input() {
        if (this->lingering_since || this->pipeline.has_last()) {
            evbuffer_drain(this->input(), evbuffer_get_length(this->input()));
            this->drop_request();
        }
        const auto input_bytes = evbuffer_get_length(this->input());
        this->set_reading_paused(input_bytes > (this->awaits_room ? 0 : max_read_ahead));
    }

    // Whether the client has yet to take so much that more than the kernel's buffers are needed.
    [[nodiscard]] bool holds_output() const noexcept { return this->unwritten() >= min_held_output; }

    void note_taken(instant now) noexcept {
        this->taking.note(this->passed_bytes - std::min(this->passed_bytes, this->unwritten()), now);
    }

    // Closing at once would reset the connection if unread input arrives, and the client could lose the
    // response.
    void start_linger() {
        this->lingering_since = monotonic_clock::now();
        if (this->unwritten() == 0) {
            this->shutdown_writing();
        }
    }

    void on_written() override {
        this->idle_since = monotonic_clock::now();
        if (this->lingering_since) {
            this->shutdown_writing();
        }
    }

    void on_end(stream_end) override { this->end(); }

    void end() {
        const auto guard = this->shared_from_this();
        this->close();
        const auto unanswered = std::exchange(this->exchanges, {});
        this->server->remove(*this);
        for (const auto& weak_exchange : unanswered) {
            if (const auto exchange = weak_exchange.lock()) {
                exchange->notify_abandoned();
            }
        }
    }

    http_server* server; // outlives the connection
    http_reader reader;
    request_pipeline pipeline;
    std::vector<std::weak_ptr<http_exchange>> exchanges; // of started requests; expired ones are removed late
    instant idle_since;                                  // the last response was taken, or the start
    std::optional<instant> reading_since;                // while a request is being read
    std::optional<instant> input_since;                  // while input waits for room in the pipeline
    std::optional<instant> lingering_since;              // after the last response
    instant request_arrived{};                           // first byte of the request that is being read
    std::shared_ptr<byte_share> drawn; // for the request that is being read; null while it is short
    bool awaits_room = false;          // the request that is being read; reading is paused
    client_pace arriving;              // of the request that is being read
    client_pace taking;                // of the output since it was last empty
    std::size_t passed_bytes = 0;      // to the output since it was last empty
    bool continue_sent = false;        // for the request that is being read
    bool advancing = false;            // advance is running
};

} // namespace internal

http_exchange::http_exchange(std::weak_ptr<internal::server_connection> carrying_connection,
                             internal::started_request&& started)
    : connection{std::move(carrying_connection)}, number{started.number},
      received_request{std::move(started.request)}, arrival{started.arrived} {}

http_exchange::~http_exchange() {
    constexpr std::uint16_t internal_error = 500;
    this->respond({.status = internal_error, .headers = {}, .body = {}});
}

void http_exchange::respond(http_response response) {
    const auto open_connection = this->connection.lock();
    this->connection.reset();
    this->abandon_handler = nullptr;
    if (open_connection != nullptr && open_connection->is_open()) {
        open_connection->respond(this->number, std::move(response));
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
                         request_handler callback, overlap_check overlap)
    : loop{&io_loop}, options{server_options}, handler{std::move(callback)}, may_overlap{std::move(overlap)},
      room{io_loop, [this] { this->resume_reading(); }}, shortage{io_loop, [this] { this->relieve(); }},
      timeout_timer{io_loop, [this] { this->check_timeouts(); }} {
    this->timeout_timer.start_periodic(timeout_check_period);
    if (this->options.bodies != nullptr) {
        this->options.bodies->on_shortage([this] { this->shortage.signal(); });
    }
}

http_server::~http_server() {
    if (this->options.bodies != nullptr) {
        this->options.bodies->on_shortage({});
    }
    this->stop_accepting();
    for (const auto& connection : this->connections) {
        connection->close();
    }
}

result<std::unique_ptr<http_server>, transport_error>
http_server::listen(event_loop& loop, const address& bind_address, const http_server_options& options,
                    request_handler handler, overlap_check may_overlap) {
    constexpr int backlog = 512;
    std::unique_ptr<http_server> new_server{
        new http_server{loop, options, std::move(handler), std::move(may_overlap)}};
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

void http_server::close_after_responses() {
    this->closing = true;
    for (const auto& connection : this->connections) {
        connection->close_after_responses();
    }
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
    if (this->options.max_connections > 0 && this->connections.size() > this->options.max_connections &&
        !this->end_longest_idle()) {
        this->is_full = true;
        evconnlistener_disable(this->socket);
    }
}

void http_server::resume_accepting() {
    if (this->is_full && this->socket != nullptr) {
        evconnlistener_enable(this->socket);
    }
    this->is_full = false;
}

bool http_server::end_longest_idle() {
    const auto now = monotonic_clock::now();
    const auto idle_time = [now](const auto& connection) {
        return connection->is_idle() ? connection->idle_for(now) : microseconds{-1};
    };
    const auto longest = std::max_element(
        this->connections.begin(), std::prev(this->connections.end()),
        [&](const auto& left, const auto& right) { return idle_time(left) < idle_time(right); });
    if (idle_time(*longest) >= microseconds::zero()) {
        const auto ended = *longest;
        ended->give_up("max_connections");
        return true;
    }
    const auto stalled = std::find_if(this->connections.begin(), this->connections.end(),
                                      [now](const auto& connection) { return connection->has_stalled(now); });
    if (stalled != this->connections.end()) {
        const auto rejected = *stalled;
        rejected->give_up("max_connections"); // it ends when its client has had the time to read why
    }
    return false;
}

void http_server::check_timeouts() {
    const auto now = monotonic_clock::now();
    const auto snapshot = this->connections; // a copy, since a check may remove its connection from the list
    for (const auto& connection : snapshot) {
        if (connection->is_open()) {
            connection->check_timeout(now);
        }
    }
    this->relieve();
    if (this->is_full && this->end_longest_idle()) {
        this->resume_accepting();
    }
}

// A copy of the list, since reading on may end a connection.
void http_server::resume_reading() {
    const auto snapshot = this->connections;
    for (const auto& connection : snapshot) {
        connection->retry_reading();
    }
}

// Ends clients that hold up others: as many as wait when they make no progress, and whoever is slowest while
// more is held than the limit allows.
void http_server::relieve() {
    if (this->options.bodies == nullptr) {
        return;
    }
    const auto& bodies = *this->options.bodies;
    for (auto waiting = bodies.waiting(); waiting > 0 && this->end_one(min_stall); --waiting) {
    }
    while (bodies.used() > bodies.limit() && this->end_one(microseconds::zero())) {
    }
}

bool http_server::end_one(microseconds stall, const internal::server_connection* spared) {
    const auto now = monotonic_clock::now();
    std::vector<std::shared_ptr<internal::server_connection>> holders;
    std::vector<internal::held_client> clients;
    for (const auto& connection : this->connections) {
        if (connection.get() != spared && connection->is_open()) {
            holders.push_back(connection);
            clients.push_back(connection->held(now));
        }
    }
    const auto chosen = internal::client_to_end(clients, stall);
    if (chosen) {
        holders[*chosen]->give_up("bytes_lacking");
    }
    return chosen.has_value();
}

void http_server::remove(const internal::server_connection& closed_connection) {
    this->connections.remove_if(
        [&closed_connection](const auto& connection) { return connection.get() == &closed_connection; });
    if (this->connections.size() <= this->options.max_connections) {
        this->resume_accepting();
    }
}

} // namespace chervilturn
