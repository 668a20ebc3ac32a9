// What the tasks of a node share: event loop, settings, metrics, protocols, mailboxes and clocks.
#pragma once

#include "chervilturn/config/node_settings.hpp"
#include "chervilturn/core/byte_budget.hpp"
#include "chervilturn/node/protocol.hpp"
#include "chervilturn/observe/metrics.hpp"
#include "chervilturn/transport/event_loop.hpp"

#include <cstdint>

namespace chervilturn {

struct node_mailboxes;

/// @brief Objects shared by all tasks of a node. Outlives the tasks.
struct node_context {
    event_loop* loop = nullptr;
    node_settings settings;
    std::uint64_t incarnation = 0; // random number, drawn when the node starts; never 0 in a running node
    metrics* stats = nullptr;
    byte_budget* bodies = nullptr; // of bodies that pass through the process; null: no limit
    node_protocols protocols;
    node_mailboxes* mailboxes = nullptr;
};

/// @brief The present time of the monotonic clock.
[[nodiscard]] inline instant now_monotonic() noexcept {
    return monotonic_clock::now();
}

/// @brief The present time of the wall clock in whole milliseconds, for idempotency keys.
[[nodiscard]] inline wall_time now_wall() noexcept {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace chervilturn
