// One node: builds and connects its tasks, runs them on one event loop and shuts them down gracefully.
#pragma once

#include "chervilturn/config/node_settings.hpp"
#include "chervilturn/core/result.hpp"
#include "chervilturn/node/protocol.hpp"
#include "chervilturn/transport/event_loop.hpp"

#include <memory>

namespace chervilturn {

/// @brief Why a node could not start.
struct node_error {
    std::string message;
};

/// @brief One node of the load balancer. All of its tasks run on the thread that calls run.
class node {
  public:
    /// @brief Reads the settings again, for a reload.
    using settings_source = std::function<result<node_settings, settings_error>()>;

    explicit node(node_settings settings, node_protocols protocols = native_protocols());
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node();

    /// @brief Opens all sockets and starts to fetch settings from the seeds and the platform. Fails when a
    /// socket cannot be opened.
    [[nodiscard]] result<success, node_error> start();

    /// @brief Reloads the settings from source on SIGHUP and when the modification time of the file changes.
    /// Invalid settings are logged and not applied. Addresses, the platform, the policy and settings that
    /// tasks copied when they were built keep the values of the start.
    void reload_from(const std::string& file, settings_source source);

    /// @brief Serves calls until a graceful shutdown is complete. SIGTERM, SIGINT and request_shutdown
    /// start one.
    void run();

    /// @brief Starts a graceful shutdown. The node stops when all calls are finished, or when the grace
    /// period of the settings ends.
    void request_shutdown();

  private:
    struct parts;
    std::unique_ptr<parts> impl;
};

} // namespace chervilturn
