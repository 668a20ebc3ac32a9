// Sends messages to other nodes and counts their bytes, for both directions of connections.
#pragma once

#include "chervilturn/node/context.hpp"
#include "chervilturn/observe/peer_traffic.hpp"
#include "chervilturn/transport/peer_connection.hpp"

#include <string>

namespace chervilturn {

/// @brief What a message carries.
[[nodiscard]] traffic_kind kind_of(const message& item) noexcept;

/// @brief How far it is from one data centre to another, by the configured regions; unknown while either
/// region is.
[[nodiscard]] traffic_reach reach_between(const node_settings& settings, const std::string& data_centre);

/// @brief Passes messages to connections, and counts what was sent.
class peer_sender {
  public:
    explicit peer_sender(const node_context& shared) : context{&shared} {}

    /// @brief Queues a message for a peer in a data centre, whose name is empty before its hello. Returns the
    /// size of its frame in bytes, or 0 if nothing was queued.
    std::size_t send(peer_connection& connection, const std::string& data_centre,
                     const message& outgoing) const;

    /// @brief Queues the hello of this node, the first message of each connection.
    void introduce(peer_connection& connection, const std::string& data_centre) const;

  private:
    const node_context* context;
};

} // namespace chervilturn
