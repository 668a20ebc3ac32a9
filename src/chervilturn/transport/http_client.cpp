// HTTP client on evhttp.
#include "chervilturn/transport/http.hpp"
#include "chervilturn/transport/http_internal.hpp"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/http.h>

namespace chervilturn {

/// @brief One request in progress.
class http_client::exchange {
  public:
    exchange(http_client& owner, http_client::connection_handle used, response_handler receiver)
        : client{&owner}, connection{std::move(used)}, handler{std::move(receiver)},
          deadline{*owner.loop, [this] { this->end(http_failure::timed_out); }} {}

    [[nodiscard]] bool start(const http_request& request, microseconds timeout) {
        this->head_request = request.method == "HEAD";
        this->held = evhttp_request_new(on_done, this);
        evhttp_request_set_error_cb(this->held, on_error);
        auto* headers = evhttp_request_get_output_headers(this->held);
        evhttp_add_header(headers, "host", to_string(this->client->target).c_str());
        internal::add_headers(headers, request.headers);
        auto* body = evhttp_request_get_output_buffer(this->held);
        evbuffer_add(body, request.body.data(), request.body.size());
        const auto bit = static_cast<evhttp_cmd_type>(internal::method_bit(request.method));
        this->deadline.start_once(timeout);
        return evhttp_make_request(this->connection.get(), this->held, bit, request.target.c_str()) == 0;
    }

    /// @brief Ends the request before evhttp does.
    void end(http_failure failure) {
        if (this->held != nullptr) {
            evhttp_cancel_request(this->held);
            this->held = nullptr;
        }
        this->reusable = false;
        this->client->finish(*this, failure);
    }

    http_client* client; // outlives the exchange
    http_client::connection_handle connection;
    response_handler handler;
    bool reusable = false; // the connection may carry another request

  private:
    static void on_error(evhttp_request_error error, void* self) {
        auto& ended = *static_cast<exchange*>(self);
        ended.failure = error == EVREQ_HTTP_DATA_TOO_LONG ? http_failure::too_large : http_failure::cut;
    }

    static void on_done(evhttp_request* request, void* self) {
        auto& ended = *static_cast<exchange*>(self);
        ended.held = nullptr;
        ended.client->finish(ended, ended.outcome_of(request));
    }

    [[nodiscard]] http_result outcome_of(evhttp_request* request) {
        if (request == nullptr) {
            return this->failure;
        }
        const int status = evhttp_request_get_response_code(request);
        if (status == 0) {
            return http_failure::refused;
        }
        http_response response{.status = static_cast<std::uint16_t>(status),
                               .headers = internal::read_headers(evhttp_request_get_input_headers(request)),
                               .body = internal::take_body(evhttp_request_get_input_buffer(request))};
        if (!this->is_framed(response)) {
            return http_failure::unframed;
        }
        this->reusable = true;
        return response;
    }

    [[nodiscard]] bool is_framed(const http_response& response) const {
        constexpr int no_content = 204;
        constexpr int not_modified = 304;
        return this->head_request || response.status == no_content || response.status == not_modified ||
               !find_header(response.headers, "content-length").empty() ||
               !find_header(response.headers, "transfer-encoding").empty();
    }

    evhttp_request* held = nullptr; // null once evhttp has ended the request
    bool head_request = false;
    http_failure failure = http_failure::cut;
    timer deadline;
};

void http_client::connection_deleter::operator()(evhttp_connection* held) const noexcept {
    evhttp_connection_free(held);
}

http_client::http_client(event_loop& used, const address& where, const http_client_options& given)
    : loop{&used}, target{where}, options{given}, discard{used, [this] {
                                                              this->discarded.clear();
                                                              this->ended.clear();
                                                          }} {}

http_client::~http_client() = default;

std::weak_ptr<http_client::exchange> http_client::send(const http_request& request, microseconds timeout,
                                                       response_handler handler) {
    auto started = std::make_shared<exchange>(*this, this->take_connection(), std::move(handler));
    this->in_progress.push_back(started);
    if (!started->start(request, timeout)) {
        this->finish(*started, http_failure::refused);
    }
    return started;
}

void http_client::give_up(const std::weak_ptr<exchange>& sent) {
    if (const auto held = sent.lock()) {
        held->end(http_failure::cancelled);
    }
}

void http_client::drop_idle() noexcept {
    this->idle.clear();
}

http_client::connection_handle http_client::take_connection() {
    if (!this->idle.empty()) {
        auto reused = std::move(this->idle.back());
        this->idle.pop_back();
        return reused;
    }
    connection_handle made{
        evhttp_connection_base_new(this->loop->base(), nullptr, this->target.ip.c_str(), this->target.port)};
    evhttp_connection_set_max_body_size(made.get(), static_cast<ev_ssize_t>(this->options.max_body_bytes));
    return made;
}

void http_client::finish(exchange& finished, http_result outcome) {
    const auto found = std::find_if(this->in_progress.begin(), this->in_progress.end(),
                                    [&finished](const auto& held) { return held.get() == &finished; });
    if (found == this->in_progress.end()) {
        return;
    }
    const auto guard = *found;
    this->in_progress.erase(found);
    if (guard->reusable && this->idle.size() < this->options.max_idle) {
        this->idle.push_back(std::move(guard->connection));
    } else {
        this->discarded.push_back(std::move(guard->connection));
    }
    this->ended.push_back(guard);
    this->discard.signal();
    const auto handler = std::move(guard->handler);
    handler(std::move(outcome));
}

} // namespace chervilturn
