// HTTP server on evhttp.
#include "chervilturn/transport/http.hpp"
#include "chervilturn/transport/http_internal.hpp"

#include <cstring>
#include <event2/buffer.h>
#include <event2/http.h>

namespace chervilturn {

http_exchange::http_exchange(evhttp_request* request, http_request parsed,
                             std::shared_ptr<std::size_t> counter)
    : held{request}, received{std::move(parsed)}, in_flight{std::move(counter)} {
    const auto closed = [](evhttp_connection*, void* self) {
        auto& exchange = *static_cast<http_exchange*>(self);
        exchange.held = nullptr;
        if (exchange.abandoned) {
            const auto handler = std::move(exchange.abandoned);
            handler();
        }
    };
    evhttp_connection_set_closecb(evhttp_request_get_connection(this->held), closed, this);
}

http_exchange::~http_exchange() {
    if (this->held != nullptr) {
        this->respond({.status = HTTP_INTERNAL, .headers = {}, .body = {}});
    }
}

void http_exchange::respond(const http_response& response) {
    if (this->held == nullptr) {
        return;
    }
    auto* request = this->held;
    this->forget_connection();
    auto* body = evbuffer_new();
    evbuffer_add(body, response.body.data(), response.body.size());
    internal::add_headers(evhttp_request_get_output_headers(request), response.headers);
    const auto written = [](evhttp_request*, void* counter) { --*static_cast<std::size_t*>(counter); };
    ++*this->in_flight;
    evhttp_request_set_on_complete_cb(request, written, this->in_flight.get());
    evhttp_send_reply(request, response.status, nullptr, body);
    evbuffer_free(body);
}

void http_exchange::forget_connection() noexcept {
    evhttp_connection_set_closecb(evhttp_request_get_connection(this->held), nullptr, nullptr);
    this->held = nullptr;
    this->abandoned = nullptr;
}

http_server::~http_server() {
    if (this->server != nullptr) {
        evhttp_free(this->server);
    }
}

result<std::unique_ptr<http_server>, transport_error> http_server::listen(event_loop& loop,
                                                                          const address& where,
                                                                          const http_server_options& options,
                                                                          request_handler handler) {
    std::unique_ptr<http_server> made{new http_server{std::move(handler)}};
    made->server = evhttp_new(loop.base());
    evhttp_set_allowed_methods(made->server, static_cast<ev_uint16_t>(internal::all_methods()));
    evhttp_set_max_headers_size(made->server, static_cast<ev_ssize_t>(options.max_header_bytes));
    evhttp_set_max_body_size(made->server, static_cast<ev_ssize_t>(options.max_body_bytes));
    evhttp_set_timeout(made->server, static_cast<int>(options.idle_timeout.count()));
    evhttp_set_default_content_type(made->server, nullptr);
    const auto handle = [](evhttp_request* request, void* self) {
        http_request parsed{.method = internal::method_name(evhttp_request_get_command(request)),
                            .target = evhttp_request_get_uri(request),
                            .headers = internal::read_headers(evhttp_request_get_input_headers(request)),
                            .body = internal::take_body(evhttp_request_get_input_buffer(request))};
        auto& owner = *static_cast<http_server*>(self);
        owner.handler(std::make_shared<http_exchange>(request, std::move(parsed), owner.in_flight));
    };
    evhttp_set_gencb(made->server, handle, made.get());
    made->socket = evhttp_bind_socket_with_handle(made->server, where.ip.c_str(), where.port);
    if (made->socket == nullptr) {
        return transport_error{"cannot listen on " + to_string(where) + ": " + std::strerror(errno)};
    }
    return made;
}

void http_server::stop_accepting() noexcept {
    if (this->socket != nullptr) {
        evhttp_del_accept_socket(this->server, this->socket);
        this->socket = nullptr;
    }
}

} // namespace chervilturn
