// Keeps the settings of nodes equal: compares them with peers and exchanges what differs.
#pragma once

#include "chervilturn/core/random.hpp"
#include "chervilturn/membership/peer_comparisons.hpp"
#include "chervilturn/membership/relay_tree.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/node/messages.hpp"
#include "chervilturn/node/settings_reader.hpp"

#include <optional>
#include <vector>

namespace chervilturn {

/// @brief Every second a node tells its parent a hash of its settings, and a reader also tells the first
/// readers of the other data centres: at once when it has read a change. A node whose settings differ from
/// what it is told exchanges them with the peer, in both directions.
class settings_exchange {
  public:
    /// @brief The tree and the reader outlive the exchange.
    settings_exchange(const node_context& shared, const settings_tree& own_tree,
                      const settings_reader& own_reader);

    void start();

    /// @brief Sets the peers to compare with: the parents of a reader, the followed parent of another node.
    void set_position(const relay_position& position, const std::optional<address>& followed_parent);

    /// @brief Asks the sender of a subscription for what it has and this node lacks.
    void on_subscribed(const peer_subscribed& message);

    void on_compared(const comparison_received& message);

    /// @brief Compares again with a peer whose update was accepted.
    void on_update_accepted(const address& peer) { this->tell(peer); }

    /// @brief Tells all peers at once that this node has read a change.
    void on_change_read();

    /// @brief A large update is arriving: what peers have is most likely in it.
    void on_update_part() noexcept { this->last_part_at = now_monotonic(); }
    void on_update() noexcept { this->last_part_at.reset(); }
    [[nodiscard]] bool is_receiving() const noexcept;

    /// @brief A subscription for what is newer than this node's settings.
    [[nodiscard]] subscription new_request(bool follow);

    void ask(const address& peer);
    void ask_random_peer();

    /// @brief Number of the latest request.
    [[nodiscard]] std::uint64_t last_request() const noexcept { return this->last_nonce; }

  private:
    void tell(const address& peer);
    void tell_all();
    void exchange_due();
    void compare_with_random_peer();
    [[nodiscard]] bool reads_platform() const noexcept;
    [[nodiscard]] std::optional<address> random_host();

    const node_context* context;
    const settings_tree* tree;
    const settings_reader* reader;
    random_source random;
    peer_comparisons comparisons;
    std::vector<address> compared_peers;
    std::uint64_t last_nonce = 0;
    std::optional<instant> last_part_at; // of an update that is not complete yet
    timer tell_timer;
    timer due_timer;
    timer random_timer;
};

} // namespace chervilturn
