// What the owner holds to be true, and what that forbids.
#pragma once

#include "chervilturn/call/call.hpp"
#include "chervilturn/config/model.hpp"
#include "chervilturn/config/node_settings.hpp"

#include <memory>
#include <string>

namespace chervilturn {

/// @brief Where settings see a call at this owner; null as far as they know nothing of it.
struct resolved_call {
    const team* owner = nullptr;
    const service* target = nullptr;
    const backend_server* server = nullptr;
};

/// @brief Settings, the name of the backend server, doubts, and whether the node stops.
class owner_state {
  public:
    explicit owner_state(const node_settings& node) : here{&node} {}

    void accept(std::shared_ptr<const model> changed) noexcept { this->settings = std::move(changed); }
    void mark_stale() noexcept { this->doubted = true; }
    void confirm() noexcept { this->doubted = false; }
    void begin_shutdown() noexcept { this->stopping = true; }

    /// @brief The backend server told its name; whether it is another one than before.
    [[nodiscard]] bool set_server_name(const std::string& name);

    /// @brief The backend server refused a call that was sent to a name, since it bears another. Nothing more
    /// is sent to that name until the server itself tells it again.
    void reject_server_name(const std::string& name) { this->disowned = name; }

    [[nodiscard]] const model& current_settings() const noexcept { return *this->settings; }
    [[nodiscard]] bool is_stale() const noexcept { return this->doubted; }
    [[nodiscard]] bool is_shutting_down() const noexcept { return this->stopping; }
    [[nodiscard]] const std::string& server_name() const noexcept { return this->named; }

    /// @brief The server is the one that bears the told name; before any was told, the one listed first.
    [[nodiscard]] resolved_call resolve(const call& checked) const;

    /// @brief Everything that forbids to run a call here and now; checked on arrival and before dispatch.
    [[nodiscard]] reason refusal_reason(const call& checked) const;

  private:
    const node_settings* here; // outlives this
    std::shared_ptr<const model> settings = std::make_shared<const model>();
    bool doubted = true; // nothing is dispatched while in doubt
    bool stopping = false;
    std::string named;    // the backend server, as it said itself; empty before
    std::string disowned; // a name that it does not bear; empty when none is known
};

/// @brief Where a call may be served, by its workspace and route; empty for everywhere.
[[nodiscard]] region_set home_regions_of(const team& owner, const call& checked);

} // namespace chervilturn
