// Connection of a pipelined client: requests without a response in the order in which they were sent.
#include "chervilturn/transport/pipelined_client.hpp"

#include "chervilturn/transport/http_reader.hpp"
#include "chervilturn/transport/http_stream.hpp"
#include "chervilturn/transport/http_writer.hpp"

#include <array>
#include <deque>
#include <event2/buffer.h>
#include <utility>

namespace chervilturn {

namespace {

constexpr microseconds timeout_check_period = std::chrono::milliseconds{20};
constexpr std::size_t max_header_bytes = 64UL * 1024;
constexpr std::size_t max_body_bytes = 64UL * 1024 * 1024;

} // namespace

namespace internal {

/// @brief Keeps the requests without a response and gives each response to the first of them.
class pipelined_connection final : public http_stream,
                                   public std::enable_shared_from_this<pipelined_connection> {
  public:
    pipelined_connection(event_loop& loop, const address& target_address, microseconds request_timeout)
        : http_stream{loop, -1}, target{target_address}, timeout{request_timeout}, reader{http_kind::response,
                                                                                          {max_header_bytes,
                                                                                           max_body_bytes}},
          timeout_timer{loop, [this] { this->check_timeout(); }} {
        this->timeout_timer.start_periodic(timeout_check_period);
        this->connect(target_address);
    }

    void send(const http_request& request, pipelined_client::response_handler&& handler) {
        if (this->pending.empty()) {
            this->reader.reset(request.method == "HEAD");
        }
        this->pending.push_back(
            {monotonic_clock::now() + this->timeout, request.method == "HEAD", std::move(handler)});
        this->write(request_head(request, this->target));
        this->write(request.body.text(), request.body.holder());
    }

    /// @brief Closes the connection and ends all requests without a response.
    void fail(pipelined_failure failure) {
        const auto guard = this->shared_from_this();
        this->close();
        this->timeout_timer.stop();
        for (auto& item : std::exchange(this->pending, {})) {
            item.handler(failure);
        }
    }

    [[nodiscard]] std::size_t in_progress() const noexcept { return this->pending.size(); }

  private:
    struct pending_request {
        instant deadline;
        bool head_request = false;
        pipelined_client::response_handler handler;
    };

    void on_readable() override {
        const auto guard = this->shared_from_this();
        while (this->is_open() && evbuffer_get_length(this->input()) > 0) {
            if (this->pending.empty()) {
                this->fail(pipelined_failure::malformed); // bytes that belong to no request
                return;
            }
            const auto status = this->reader.consume(this->input());
            if (status == read_status::incomplete) {
                return;
            }
            if (status != read_status::complete) {
                this->fail(pipelined_failure::malformed);
                return;
            }
            this->on_response();
        }
    }

    void on_response() {
        constexpr std::uint16_t first_final_status = 200;
        auto message = std::exchange(this->reader.message(), {});
        if (message.status < first_final_status) {
            this->reader.reset(this->pending.front().head_request);
            return; // an interim response
        }
        auto answered = std::move(this->pending.front());
        this->pending.pop_front();
        this->reader.reset(!this->pending.empty() && this->pending.front().head_request);
        answered.handler(http_response{.status = message.status,
                                       .headers = std::move(message.headers),
                                       .body = std::move(message.body)});
        if (!message.keep_alive && this->is_open()) {
            this->fail(pipelined_failure::not_read);
        }
    }

    void on_end(stream_end) override { this->fail(pipelined_failure::cut); }

    void check_timeout() {
        const auto guard = this->shared_from_this();
        if (!this->pending.empty() && monotonic_clock::now() >= this->pending.front().deadline) {
            this->fail(pipelined_failure::timed_out);
        }
    }

    address target;
    microseconds timeout;
    http_reader reader;
    std::deque<pending_request> pending; // in the order in which they were sent
    timer timeout_timer;
};

} // namespace internal

std::string_view to_string(pipelined_failure failure) noexcept {
    constexpr std::array<std::string_view, 4> names{"not_read", "cut", "malformed", "timed_out"};
    return names.at(static_cast<std::size_t>(failure));
}

pipelined_client::pipelined_client(event_loop& loop, const address& target, microseconds timeout)
    : connection{std::make_shared<internal::pipelined_connection>(loop, target, timeout)} {}

pipelined_client::~pipelined_client() {
    this->connection->http_stream::close();
}

bool pipelined_client::send(const http_request& request, response_handler handler) {
    if (!this->connection->is_open()) {
        return false;
    }
    this->connection->send(request, std::move(handler));
    return true;
}

void pipelined_client::close() {
    this->connection->fail(pipelined_failure::cut);
}

bool pipelined_client::is_open() const noexcept {
    return this->connection->is_open();
}

std::size_t pipelined_client::in_progress() const noexcept {
    return this->connection->in_progress();
}

} // namespace chervilturn
