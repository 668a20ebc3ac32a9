// HTTP client: sends each request on an idle or new connection and keeps the connection for later requests.
#include "chervilturn/transport/http.hpp"
#include "chervilturn/transport/http_reader.hpp"
#include "chervilturn/transport/http_stream.hpp"
#include "chervilturn/transport/http_writer.hpp"

#include <algorithm>
#include <charconv>
#include <event2/buffer.h>
#include <set>

namespace chervilturn {

namespace {

constexpr microseconds expiry_check_period = std::chrono::milliseconds{500};
constexpr std::uint16_t first_final_status = 200; // 1xx responses precede the final one
// Responses before the one to the request: interim ones, and late ones to earlier requests.
constexpr std::uint32_t max_discarded_responses = 16;
constexpr std::size_t max_carried_ids = 256; // of one connection, which is then replaced

// The idle timeout that the server announced in its Keep-Alive header; nothing if there is none.
[[nodiscard]] std::optional<microseconds> announced_idle_timeout(const std::vector<header>& headers) {
    constexpr std::string_view parameter = "timeout=";
    constexpr std::int64_t longest_seconds =
        std::chrono::floor<std::chrono::seconds>(longest_setting).count();
    const auto value = find_header(headers, "keep-alive");
    const auto found = value.find(parameter);
    if (found == std::string_view::npos) {
        return std::nullopt;
    }
    std::int64_t seconds = 0;
    const auto digits = value.substr(found + parameter.size());
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec != std::errc{} || seconds < 0) {
        return std::nullopt;
    }
    return std::chrono::seconds{std::min(seconds, longest_seconds)};
}

} // namespace

/// @brief One request in progress.
class http_client::exchange {
  public:
    exchange(http_client& owner, http_send_options request_options, response_handler callback, bool is_head)
        : client{&owner}, send_options{std::move(request_options)}, handler{std::move(callback)},
          head_request{is_head}, deadline{*owner.loop, [this] { this->on_deadline(); }} {
        this->deadline.start_once(this->send_options.timeout);
    }

    void end(http_failure failure);
    void on_deadline();

    http_client* client; // outlives the exchange
    http_send_options send_options;
    response_handler handler;
    bool head_request;
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
          last_used{monotonic_clock::now()}, idle_limit{owner.options.idle_timeout} {
        this->connect(owner.target);
    }

    void start(http_client::exchange& new_exchange, const std::string& head, const shared_body& body) {
        this->current_exchange = &new_exchange;
        if (!new_exchange.send_options.id.empty()) {
            this->carried_ids.insert(new_exchange.send_options.id);
        }
        this->discarded_responses = 0;
        this->reader.reset(new_exchange.head_request);
        this->write(head);
        this->write(body.text(), body.holder());
    }

    [[nodiscard]] bool is_connected() const noexcept { return this->connected; }

    /// @brief Reads on if reading has paused for lack of room.
    void retry_reading() {
        if (this->reading_paused() && this->is_open()) {
            this->on_readable();
        }
    }

    /// @brief Gives up the body that is being read.
    void drop_body() noexcept { this->held.reset(); }

    /// @brief Whether it carried a request with this id; false for an empty id.
    [[nodiscard]] bool has_carried(const std::string& id) const {
        return !id.empty() && this->carried_ids.contains(id);
    }

    [[nodiscard]] bool has_expired(instant now) const noexcept {
        return elapsed(this->last_used, now) >= this->idle_limit;
    }

  private:
    void on_connected() override { this->connected = true; }

    void on_readable() override {
        const auto guard = this->shared_from_this();
        if (this->current_exchange == nullptr) { // unsolicited bytes on an idle connection
            this->client->discard_idle(*this);
            return;
        }
        while (this->current_exchange != nullptr && this->is_open() && this->has_room()) {
            const auto status = this->reader.consume(this->input());
            if (status == read_status::incomplete) {
                return;
            }
            this->on_read(status);
        }
    }

    // Whether the budget has room for all that has arrived. Without room, reading pauses or the request
    // fails.
    bool has_room() {
        const auto expected = this->reader.message().body.size() + evbuffer_get_length(this->input());
        if (this->client->options.bodies == nullptr ||
            (this->held == nullptr && expected <= max_uncounted_body)) {
            return true;
        }
        if (this->held == nullptr) {
            this->held = std::make_shared<byte_share>(*this->client->options.bodies,
                                                      [owner = this->client] { owner->room.signal(); });
        }
        const auto grant = this->held->grow_to(expected);
        this->set_reading_paused(grant == byte_grant::wait);
        if (grant == byte_grant::refused) {
            this->fail(http_failure::no_room);
        }
        return grant == byte_grant::granted;
    }

    void on_read(read_status status) {
        if (status == read_status::complete) {
            this->on_response();
        } else {
            this->fail(status == read_status::malformed ? http_failure::malformed : http_failure::too_large);
        }
    }

    void on_response() {
        auto& message = this->reader.message();
        http_response response{
            .status = message.status, .headers = std::move(message.headers), .body = std::move(message.body)};
        if (auto whole = std::exchange(this->held, nullptr)) {
            whole->complete(response.body.size());
            response.held = std::move(whole);
        }
        if (response.status < first_final_status) {
            this->discard_response();
            return;
        }
        const auto& match = this->current_exchange->send_options.match;
        const auto matched = match ? match(response) : response_match::own;
        this->must_close = this->must_close || matched != response_match::own;
        if (matched == response_match::other) {
            this->discard_response();
            return;
        }
        // A server that responds before it has read the request may never read the rest.
        const bool reusable = message.keep_alive && !this->must_close && this->unwritten() == 0 &&
                              this->carried_ids.size() < max_carried_ids &&
                              evbuffer_get_length(this->input()) == 0;
        const auto announced_timeout = announced_idle_timeout(response.headers);
        if (announced_timeout) {
            this->idle_limit = std::min(this->idle_limit, *announced_timeout / 2);
        }
        this->last_used = monotonic_clock::now();
        auto& ended_exchange = *std::exchange(this->current_exchange, nullptr);
        if (!reusable) {
            this->close();
        }
        this->client->finish(ended_exchange, std::move(response));
    }

    void discard_response() {
        if (++this->discarded_responses > max_discarded_responses) {
            this->fail(http_failure::malformed);
            return;
        }
        this->reader.reset(this->current_exchange->head_request);
    }

    void on_end(stream_end ending) override {
        const auto guard = this->shared_from_this();
        if (this->current_exchange == nullptr) {
            this->client->discard_idle(*this);
            return;
        }
        if (!this->connected) {
            this->fail(http_failure::refused);
        } else if (ending == stream_end::eof && this->reader.head_complete() &&
                   this->reader.finish() == read_status::complete) {
            this->must_close = true; // the connection has ended
            this->on_response();
            if (this->current_exchange != nullptr) {
                this->fail(http_failure::cut);
            }
        } else {
            this->fail(http_failure::cut);
        }
    }

    void fail(http_failure failure) {
        auto& ended_exchange = *std::exchange(this->current_exchange, nullptr);
        this->close();
        this->held.reset();
        this->client->finish(ended_exchange, failure);
    }

    http_client* client; // outlives the connection
    http_reader reader;
    http_client::exchange* current_exchange = nullptr; // null while idle
    std::uint32_t discarded_responses = 0;             // since the request was sent
    std::shared_ptr<byte_share> held; // of the body that is being read; null while it is short
    bool connected = false;
    bool must_close = false;           // must not carry another request
    std::set<std::string> carried_ids; // of the requests on this connection
    instant last_used;
    microseconds idle_limit;
};

} // namespace internal

void http_client::exchange::end(http_failure failure) {
    this->connection->close();
    this->connection->drop_body();
    this->client->finish(*this, failure);
}

void http_client::exchange::on_deadline() {
    this->end(this->connection->is_connected() ? http_failure::timed_out : http_failure::refused);
}

http_client::http_client(event_loop& io_loop, const address& target_address,
                         const http_client_options& client_options)
    : loop{&io_loop}, target{target_address}, options{client_options},
      room{io_loop, [this] { this->resume_reading(); }}, delivery{io_loop, [this] { this->deliver(); }},
      expiry_timer{io_loop, [this] { this->close_expired_connections(); }} {
    this->expiry_timer.start_periodic(expiry_check_period);
}

http_client::~http_client() = default;

std::weak_ptr<http_client::exchange> http_client::send(const http_request& request, microseconds timeout,
                                                       response_handler handler) {
    return this->send(request, http_send_options{.timeout = timeout, .match = {}, .id = {}},
                      std::move(handler));
}

std::weak_ptr<http_client::exchange>
http_client::send(const http_request& request, http_send_options send_options, response_handler handler) {
    const bool force_new = send_options.new_connection;
    const auto id = send_options.id;
    auto new_exchange = std::make_shared<exchange>(*this, std::move(send_options), std::move(handler),
                                                   request.method == "HEAD");
    this->in_progress.push_back(new_exchange);
    new_exchange->connection = this->acquire_connection(force_new, id);
    new_exchange->connection->start(*new_exchange, internal::request_head(request, this->target),
                                    request.body);
    return new_exchange;
}

void http_client::cancel(const std::weak_ptr<exchange>& handle) {
    if (const auto active = handle.lock(); active != nullptr && active->connection != nullptr) {
        active->end(http_failure::cancelled);
    }
}

void http_client::close_idle_connections() noexcept {
    for (const auto& connection : this->idle) {
        connection->close();
    }
    this->idle.clear();
}

http_client::connection_handle http_client::acquire_connection(bool force_new, const std::string& id) {
    const auto now = monotonic_clock::now();
    for (auto position = this->idle.size(); !force_new && position > 0; --position) {
        const auto found = this->idle.begin() + static_cast<std::ptrdiff_t>(position - 1);
        if ((*found)->is_open() && !(*found)->has_expired(now) && (*found)->has_carried(id)) {
            continue;
        }
        auto candidate = std::move(*found);
        this->idle.erase(found);
        if (candidate->is_open() && !candidate->has_expired(now)) {
            return candidate;
        }
        candidate->close();
    }
    return std::make_shared<internal::client_connection>(*this);
}

void http_client::release_connection(connection_handle connection) {
    if (connection->is_open() && this->idle.size() < this->options.max_idle) {
        this->idle.push_back(std::move(connection));
    } else {
        connection->close();
    }
}

void http_client::discard_idle(const internal::client_connection& idle_connection) noexcept {
    const auto found =
        std::find_if(this->idle.begin(), this->idle.end(),
                     [&idle_connection](const auto& item) { return item.get() == &idle_connection; });
    if (found != this->idle.end()) {
        (*found)->close();
        this->idle.erase(found);
    }
}

void http_client::deliver() {
    auto results = std::exchange(this->undelivered, {});
    for (auto& [ended_exchange, outcome] : results) {
        ended_exchange->handler(std::move(outcome));
    }
}

// A copy, since reading on may end an exchange.
void http_client::resume_reading() {
    const auto snapshot = this->in_progress;
    for (const auto& active : snapshot) {
        if (active->connection != nullptr) {
            const auto connection = active->connection;
            connection->retry_reading();
        }
    }
}

void http_client::close_expired_connections() {
    const auto now = monotonic_clock::now();
    std::erase_if(this->idle, [now](const connection_handle& connection) {
        if (!connection->has_expired(now)) {
            return false;
        }
        connection->close();
        return true;
    });
}

void http_client::finish(exchange& current, http_result outcome) {
    const auto found = std::find_if(this->in_progress.begin(), this->in_progress.end(),
                                    [&current](const auto& item) { return item.get() == &current; });
    if (found == this->in_progress.end()) {
        return;
    }
    auto guard = std::move(*found);
    this->in_progress.erase(found);
    guard->deadline.stop();
    if (auto connection = std::exchange(guard->connection, nullptr); connection->is_open()) {
        this->release_connection(std::move(connection));
    }
    this->undelivered.emplace_back(std::move(guard), std::move(outcome));
    this->delivery.signal();
}

} // namespace chervilturn
