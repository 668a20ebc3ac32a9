// The owner: admits, queues and dispatches calls to the backend server on this host, and probes it.
#pragma once

#include "chervilturn/admission/admission_controller.hpp"
#include "chervilturn/admission/attempt_record.hpp"
#include "chervilturn/membership/pause_detector.hpp"
#include "chervilturn/node/backend_client.hpp"
#include "chervilturn/node/backend_probe.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/node/key_resolver.hpp"
#include "chervilturn/node/messages.hpp"
#include "chervilturn/node/owner_state.hpp"

#include <unordered_map>

namespace chervilturn {

/// @brief Owns the connections to the backend server and everything that is known of its calls.
class owner_task {
  public:
    explicit owner_task(const node_context& context);

    /// @brief Whether no call waits or runs.
    [[nodiscard]] bool idle() const noexcept { return this->calls.empty() && this->keys.idle(); }

  private:
    struct owned_call {
        call received;
        instant admitted;
        instant deadline;
        std::string server_name; // of the backend server that runs it; empty before
        bool running = false;
        backend_client::running_call running_call; // while running
        std::vector<attempt_id> repeats;           // attempts with the same idempotency key
    };

    void handle(const settings_changed& message);
    void handle(const settings_stale& message);
    void handle(const settings_confirmed& message);
    void handle(const shutdown_started& message);
    void handle(call&& received);
    void handle(const cancel& request);
    void handle(const inquiry& request);
    void handle(const key_inquiry_received& asked);
    void handle(const key_inquiry_reply& reply);
    void handle(const describe_request& request);

    void watch_for_pause();
    [[nodiscard]] bool repeat_known(const call& received);
    void on_key_resolved(call&& received, const key_decision& decision);
    void join_repeat(const call& received);
    void admit(call&& received);
    void log_admission(const call& received, const admission_decision& admitted) const;
    void log_withdrawal(const call& received, reason why) const;
    void dispatch(const attempt_id& attempt);
    void on_backend_answer(answer ended);
    void on_probed(const probe_report& report);
    void refuse_waiting(reason why);
    void recheck_waiting();
    void finish(answer ended);
    void reply(answer ended);
    void advance();
    void show_beliefs(instant now);
    void configure_door();

    const node_context* context;
    owner_state beliefs;
    admission_controller admission;
    attempt_record attempts;
    key_resolver keys;
    std::unordered_map<attempt_id, owned_call, attempt_id_hash> calls;
    std::unordered_map<std::string, attempt_id> key_carriers; // attempt in progress of each key
    backend_client backend;
    pause_detector pauses;
    timer tick;
    backend_probe probe;
};

} // namespace chervilturn
