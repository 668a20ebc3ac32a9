// Decides for the owner whether the idempotency key of a call may run: checks the record of keys and, after a
// key's home changed, sends inquiries to its earlier homes.
#pragma once

#include "chervilturn/admission/home_history.hpp"
#include "chervilturn/admission/key_record.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/node/messages.hpp"

#include <functional>
#include <map>
#include <set>

namespace chervilturn {

/// @brief Reads the monotonic clock and the wall clock.
[[nodiscard]] clock_reading read_clocks() noexcept;

/// @brief The key of a call with team, workspace and service as a prefix, so that two workspaces never share
/// a key.
[[nodiscard]] idempotency_key scoped_key(const call& keyed_call);

/// @brief Resolves idempotency keys and holds calls while inquiries to earlier homes of their keys are
/// pending.
class key_resolver {
  public:
    /// @brief Receives a call with the decision on its key; the decision is never key_unresolved.
    using resolved_handler = std::function<void(call&&, const key_decision&)>;

    key_resolver(const node_context& context, resolved_handler handler);

    /// @brief Updates homes, bindings and the host list from newly accepted settings.
    void update_settings(const model& settings);

    /// @brief Decides on the key of a call. The handler is called at once, or after earlier homes replied or
    /// their reply time-out passed.
    void resolve(call&& received, const team& owning_team, const service& target, const region_set& regions);

    /// @brief Drops a call that waits for replies of earlier homes; false if none with this attempt does.
    [[nodiscard]] bool withdraw(const attempt_id& attempt);

    /// @brief Records that the key of a call is in progress here.
    void begin(const call& received);

    /// @brief Records the end of a call with a key; a call that did not run leaves its key unseen.
    void finish(const call& received, const answer& ended);

    /// @brief Answers the inquiry of a later home and stops this owner from running the key again.
    [[nodiscard]] key_report report_and_fence(const key_inquiry& request);

    /// @brief Handles the reply of an earlier home; ignored when its inquiry has ended.
    void on_reply(const key_inquiry_reply& reply);

    /// @brief Ends inquiries past their reply time-out; the missing replies count as unreachable.
    void expire_inquiries(instant now);

    /// @brief Discards the history of homes before now. From then on, a key that may have been used before
    /// is refused unless it is recorded here. Called after a long pause.
    void restart();

    [[nodiscard]] std::size_t recorded_keys() const noexcept { return this->record.size(); }

    /// @brief Whether no call waits for replies of earlier homes.
    [[nodiscard]] bool idle() const noexcept { return this->pending_calls.empty(); }

  private:
    /// @brief A call that waits for replies of earlier homes of its key.
    struct pending_call {
        call received;
        std::vector<key_report> reports;
        std::size_t missing_replies = 0;
        instant deadline; // of the call
        instant reply_by; // end of the reply time-out
    };

    // Records the home regions of the routes that changed since the latest call.
    void record_routes(const team& owning_team, const clock_reading& now);
    void send_inquiries(call&& received, const key_unresolved& unresolved);
    void finish_inquiry(std::uint64_t number);

    const node_context* context;
    resolved_handler on_resolved;
    key_record record;
    std::map<std::string, home_history> home_histories; // by "team/service"
    binding_history bindings;
    std::map<std::string, std::shared_ptr<const route_table>> recorded_routes; // by team
    std::set<address> listed_hosts;                      // peer addresses in the host list
    std::map<std::uint64_t, pending_call> pending_calls; // by inquiry number
    std::uint64_t latest_inquiry = 0;                    // number of the inquiry sent last
};

} // namespace chervilturn
