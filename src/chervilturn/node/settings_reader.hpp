// Reads changed leaves from the platform, in whole batches, with back-off and jitter.
#pragma once

#include "chervilturn/core/random.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/node/platform.hpp"

#include <deque>
#include <map>

namespace chervilturn {

/// @brief Watches the platform while it is active.
///
/// A batch holds every leaf that changed up to one revision. It is handed over only when all of its leaves
/// are read, so the receiver never sees a part of a subtree's changes.
class settings_reader {
  public:
    /// @brief Receives the subtrees of one batch; empty when the platform confirmed that nothing is newer.
    using batch_handler = std::function<void(std::vector<subtree_snapshot>)>;

    /// @brief Without a platform (null) the reader never becomes active. The handler offers each batch to the
    /// tree, which is compared with the platform after it.
    settings_reader(const node_context& context, std::unique_ptr<platform> watched_platform,
                    const settings_tree& tree, batch_handler handler);

    /// @brief Sets a handler that is called when the platform cannot be reached: at the first failure after a
    /// success or an activation, or when a response is overdue.
    void on_platform_lost(std::function<void()> new_handler) { this->lost_handler = std::move(new_handler); }

    /// @brief Starts to watch after a random delay between zero and max_delay, so that the nodes of a fleet
    /// do not all start at once. Does nothing while it is active.
    void activate(microseconds max_delay);

    /// @brief Stops watching and ignores the replies that are still expected.
    void deactivate();

    /// @brief Abandons the current request and sends a new one at once, for instance after a pause of the
    /// process. Does nothing while it is not active.
    void refresh();

    [[nodiscard]] bool active() const noexcept { return this->is_active; }

    /// @brief Whether a batch was read since the activation and no request to the platform has failed or is
    /// overdue.
    [[nodiscard]] bool platform_reachable() const noexcept {
        return this->failures == 0 && this->succeeded_since_activation && !this->is_overdue;
    }

    /// @brief The revision up to which all changes were read; 0 before the first batch.
    [[nodiscard]] revision_number revision() const noexcept { return this->last_read_revision; }

  private:
    struct batch {
        revision_number revision = 0;
        bool complete = false;    // the batch lists every leaf; any other leaf does not exist
        std::uint64_t number = 0; // of the platform's result
        std::map<std::string, revision_number> subtree_revisions; // newest change of each subtree
        std::deque<std::string> unread;                           // paths
        std::vector<leaf> leaves;
    };

    void watch();
    void on_watched(std::uint64_t reply_round, const result<watch_result, platform_error>& response);
    void read_next_leaf(std::uint64_t reply_round);
    void on_leaf_read(std::uint64_t reply_round, const result<leaf, platform_error>& response);
    void finish_batch();
    void reconcile();
    // Ignores the replies that are still expected.
    void abandon_request();
    void on_overdue();
    void back_off(const platform_error& error);
    void schedule(microseconds delay);

    const node_context* context;
    std::unique_ptr<platform> platform_client; // may be null
    const settings_tree* tree;
    batch_handler handler;
    std::function<void()> lost_handler; // may be empty
    random_source random;
    timer watch_timer;
    timer overdue_timer; // runs while a response is expected
    bool is_overdue = false;
    bool is_active = false;
    bool succeeded_since_activation = false;
    std::uint32_t failures = 0;    // in a row
    std::uint64_t round = 0;       // number of the current watch request; replies of earlier ones are ignored
    std::size_t pending_reads = 0; // leaves of the current batch that are not read yet
    revision_number last_read_revision = 0;
    batch current;
};

} // namespace chervilturn
