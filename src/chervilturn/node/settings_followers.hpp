// Sends this node's settings to the peers that follow them: small updates at once, large ones in parts.
#pragma once

#include "chervilturn/node/context.hpp"
#include "chervilturn/node/messages.hpp"
#include "chervilturn/transport/update_transfer.hpp"

#include <map>
#include <optional>
#include <vector>

namespace chervilturn {

/// @brief The peers that asked for settings, by number of their connection. A follower has one transfer at a
/// time: changes that are accepted meanwhile wait and go out together after it, in their newest state.
class settings_followers {
  public:
    /// @brief The tree outlives the followers.
    settings_followers(const node_context& shared, const settings_tree& followed_tree);

    /// @brief Answers a subscription with everything newer than its revisions.
    void on_subscribed(const peer_subscribed& message);

    void on_unsubscribed(std::uint64_t connection) { this->followers.erase(connection); }

    /// @brief Goes on with the transfer whose parts arrived. Returns the peer when it has received all of
    /// them.
    std::optional<address> on_receipt(const part_received& message);

    /// @brief Sends newly accepted settings to every follower but those that have them already, for example
    /// because they read the platform themselves.
    void push(const std::vector<address>& equal_peers);

    [[nodiscard]] std::size_t size() const noexcept { return this->followers.size(); }

  private:
    struct follower {
        address peer;
        std::uint64_t sent_until = 0; // change of the tree; it has the earlier ones once all has arrived
        bool follows = false;         // otherwise it is listed until its transfer ends
        bool accepts_parts = false;
        std::optional<outgoing_update> transfer;    // in progress
        std::optional<std::uint64_t> waiting_nonce; // of a request that came during the transfer
    };

    /// @brief An update, prepared once for all followers that have the same changes.
    struct prepared_update {
        std::uint64_t from = 0; // change of the tree that the followers have
        settings_update update;
        packed_update packed; // null until a follower gets it in parts
    };

    [[nodiscard]] prepared_update prepare(std::uint64_t from, std::uint64_t nonce) const;
    void send(std::uint64_t connection, follower& target, prepared_update& prepared);
    // Sends parts of all transfers in turn, as far as the bytes on their way allow.
    void send_parts();
    void on_transfer_complete(std::uint64_t connection, follower& target);

    const node_context* context;
    const settings_tree* tree;
    std::map<std::uint64_t, follower> followers;
    std::uint64_t last_transfer = 0;
    std::uint64_t last_served = 0; // connection that got the latest part
    timer stall_check;             // runs during transfers
};

} // namespace chervilturn
