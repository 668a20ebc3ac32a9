// The settings and states that decide whether the owner may run a call.
#pragma once

#include "chervilturn/call/call.hpp"
#include "chervilturn/config/model.hpp"
#include "chervilturn/config/node_settings.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace chervilturn {

/// @brief The entries of the settings that apply to a call at this owner; each is null when there is none.
struct resolved_call {
    const team* owning_team = nullptr;
    const service* target = nullptr;
    const backend_server* server = nullptr; // the backend server on this host
};

/// @brief The accepted settings, whether they are stale, the name of the backend server on this host, and
/// whether the node is shutting down. Settings are stale until confirm is called.
class owner_state {
  public:
    explicit owner_state(const node_settings& node) : self{&node} {}

    void accept(std::shared_ptr<const model> accepted) noexcept { this->settings = std::move(accepted); }
    void mark_stale() noexcept { this->stale = true; }
    void confirm() noexcept { this->stale = false; }
    void announce_shutdown(instant last_end_of_calls) noexcept { this->last_end = last_end_of_calls; }
    void begin_shutdown() noexcept { this->in_shutdown = true; }

    /// @brief Whether a call's deadline is after the node has shut down.
    [[nodiscard]] bool outlasts_node(const call& received, instant now) const noexcept {
        return this->last_end && now + received.remaining > *this->last_end;
    }

    /// @brief Whether a probe since the start of the node had a result. Before, the node does not know what
    /// the backend server has stated, so it refuses calls.
    void set_probed(bool has_result) noexcept { this->probed = has_result; }

    /// @brief Stores the name that the backend server reported; returns whether it differs from the previous
    /// one. An empty name is ignored.
    [[nodiscard]] bool set_server_name(const std::string& name);

    /// @brief Stores a name that the backend server rejected because its own name is different. Calls to this
    /// name are refused until the server reports it as its own.
    void reject_server_name(const std::string& name) { this->rejected_name = name; }

    [[nodiscard]] const model& current_settings() const noexcept { return *this->settings; }
    [[nodiscard]] bool is_stale() const noexcept { return this->stale; }
    [[nodiscard]] bool is_shutting_down() const noexcept { return this->in_shutdown; }

    /// @brief The name that the backend server last reported; empty before the first report.
    [[nodiscard]] const std::string& server_name() const noexcept { return this->reported_name; }

    /// @brief Finds the entries of the settings for a call. The server is the one with the reported name, or
    /// the first one listed for this host while no name has been reported; never one with the rejected name.
    [[nodiscard]] resolved_call resolve(const call& received) const;

    /// @brief Why this owner must not run a call now; none when it may. Checked on arrival, on admission and
    /// before dispatch, and for queued calls after a change of settings.
    [[nodiscard]] reason refusal_reason(const call& received) const;

    /// @brief The data centres that may hold something derived from a call: those in its home regions, and
    /// this node's own. Empty when the call has no home regions: all.
    [[nodiscard]] std::set<std::string> permitted_data_centres(const call& received) const;

  private:
    const node_settings* self; // outlives this
    std::shared_ptr<const model> settings = std::make_shared<const model>();
    bool stale = true;               // no call is dispatched while true
    std::optional<instant> last_end; // of calls that may be taken; empty before a shutdown is announced
    bool in_shutdown = false;
    bool probed = false;       // no call is dispatched while false
    std::string reported_name; // by the backend server; empty before its first report
    std::string rejected_name; // by the backend server; empty when it rejected none
};

/// @brief The regions where a call may be served, by its workspace and route; empty means everywhere.
[[nodiscard]] region_set home_regions_of(const team& owning_team, const call& received);

} // namespace chervilturn
