// Sends admitted calls to the backend server and converts its responses and failures into answers.
#pragma once

#include "chervilturn/admission/admission_controller.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/transport/http.hpp"

#include <functional>

namespace chervilturn {

/// @brief Owns the connections to the backend server. Reports the end of each call to admission control.
class backend_client {
  public:
    /// @brief Handle of a call at the backend server, for cancel.
    using running_call = std::weak_ptr<http_client::exchange>;
    using answer_handler = std::function<void(answer)>;

    /// @brief Receives the statement of each response that belongs to its call, before the call's answer.
    using statement_handler =
        std::function<void(const attempt_id&, const server_statement&, instant sent_at)>;

    /// @brief Learns about signs that the backend server runs or has ended.
    struct life_signs {
        std::function<void(const attempt_id&)> on_cut; // a running call lost its connection
        std::function<void()> on_refused;              // no connection was accepted
    };

    backend_client(const node_context& context, admission_controller& controller,
                   statement_handler on_statement, life_signs signs);

    /// @brief Sends a call that admission control dispatched. The handler is called once, after this
    /// function has returned.
    [[nodiscard]] running_call run(const outgoing_call& outgoing, answer_handler handler);

    /// @brief Cancels a running call; its answer has outcome unknown.
    void cancel(const running_call& running) { this->client.cancel(running); }

    /// @brief The HTTP client, for probes of the same backend server.
    [[nodiscard]] http_client& http() noexcept { return this->client; }

  private:
    [[nodiscard]] answer to_answer(const attempt_id& attempt, instant sent_at, http_result&& result);
    [[nodiscard]] answer to_answer(const attempt_id& attempt, instant sent_at, http_response&& response);
    [[nodiscard]] answer to_answer(const attempt_id& attempt, http_failure failure);
    void log_dropped_answer(const attempt_id& attempt, http_failure failure) const;
    void on_connection_cut(instant now);

    const node_context* context;
    admission_controller* admission; // outlives this
    statement_handler on_statement;
    life_signs signs;
    http_client client;
    instant last_cut_at{};               // when a connection was last cut
    std::uint32_t recent_cuts = 0;       // each within cut_window of the previous one
    std::size_t running_before_cuts = 0; // calls running at the first of the recent cuts
};

} // namespace chervilturn
