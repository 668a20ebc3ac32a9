// Carries admitted calls to the backend server and turns its responses and failures into answers.
#pragma once

#include "chervilturn/admission/admission_controller.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/transport/http.hpp"

#include <functional>

namespace chervilturn {

/// @brief Owns the connections to the backend server. Tells the door how each call ended.
class backend_client {
  public:
    using running_call = std::weak_ptr<http_client::exchange>;
    using answer_handler = std::function<void(answer)>;

    backend_client(const node_context& context, admission_controller& admission);

    /// @brief Sends a call that the door has dispatched. The handler is called once, later.
    [[nodiscard]] running_call run(const dispatch& dispatched, answer_handler handler);

    /// @brief Gives a running call up; its answer is unknown.
    void cancel(const running_call& running) { this->client.give_up(running); }

    /// @brief The client, for probes of the same backend server.
    [[nodiscard]] http_client& http() noexcept { return this->client; }

  private:
    [[nodiscard]] answer to_answer(const attempt_id& attempt, microseconds service_time,
                                   http_result&& result);
    [[nodiscard]] answer to_answer(const attempt_id& attempt, microseconds service_time,
                                   http_response&& response);
    [[nodiscard]] answer to_answer(const attempt_id& attempt, http_failure failure);
    void note_cut_connection(instant now);

    const node_context* context;
    admission_controller* admission; // outlives the caller
    http_client client;
    instant cut_at{};
    std::uint32_t cut_connections = 0; // in a short time
    std::size_t running_before_cuts = 0;
};

} // namespace chervilturn
