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
/// A batch holds every leaf that changed up to a revision, so a subtree is never offered half read.
class settings_reader {
  public:
    /// @brief Receives the subtrees of one batch; empty when the platform confirmed that nothing is newer.
    using batch_handler = std::function<void(std::vector<subtree_snapshot>)>;

    settings_reader(const node_context& context, std::unique_ptr<platform> source, batch_handler handler);

    /// @brief Starts to read after a random part of a delay, so that a fleet does not start at once.
    void activate(microseconds longest_delay);
    void deactivate();

    /// @brief Asks the platform anew, for instance after a pause.
    void refresh();

    [[nodiscard]] bool active() const noexcept { return this->running; }

    /// @brief Whether the latest exchange with the platform succeeded.
    [[nodiscard]] bool reached() const noexcept { return this->failures == 0 && this->ever_reached; }

    /// @brief The revision up to which everything was read.
    [[nodiscard]] revision_number revision() const noexcept { return this->complete; }

  private:
    struct batch {
        revision_number revision = 0;
        bool complete = false; // leaves that are not in it do not exist
        std::map<std::string, revision_number> subtree_revisions;
        std::deque<std::string> unread;
        std::vector<leaf> leaves;
    };

    void watch();
    void on_watched(std::uint64_t round, const result<watch_result, platform_error>& watched);
    void read_next(std::uint64_t round);
    void on_read(std::uint64_t round, const result<leaf, platform_error>& read);
    void finish_batch();
    void back_off(const platform_error& error);
    void schedule(microseconds delay);

    const node_context* context;
    std::unique_ptr<platform> source;
    batch_handler handler;
    random_source random;
    timer next;
    bool running = false;
    bool ever_reached = false;
    std::uint32_t failures = 0;    // in a row
    std::uint64_t round = 0;       // replies of earlier rounds are ignored
    std::size_t reads_awaited = 0; // of the current batch
    revision_number complete = 0;
    batch current;
};

} // namespace chervilturn
