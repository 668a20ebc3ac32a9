// One node: all its tasks, wired together, and its graceful shutdown.
#pragma once

#include "chervilturn/config/node_settings.hpp"
#include "chervilturn/core/result.hpp"
#include "chervilturn/node/protocol.hpp"
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
    /// @brief Reads the settings anew, for a reload.
    using settings_source = std::function<result<node_settings, settings_error>()>;

    explicit node(node_settings settings, node_protocols protocols = native_protocols());
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node();

    /// @brief Opens all sockets and starts to learn settings.
    [[nodiscard]] result<success, node_error> start();

    /// @brief Reloads from a source on SIGHUP, and whenever the file changes. Settings with a fault are
    /// logged and change nothing. Addresses are only taken at the start.
    void reload_from(const std::string& file, settings_source source);

    /// @brief Serves until a graceful shutdown, by SIGTERM, SIGINT or request, is complete.
    void run();

    /// @brief Begins a graceful shutdown; calls in progress are finished first.
    void request_shutdown();

  private:
    struct parts;
    std::unique_ptr<parts> held;
};

} // namespace chervilturn
