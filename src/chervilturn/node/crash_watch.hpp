// The owner's part in finding requests that crash backend servers.
#pragma once

#include "chervilturn/admission/crash_record.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/node/messages.hpp"
#include "chervilturn/node/owner_state.hpp"

namespace chervilturn {

/// @brief Reports crashes of the backend server on this host, and completed runs of suspects, to the crash
/// reports task; knows which requests are held.
class crash_watch {
  public:
    /// @brief The state outlives the watch.
    crash_watch(const node_context& shared, const owner_state& node_state)
        : context{&shared}, state{&node_state} {}

    void update(const suspects_changed& message) { this->suspects = message.suspects; }

    /// @brief Whether the request of a call must not run. Hashes the request while any is held.
    [[nodiscard]] bool is_held(const call& received) const;

    /// @brief A running call lost its connection.
    void on_call_cut(const call& running);

    /// @brief The backend server of this name accepts no connections, or has restarted or another name.
    void on_server_ended(const std::string& name);

    /// @brief A probe that was sent at this time reached the process of the backend server that is known
    /// already. From then on only probes show that a server has not ended: an answer may come from a process
    /// that was started since.
    void on_probed(instant sent_at);

    /// @brief The backend server answered a call.
    void on_completed(const call& received, microseconds service_time);

  private:
    const node_context* context;
    const owner_state* state;
    crash_detector crashes;
    bool probes_name_process = false;
    std::shared_ptr<const crash_suspects> suspects = std::make_shared<const crash_suspects>();
};

} // namespace chervilturn
