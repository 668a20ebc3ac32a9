// Keeps the settings of nodes equal: compares them with peers, exchanges what differs, and lets another node
// read the platform when this one cannot reach it.
#pragma once

#include "chervilturn/core/random.hpp"
#include "chervilturn/membership/peer_comparisons.hpp"
#include "chervilturn/membership/relay_tree.hpp"
#include "chervilturn/membership/substitute_search.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/node/messages.hpp"
#include "chervilturn/node/settings_reader.hpp"

#include <optional>
#include <vector>

namespace chervilturn {

/// @brief In every period a node tells its parent a hash of its settings; a reader tells other readers, also
/// at once when it has read a change. A node whose settings differ from what it is told exchanges them with
/// the peer, in both directions.
///
/// A reader that reaches neither the platform nor a reader that does asks the other nodes of its data centre,
/// two at a time, to read instead.
class settings_exchange {
  public:
    /// @brief The tree and the reader outlive the exchange. The handler is called when this node begins or
    /// ends to read for another one.
    settings_exchange(const node_context& shared, const settings_tree& own_tree,
                      const settings_reader& own_reader, std::function<void()> on_reading_changed);

    void start();

    /// @brief Sets the peers to compare with: other readers for a reader, the followed parent for other
    /// nodes.
    void set_position(const relay_position& position, const std::optional<address>& followed_parent);

    /// @brief Asks the sender of a subscription for what it has and this node lacks.
    void on_subscribed(const peer_subscribed& message);

    /// @brief A peer told which settings it has, and may have asked this node to read instead.
    void on_compared(const comparison_received& message);

    /// @brief A peer has received a large update.
    void on_delivered(const address& peer) { this->comparisons.on_delivered(peer); }

    /// @brief Compares again with a peer whose update was accepted.
    void on_update_accepted(const address& peer) { this->tell(peer, false); }

    /// @brief Tells all peers at once that this node has read a change.
    void on_change_read();

    /// @brief The platform cannot be reached.
    void on_platform_lost();

    /// @brief A large update is arriving: what peers have is most likely in it.
    void on_update_part() noexcept { this->last_part_at = now_monotonic(); }
    void on_update() noexcept { this->last_part_at.reset(); }
    [[nodiscard]] bool is_receiving() const noexcept;

    /// @brief A subscription for what is newer than this node's settings.
    [[nodiscard]] subscription new_request(bool follow);

    /// @brief Asks a peer once for what is newer than this node's settings.
    void ask(const address& peer);
    void ask_random_peer();

    /// @brief Number of the latest request.
    [[nodiscard]] std::uint64_t last_request() const noexcept { return this->last_nonce; }

    /// @brief The peers that told recently that they have the same settings as this node.
    [[nodiscard]] std::vector<address> equal_peers() const;

    /// @brief Whether another node has asked this one to read the platform.
    [[nodiscard]] bool reads_instead() const noexcept { return this->reads_for.has_value(); }

  private:
    void tell(const address& peer, bool read_instead);
    void tell_all();
    void exchange_due();
    void compare_with_random_peer();
    void find_substitutes();
    void begin_reading_for(const address& peer);
    void end_reading_instead();
    [[nodiscard]] bool needs_substitutes() const noexcept;
    [[nodiscard]] std::vector<address> substitute_candidates() const;
    [[nodiscard]] bool reads_platform() const noexcept;
    [[nodiscard]] std::optional<address> random_host();

    const node_context* context;
    const settings_tree* tree;
    const settings_reader* reader;
    std::function<void()> reading_changed;
    random_source random;
    peer_comparisons comparisons;
    std::vector<address> compared_peers;
    bool is_reader = false; // by its position in the relay tree
    std::uint64_t last_nonce = 0;
    std::optional<instant> last_part_at; // of an update that is not complete yet
    std::optional<address> reads_for;    // the peer that asked last
    substitute_search substitutes;
    timer tell_timer;
    timer due_timer;
    timer random_timer;
    timer substitute_timer;
    timer reading_expiry;
};

} // namespace chervilturn
