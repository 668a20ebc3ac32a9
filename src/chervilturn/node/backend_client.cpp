// Requests to the backend server and the meaning of its responses.
#include "chervilturn/node/backend_client.hpp"

namespace chervilturn {

namespace {

constexpr microseconds cut_window = std::chrono::milliseconds{100};

} // namespace

backend_client::backend_client(const node_context& shared, admission_controller& used)
    : context{&shared}, admission{&used}, client{
                                              *shared.loop, shared.settings.backend_server,
                                              http_client_options{
                                                  .max_body_bytes = shared.settings.limits.max_body_bytes}} {}

backend_client::running_call backend_client::run(const dispatch& dispatched, answer_handler handler) {
    const auto attempt = dispatched.sent->attempt;
    const auto sent_at = now_monotonic();
    const auto* protocol = this->context->protocols.backend.get();
    return this->client.send(
        protocol->request(dispatched),
        http_send_options{.timeout = dispatched.remaining,
                          .belongs =
                              [protocol, id = dispatched.sent->request_id](const http_response& response) {
                                  return protocol->belongs(id, response);
                              }},
        [this, attempt, sent_at, handler = std::move(handler)](http_result result) {
            const auto service_time = elapsed(sent_at, now_monotonic());
            handler(this->to_answer(attempt, service_time, std::move(result)));
        });
}

answer backend_client::to_answer(const attempt_id& attempt, microseconds service_time, http_result&& result) {
    if (const auto* failure = std::get_if<http_failure>(&result)) {
        return this->to_answer(attempt, *failure);
    }
    return this->to_answer(attempt, service_time, std::get<http_response>(std::move(result)));
}

answer backend_client::to_answer(const attempt_id& attempt, microseconds service_time,
                                 http_response&& response) {
    const auto read = this->context->protocols.backend->read(response);
    if (read.load) {
        this->admission->set_slowdown(read.load->slowdown_percent, now_monotonic());
    }
    switch (read.kind) {
    case response_kind::refused:
        this->admission->release(attempt);
        return refuse(attempt, outcome::not_run, reason::backend_shed);
    case response_kind::wrong_server:
        this->admission->release(attempt);
        return refuse(attempt, outcome::not_run, reason::backend_renamed);
    case response_kind::corrupted:
        this->admission->release(attempt);
        return refuse(attempt, outcome::unknown, reason::answer_incomplete);
    case response_kind::answered:
        break;
    }
    this->admission->complete(attempt, service_time);
    answer made;
    made.attempt = attempt;
    made.result = outcome::completed;
    made.status = response.status;
    made.service_time = service_time;
    made.body = std::move(response.body);
    std::erase_if(response.headers, [](const header& item) { return is_hop_by_hop(item.name); });
    made.headers = std::move(response.headers);
    return made;
}

answer backend_client::to_answer(const attempt_id& attempt, http_failure failure) {
    const auto now = now_monotonic();
    switch (failure) {
    case http_failure::refused:
        this->admission->release(attempt);
        this->admission->warm_up().on_lost();
        return refuse(attempt, outcome::not_run, reason::backend_unreachable);
    case http_failure::timed_out:
        this->admission->abandon(attempt, now);
        return refuse(attempt, outcome::unknown, reason::timed_out);
    case http_failure::cancelled:
        this->admission->abandon(attempt, now);
        return refuse(attempt, outcome::unknown, reason::cancelled);
    case http_failure::cut:
        this->note_cut_connection(now);
        this->admission->release(attempt);
        return refuse(attempt, outcome::unknown, reason::answer_incomplete);
    case http_failure::malformed:
        this->admission->release(attempt);
        return refuse(attempt, outcome::unknown, reason::answer_incomplete);
    case http_failure::too_large:
        break;
    }
    this->admission->release(attempt);
    return refuse(attempt, outcome::unknown, reason::answer_too_large);
}

// When half of the running calls lose their connections at once, the backend server has restarted.
void backend_client::note_cut_connection(instant now) {
    if (now - this->cut_at > cut_window) {
        this->cut_connections = 0;
        this->running_before_cuts = this->admission->running();
    }
    this->cut_at = now;
    ++this->cut_connections;
    if (std::size_t{2} * this->cut_connections >= this->running_before_cuts) {
        this->admission->warm_up().on_restarted();
    }
}

} // namespace chervilturn
