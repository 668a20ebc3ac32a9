// The entry: takes calls from callers, chooses backend servers, tries again where that is safe, answers.
#pragma once

#include "chervilturn/node/context.hpp"
#include "chervilturn/node/entry_call.hpp"
#include "chervilturn/node/messages.hpp"
#include "chervilturn/selection/baseline_times.hpp"

#include <list>
#include <unordered_map>

namespace chervilturn {

/// @brief Owns the callers' sockets and all calls in progress at this node.
class entry_task {
  public:
    explicit entry_task(const node_context& context);

    /// @brief Starts to listen on the callers' address.
    [[nodiscard]] result<success, transport_error> start();

    /// @brief Whether every call is answered and every answer written out.
    [[nodiscard]] bool idle() const noexcept;

    /// @brief Whether settings are known, so that calls can be served.
    [[nodiscard]] bool has_settings() const noexcept;

  private:
    struct open_call {
        std::shared_ptr<http_exchange> exchange;
        entry_call life;
        std::unique_ptr<timer> expiry;
    };
    using call_iterator = std::list<open_call>::iterator;

    void handle(const settings_changed& message);
    void handle(const attempt_ended& message);
    void handle(const shutdown_started& message);
    void handle(const describe_request& request);
    void handle(const explain_request& request);

    void configure_server();
    void learn(const std::string& route, const entry_call::attempt& sent, const attempt_ended& message,
               instant now);
    void count_step(const entry_call& life, microseconds latency);
    [[nodiscard]] bool has_route(const std::string& name) const;
    void on_request(std::shared_ptr<http_exchange> exchange);
    void open(std::shared_ptr<http_exchange> exchange, accepted_request&& request);
    void try_next(call_iterator opened);
    [[nodiscard]] const backend_server* choose(entry_call& life, const team& owner, const service& target);
    [[nodiscard]] const backend_server* choose_key_home(const entry_call& life, const team& owner,
                                                        const service& target) const;
    void send(call_iterator opened, const backend_server& server);
    void on_deadline(call_iterator opened);
    void on_caller_gone(call_iterator opened);
    void give_up_attempt(entry_call& life);
    void close(call_iterator opened);
    void respond(open_call& opened);
    void reject(http_exchange& exchange, const request_error& error, const std::string& id);
    [[nodiscard]] load_view& view_of(const backend_server& server);
    [[nodiscard]] retry_budget& budget_of(const call& made, std::uint32_t retry_percent);
    [[nodiscard]] eligibility_request eligibility_of(const team& owner, const service& target,
                                                     const region_set& regions) const;

    const node_context* context;
    std::unique_ptr<http_server> server;
    std::shared_ptr<const model> settings = std::make_shared<const model>();
    std::unique_ptr<policy> selection;
    random_source random;
    std::map<address, load_view> views;          // by the owner's peer address
    std::map<std::string, retry_budget> budgets; // by "team/workspace", or "team/service"
    baseline_times usual;                        // service times by route
    std::list<open_call> calls;
    std::unordered_map<attempt_id, call_iterator, attempt_id_hash> attempts; // in progress
    std::uint64_t sequence = 0;
    bool shutting_down = false;
};

} // namespace chervilturn
