// Requests to the backend server and the meaning of its responses.
#include "chervilturn/node/backend_caller.hpp"

namespace chervilturn {

namespace {

constexpr microseconds cut_window = std::chrono::milliseconds{100};
constexpr std::uint16_t status_unavailable = 503;

[[nodiscard]] http_request to_request(const call& made, microseconds remaining) {
    http_request request{
        .method = made.method, .target = made.target, .headers = made.headers, .body = made.body};
    const auto whole_milliseconds = std::chrono::ceil<std::chrono::milliseconds>(remaining).count();
    request.headers.push_back({"chervilturn-deadline-ms", std::to_string(whole_milliseconds)});
    request.headers.push_back({"chervilturn-extra-attempts", std::to_string(made.extra_attempts)});
    request.headers.push_back({"chervilturn-depth", std::to_string(made.depth + 1)});
    request.headers.push_back({"chervilturn-workspace", made.workspace});
    if (made.key.given()) {
        request.headers.push_back({"idempotency-key", made.key.text});
    }
    return request;
}

[[nodiscard]] bool says_not_run(const http_response& response) {
    return response.status == status_unavailable &&
           find_header(response.headers, "chervilturn-outcome") == to_string(outcome::not_run);
}

} // namespace

backend_caller::backend_caller(const node_context& context, door& used)
    : gate{&used}, client{*context.loop, context.settings.backend_server,
                          http_client_options{.max_body_bytes = context.settings.limits.max_body_bytes}} {}

backend_caller::running_call backend_caller::run(const call& dispatched_call, microseconds remaining,
                                                 answer_handler handler) {
    const auto attempt = dispatched_call.attempt;
    const auto sent_at = now_monotonic();
    return this->client.send(to_request(dispatched_call, remaining), remaining,
                             [this, attempt, sent_at, handler = std::move(handler)](http_result result) {
                                 const auto service_time = elapsed(sent_at, now_monotonic());
                                 handler(this->to_answer(attempt, service_time, std::move(result)));
                             });
}

answer backend_caller::to_answer(const attempt_id& attempt, microseconds service_time, http_result&& result) {
    if (const auto* failure = std::get_if<http_failure>(&result)) {
        return this->to_answer(attempt, *failure);
    }
    return this->to_answer(attempt, service_time, std::get<http_response>(std::move(result)));
}

answer backend_caller::to_answer(const attempt_id& attempt, microseconds service_time,
                                 http_response&& response) {
    if (says_not_run(response)) {
        this->gate->release(attempt);
        return refuse(attempt, outcome::not_run, reason::backend_shed);
    }
    this->gate->complete(attempt, service_time);
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

answer backend_caller::to_answer(const attempt_id& attempt, http_failure failure) {
    const auto now = now_monotonic();
    switch (failure) {
    case http_failure::refused:
        this->gate->release(attempt);
        this->gate->backend().on_lost();
        return refuse(attempt, outcome::not_run, reason::backend_unreachable);
    case http_failure::timed_out:
        this->gate->abandon(attempt, now);
        return refuse(attempt, outcome::unknown, reason::timed_out);
    case http_failure::cancelled:
        this->gate->abandon(attempt, now);
        return refuse(attempt, outcome::unknown, reason::cancelled);
    case http_failure::cut:
        this->note_cut_connection(now);
        this->gate->release(attempt);
        return refuse(attempt, outcome::unknown, reason::answer_incomplete);
    case http_failure::unframed:
        this->gate->release(attempt);
        return refuse(attempt, outcome::unknown, reason::answer_incomplete);
    case http_failure::too_large:
        break;
    }
    this->gate->release(attempt);
    return refuse(attempt, outcome::unknown, reason::answer_too_large);
}

// When half of the running calls lose their connections at once, the backend server has restarted.
void backend_caller::note_cut_connection(instant now) {
    if (now - this->cut_at > cut_window) {
        this->cut_connections = 0;
        this->running_before_cuts = this->gate->running();
    }
    this->cut_at = now;
    ++this->cut_connections;
    if (std::size_t{2} * this->cut_connections >= this->running_before_cuts) {
        this->gate->backend().on_restarted();
    }
}

} // namespace chervilturn
