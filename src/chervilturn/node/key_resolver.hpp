// Settles idempotency keys for the owner: consults its record and, after a move, the key's earlier homes.
#pragma once

#include "chervilturn/admission/home_history.hpp"
#include "chervilturn/admission/key_record.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/node/messages.hpp"

#include <functional>
#include <map>
#include <set>

namespace chervilturn {

/// @brief Both clocks of this process.
[[nodiscard]] clock_reading read_clocks() noexcept;

/// @brief The key of a call together with team, workspace and service, so that no two customers share one.
[[nodiscard]] idempotency_key scoped_key(const call& carrier);

/// @brief Holds calls while earlier homes of their keys are asked.
class key_resolver {
  public:
    /// @brief Receives a call whose key is settled; the decision is never key_unresolved.
    using resolved_handler = std::function<void(call&&, const key_decision&)>;

    key_resolver(const node_context& context, resolved_handler handler);

    /// @brief Notes newly accepted settings.
    void observe(const model& settings);

    /// @brief Settles the key of a call; the handler is called now or after earlier homes replied.
    void resolve(call&& carrier, const team& owner, const service& target, const region_set& regions);

    void begin(const call& carrier);

    /// @brief The call that carried the key ended.
    void finish(const call& carrier, const answer& ended);

    /// @brief A later home asks about a key.
    [[nodiscard]] key_report report_and_fence(const key_inquiry& asked);

    /// @brief An earlier home replied.
    void on_reply(const key_inquiry_reply& reply);

    /// @brief Counts earlier homes that did not reply in time as unreachable.
    void check_overdue(instant now);

    /// @brief After a long pause nothing that was known before may be relied on.
    void restart();

    [[nodiscard]] std::size_t recorded_keys() const noexcept { return this->record.size(); }
    [[nodiscard]] bool idle() const noexcept { return this->held.empty(); }

  private:
    struct pending_call {
        call carrier;
        std::vector<key_report> reports;
        std::size_t awaited = 0; // replies still to come
        instant deadline;        // of the call
        instant reply_by;
    };

    void ask(call&& carrier, const key_unresolved& wanted);
    void conclude(std::uint64_t number);

    const node_context* context;
    resolved_handler resolved;
    key_record record;
    std::map<std::string, home_history> homes; // by "team/service"
    binding_history bindings;
    std::set<address> listed_hosts;             // peer addresses in the host list
    std::map<std::uint64_t, pending_call> held; // by inquiry number
    std::uint64_t inquiries = 0;
};

} // namespace chervilturn
