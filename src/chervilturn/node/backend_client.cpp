// Requests to the backend server and the answers made from its responses and failures.
#include "chervilturn/node/backend_client.hpp"

#include "chervilturn/observe/log.hpp"

namespace chervilturn {

namespace {

// Longest gap between two lost connections that count together.
constexpr microseconds cut_window = std::chrono::milliseconds{100};

} // namespace

backend_client::backend_client(const node_context& shared_context, admission_controller& controller,
                               statement_handler handler, life_signs handlers)
    : context{&shared_context}, admission{&controller}, on_statement{std::move(handler)},
      signs{std::move(handlers)}, client{*shared_context.loop, shared_context.settings.backend_server,
                                         http_client_options{
                                             .max_body_bytes = shared_context.settings.limits.max_body_bytes,
                                             .bodies = shared_context.bodies}} {}

backend_client::running_call backend_client::run(const outgoing_call& outgoing, answer_handler handler) {
    const auto attempt = outgoing.received->attempt;
    const auto sent_at = now_monotonic();
    const auto* protocol = this->context->protocols.backend.get();
    return this->client.send(
        protocol->request(outgoing),
        http_send_options{.timeout = outgoing.remaining,
                          .match =
                              [protocol, id = outgoing.received->request_id](const http_response& response) {
                                  return protocol->match(id, response);
                              },
                          .id = outgoing.received->request_id},
        [this, attempt, sent_at, handler = std::move(handler)](http_result result) {
            handler(this->to_answer(attempt, sent_at, std::move(result)));
        });
}

answer backend_client::to_answer(const attempt_id& attempt, instant sent_at, http_result&& result) {
    if (const auto* failure = std::get_if<http_failure>(&result)) {
        return this->to_answer(attempt, *failure);
    }
    return this->to_answer(attempt, sent_at, std::get<http_response>(std::move(result)));
}

answer backend_client::to_answer(const attempt_id& attempt, instant sent_at, http_response&& response) {
    const auto service_time = elapsed(sent_at, now_monotonic());
    const auto parsed = this->context->protocols.backend->read(response);
    if (parsed.load) {
        this->admission->set_slowdown(parsed.load->slowdown_percent, now_monotonic());
    }
    if (parsed.kind == response_kind::answered || parsed.kind == response_kind::refused) {
        this->on_statement(attempt, parsed.statement, sent_at);
    }
    switch (parsed.kind) {
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
    answer completed_answer;
    completed_answer.attempt = attempt;
    completed_answer.result = outcome::completed;
    completed_answer.status = response.status;
    completed_answer.service_time = service_time;
    completed_answer.body = std::move(response.body);
    completed_answer.held = std::move(response.held);
    std::erase_if(response.headers, [](const header& item) { return is_hop_by_hop(item.name); });
    completed_answer.headers = std::move(response.headers);
    return completed_answer;
}

answer backend_client::to_answer(const attempt_id& attempt, http_failure failure) {
    const auto now = now_monotonic();
    switch (failure) {
    case http_failure::refused:
        this->admission->release(attempt);
        this->admission->warm_up().on_lost();
        this->signs.on_refused();
        return refuse(attempt, outcome::not_run, reason::backend_unreachable);
    case http_failure::timed_out:
        this->admission->abandon(attempt, now);
        return refuse(attempt, outcome::unknown, reason::timed_out);
    case http_failure::cancelled:
        this->admission->abandon(attempt, now);
        return refuse(attempt, outcome::unknown, reason::cancelled);
    case http_failure::cut:
        this->on_connection_cut(now);
        this->signs.on_cut(attempt);
        this->admission->release(attempt);
        return refuse(attempt, outcome::unknown, reason::answer_incomplete);
    case http_failure::malformed:
        this->admission->release(attempt);
        return refuse(attempt, outcome::unknown, reason::answer_incomplete);
    case http_failure::too_large:
    case http_failure::no_room:
        break;
    }
    this->log_dropped_answer(attempt, failure);
    this->admission->release(attempt);
    return refuse(attempt, outcome::unknown, reason::answer_too_large);
}

void backend_client::log_dropped_answer(const attempt_id& attempt, http_failure failure) const {
    const auto* bodies = this->context->bodies;
    log_event(log_level::warn, "answer_dropped",
              {{"entry", attempt.entry},
               {"sequence", attempt.sequence},
               {"because", to_string(failure)},
               {"max_body_bytes", this->context->settings.limits.max_body_bytes},
               {"held_bytes", bodies == nullptr ? 0 : bodies->used()},
               {"max_held_bytes", bodies == nullptr ? 0 : bodies->limit()}});
}

// Assumes a restart of the backend server when at least half of the running calls lose their connections,
// each within cut_window of the previous one.
void backend_client::on_connection_cut(instant now) {
    if (now - this->last_cut_at > cut_window) {
        this->recent_cuts = 0;
        this->running_before_cuts = this->admission->running();
    }
    this->last_cut_at = now;
    ++this->recent_cuts;
    if (std::size_t{2} * this->recent_cuts >= this->running_before_cuts) {
        this->admission->warm_up().on_restarted();
    }
}

} // namespace chervilturn
