// Settings of a node: accepts them from the platform and peers, sends them to subscribers, and tracks
// whether they may be stale.
#pragma once

#include "chervilturn/core/random.hpp"
#include "chervilturn/membership/parent_watch.hpp"
#include "chervilturn/membership/relay_tree.hpp"
#include "chervilturn/membership/seed_rotation.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/node/messages.hpp"
#include "chervilturn/node/settings_exchange.hpp"
#include "chervilturn/node/settings_followers.hpp"
#include "chervilturn/node/settings_reader.hpp"

#include <optional>

namespace chervilturn {

/// @brief Owns the settings tree of one node.
class control_task {
  public:
    explicit control_task(const node_context& context);

    /// @brief Starts to fetch settings from the seeds and the platform.
    void start();

  private:
    void handle(const settings_stale& message);
    void handle(const peer_subscribed& message);
    void handle(const part_received& message);
    void handle(const peer_unsubscribed& message);
    void handle(const update_received& message);
    void handle(const update_part_received& message);
    void handle(const peer_reconnected& message);
    void handle(const peer_lost& message);
    void handle(const peer_silent& message);
    void handle(const comparison_received& message);
    void handle(const describe_request& request);

    void on_batch(const std::vector<subtree_snapshot>& batch);
    [[nodiscard]] bool offer_all(const std::vector<subtree_snapshot>& snapshots, const std::string& source);
    void update_gauges();
    void report_unreadable();
    void publish();
    void update_position();
    void update_reading();
    void follow(const address& peer);
    void follow_next_parent();
    void on_parent_unheard(microseconds unheard_for);
    void on_parent_responded();
    void read_without_parent();
    void mark_stale();
    void read_if_empty();
    void ask_seeds_if_empty();
    void ask_next_seed();
    void ask_for_confirmation();
    void confirm(const char* confirmed_by);

    const node_context* context;
    settings_tree tree;
    unreadable_leaves unreadable; // of the tree, as reported
    relay_position position;
    std::size_t parent_index = 0;           // in position.parents, of the parent tried last
    std::optional<address> followed_parent; // empty while there is none or its connection is lost
    bool parent_responded = false;          // an update has arrived from followed_parent
    parent_watch parent_silence;
    settings_followers followers;
    random_source random;
    seed_rotation seeds;
    std::uint64_t stale_nonce = 0; // while stale, a reply with a later nonce confirms the settings
    bool stale = true;             // settings may be outdated and are being confirmed

    settings_reader reader;
    settings_exchange exchange;
    timer fallback_start;
    timer seed_retry;
    timer follow_retry;
    timer own_reading_start; // runs while no parent is heard
    timer stale_expiry;
};

} // namespace chervilturn
