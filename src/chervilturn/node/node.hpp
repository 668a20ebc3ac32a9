// One node: all its tasks, wired together, and its graceful shutdown.
#pragma once

#include "chervilturn/config/node_settings.hpp"
#include "chervilturn/core/result.hpp"
#include "chervilturn/transport/event_loop.hpp"

#include <memory>

namespace chervilturn {

/// @brief A node that could not start.
struct node_error {
    std::string message;
};

/// @brief The whole of one node. Runs on the thread that calls run.
class node {
  public:
    explicit node(node_settings settings);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node();

    /// @brief Opens all sockets and starts to learn settings.
    [[nodiscard]] result<success, node_error> start();

    /// @brief Serves until a graceful shutdown, by SIGTERM, SIGINT or request, is complete.
    void run();

    /// @brief Begins a graceful shutdown; calls in progress are finished first.
    void request_shutdown();

  private:
    struct parts;
    std::unique_ptr<parts> held;
};

} // namespace chervilturn
