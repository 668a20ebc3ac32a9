// The owner: admits and queues calls, dispatches them to the backend server on this host, and probes it.
#pragma once

#include "chervilturn/admission/admission_controller.hpp"
#include "chervilturn/admission/attempt_record.hpp"
#include "chervilturn/admission/awaited_bodies.hpp"
#include "chervilturn/membership/pause_detector.hpp"
#include "chervilturn/node/backend_client.hpp"
#include "chervilturn/node/backend_probe.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/node/crash_watch.hpp"
#include "chervilturn/node/key_resolver.hpp"
#include "chervilturn/node/messages.hpp"
#include "chervilturn/node/owner_state.hpp"
#include "chervilturn/node/server_reports.hpp"

#include <unordered_map>

namespace chervilturn {

/// @brief Owns the connections to the backend server, its admission control and all calls sent to it.
class owner_task {
  public:
    explicit owner_task(const node_context& context);

    /// @brief Whether no call is queued or running and none waits for its key to be resolved.
    [[nodiscard]] bool idle() const noexcept { return this->calls.empty() && this->keys.idle(); }

  private:
    /// @brief A call that admission control queued or dispatched.
    struct owned_call {
        call received;
        instant admitted_at;
        instant deadline;        // slightly before the entry's own deadline
        std::string server_name; // of the backend server that runs it; empty before dispatch
        bool has_slot = false;   // admission control dispatched it; it may still wait for its body
        bool running = false;    // sent to the backend server
        backend_client::running_call running_call; // while running
        std::vector<attempt_id> duplicates;        // later attempts with the same idempotency key
    };

    void handle(const settings_changed& message);
    void handle(const settings_stale& message);
    void handle(const settings_confirmed& message);
    void handle(const suspects_changed& message);
    void handle(const shutdown_announced& message);
    void handle(const shutdown_started& message);
    void handle(call&& received);
    void handle(call_body&& received);
    void handle(const cancel& request);
    void handle(const inquiry& request);
    void handle(const key_inquiry_received& request);
    void handle(const key_inquiry_reply& reply);
    void handle(const describe_request& request);

    // Why the call must not run now, also because its request is held; none if it may. Hashes the request
    // while any is held, so it is asked once on arrival, and again when waiting calls may have become held.
    [[nodiscard]] reason refusal_reason(const call& received) const;
    // Why a call that has just arrived must not be admitted; none if it may.
    [[nodiscard]] reason arrival_refusal(const call& received, instant now) const;
    void on_call_cut(const attempt_id& attempt);
    void cancel_before_admission(const attempt_id& attempt);
    void check_for_pause();
    // Whether the attempt was received before; replies to it if it has ended or is fenced.
    [[nodiscard]] bool is_duplicate(const call& received);
    void on_key_resolved(call&& received, const key_decision& decision);
    // Answers a call together with the call in progress that has the same key.
    void join_duplicate(const call& received);
    void admit(call&& received);
    // False when the call was refused for lack of room for its body.
    bool add_admitted(call&& received, instant deadline, instant now);
    [[nodiscard]] std::shared_ptr<byte_share> draw_for_body(std::size_t bytes);
    void request_body_part(const attempt_id& attempt);
    // Gives the slot of an admitted call to the call: starts it, or waits for its body.
    void dispatch(const attempt_id& attempt);
    // Refuses a call that waits in the queue or, with its slot, for its body.
    void refuse_unstarted(const attempt_id& attempt, reason why);
    void on_backend_answer(answer ended);
    void on_probe_report(const probe_report& report, instant sent_at);
    void on_call_statement(const attempt_id& attempt, const server_statement& stated, instant sent_at);
    void refuse_queued(reason why);
    void recheck_queued();
    void finish(answer ended);
    void reply(answer ended);
    // Dispatches queued calls, refuses those that expired or are shed, and drops outdated records.
    void advance();
    void update_gauges(instant now);
    void configure_admission();

    const node_context* context;
    owner_state state;
    admission_controller admission;
    crash_watch crashes;
    server_reports reports;
    attempt_record attempts;
    key_resolver keys;
    std::unordered_map<attempt_id, owned_call, attempt_id_hash> calls;
    awaited_bodies bodies; // of admitted calls
    // The queued or running attempt of each scoped key.
    std::unordered_map<std::string, attempt_id> attempts_by_key;
    backend_client backend;
    pause_detector pauses;
    timer advance_timer;
    backend_probe probe;
};

} // namespace chervilturn
