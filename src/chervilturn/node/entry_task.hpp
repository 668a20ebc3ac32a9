// The entry: accepts calls, selects a backend server for each attempt, retries where that is safe, responds.
#pragma once

#include "chervilturn/node/context.hpp"
#include "chervilturn/node/entry_call.hpp"
#include "chervilturn/node/messages.hpp"
#include "chervilturn/selection/server_views.hpp"

#include <list>
#include <optional>
#include <unordered_map>

namespace chervilturn {

/// @brief Owns the callers' HTTP server and all calls in progress at this entry.
class entry_task {
  public:
    explicit entry_task(const node_context& context);

    /// @brief Starts to listen on the callers' address; fails when the address cannot be bound.
    [[nodiscard]] result<success, transport_error> start();

    /// @brief Whether no call is in progress and every response is written.
    [[nodiscard]] bool idle() const noexcept;

    /// @brief Whether the accepted settings list any service, so that calls can be served.
    [[nodiscard]] bool has_settings() const noexcept;

  private:
    // What the settings say of a call's team and service; null where they don't know one.
    struct call_target {
        const team* owning_team = nullptr;
        const service* requested = nullptr;
    };

    /// @brief A call from its acceptance until its response.
    struct active_call {
        std::shared_ptr<http_exchange> exchange;
        entry_call state;
        std::unique_ptr<timer> deadline_timer;
    };
    using call_iterator = std::list<active_call>::iterator;

    void handle(const settings_changed& message);
    void handle(attempt_ended&& message);
    void handle(const suspects_changed& message);
    void handle(const shutdown_announced& message);
    void handle(const shutdown_started& message);
    void handle(const describe_request& request);
    void handle(const explain_request& request);

    [[nodiscard]] http_server_options server_options() const;
    void configure_server();
    // Updates the views by the end of an attempt.
    void learn(const call& original, const entry_call::attempt& ended_attempt, const attempt_ended& message,
               instant now);
    void record_attempt_metrics(const entry_call& state, microseconds latency);
    [[nodiscard]] bool is_held(const call& checked) const;
    void on_request(std::shared_ptr<http_exchange> exchange);
    // Why no request is accepted at this moment; nothing if requests are.
    [[nodiscard]] std::optional<request_error> refusal_of_all() const;
    // Why a request with valid contents is not started; nothing if it is.
    [[nodiscard]] std::optional<request_error> refusal_of(const accepted_request& request, instant now) const;
    // Deducts the time from the first byte of a request, which may have waited for earlier ones of its
    // connection, until its start.
    void deduct_wait(accepted_request& request, microseconds waited);
    void start_call(std::shared_ptr<http_exchange> exchange, accepted_request&& request, instant now);
    // Starts the next attempt; ends the call when no backend server may take it.
    void start_attempt(call_iterator active);
    [[nodiscard]] const backend_server* select_server(entry_call& state, const team& owning_team,
                                                      const service& target);
    [[nodiscard]] const backend_server* select_key_home(const entry_call& state, const team& owning_team,
                                                        const service& target) const;
    void send(call_iterator active, const backend_server& server);
    void on_deadline(call_iterator active);
    void on_caller_disconnected(call_iterator active);
    void cancel_current_attempt(entry_call& state);
    void finish_call(call_iterator active);
    void respond(active_call& active);
    void count_refusal(const entry_call& state, const answer& final_answer);
    void reject(http_exchange& exchange, const request_error& error, const std::string& id);
    [[nodiscard]] retry_budget& retry_budget_for(const call& original, std::uint32_t retry_percent);
    [[nodiscard]] request_context request_context_now() const noexcept;
    [[nodiscard]] call_target target_of(const call& original) const;
    [[nodiscard]] eligibility_request make_eligibility_request(const team& owning_team, const service& target,
                                                               const region_set& regions) const;

    const node_context* context;
    std::unique_ptr<http_server> server;
    std::shared_ptr<const model> settings = std::make_shared<const model>();
    std::unique_ptr<policy> selection_policy;
    random_source random;
    server_views views;
    // By "team/service" under fleet-wide limits, else by "team/workspace".
    std::map<std::string, retry_budget> retry_budgets;
    std::list<active_call> calls; // in progress
    // Calls by their attempt in progress.
    std::unordered_map<attempt_id, call_iterator, attempt_id_hash> attempts;
    std::uint64_t sequence = 0; // of the latest attempt that this node started
    std::shared_ptr<const crash_suspects> suspects = std::make_shared<const crash_suspects>();
    std::optional<instant> last_end; // of a call that may be taken; empty before a shutdown is announced
    bool shutting_down = false;
};

} // namespace chervilturn
