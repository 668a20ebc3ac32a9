// Control: accepted settings, where they are learnt from, who learns them from this node, and doubts.
#pragma once

#include "chervilturn/core/random.hpp"
#include "chervilturn/membership/relay_tree.hpp"
#include "chervilturn/membership/seed_rotation.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/node/messages.hpp"
#include "chervilturn/node/settings_reader.hpp"

#include <map>
#include <optional>

namespace chervilturn {

/// @brief Owns the settings tree of one node.
class control_task {
  public:
    explicit control_task(const node_context& context);

    /// @brief Starts to learn settings from seeds and platform.
    void start();

  private:
    struct subscriber {
        std::vector<subtree_revision> known;
    };

    void handle(const settings_stale& message);
    void handle(const peer_subscribed& message);
    void handle(const peer_unsubscribed& message);
    void handle(const update_received& message);
    void handle(const peer_lost& message);
    void handle(const describe_request& request);

    void on_batch(const std::vector<subtree_snapshot>& batch);
    [[nodiscard]] bool offer_all(const std::vector<subtree_snapshot>& offered, const std::string& source);
    void show_confirmed();
    void publish();
    void push_to_subscribers();
    void take_place();
    void follow(const address& peer);
    void follow_next_parent();
    void ask_once(const address& peer);
    void ask_random_peer();
    void mark_stale();
    void read_if_ignorant();
    void ask_seeds_if_ignorant();
    void ask_next_seed();
    void ask_for_confirmation();
    void confirm(const char* by);
    [[nodiscard]] std::optional<address> random_host();
    [[nodiscard]] bool is_ahead(const std::vector<subtree_revision>& theirs) const;

    const node_context* context;
    settings_tree tree;
    relay_position position;
    std::size_t parent = 0; // index of the followed parent
    std::optional<address> followed;
    bool parent_heard = false;                       // since it is followed
    std::map<std::uint64_t, subscriber> subscribers; // by number of the connection
    random_source random;
    seed_rotation seeds;
    std::uint64_t nonces = 0;
    std::uint64_t stale_nonce = 0; // replies to later nonces confirm; meaningful while in doubt
    bool stale = true;

    settings_reader reader;
    timer anti_entropy;
    timer fallback_start;
    timer seed_retry;
    timer follow_retry;
    timer doubt_expiry;
};

} // namespace chervilturn
