// What every task of a node is given: the loop, the settings, the clocks and the metrics.
#pragma once

#include "chervilturn/config/node_settings.hpp"
#include "chervilturn/node/protocol.hpp"
#include "chervilturn/observe/metrics.hpp"
#include "chervilturn/transport/event_loop.hpp"

#include <cstdint>

namespace chervilturn {

struct node_mailboxes;

/// @brief Outlives all tasks of its node.
struct node_context {
    event_loop* loop = nullptr;
    node_settings settings;
    std::uint64_t incarnation = 0; // drawn at the node's start
    metrics* stats = nullptr;
    node_protocols protocols;
    node_mailboxes* mailboxes = nullptr;
};

/// @brief The monotonic clock.
[[nodiscard]] inline instant now_monotonic() noexcept {
    return monotonic_clock::now();
}

/// @brief The wall clock, for idempotency keys.
[[nodiscard]] inline wall_time now_wall() noexcept {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace chervilturn
