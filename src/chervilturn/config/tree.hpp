// The published settings tree: leaves with revisions, validated and accepted one subtree at a time.
#pragma once

#include "chervilturn/config/host_compiler.hpp"
#include "chervilturn/config/leaf_cache.hpp"
#include "chervilturn/config/model.hpp"
#include "chervilturn/config/team_compiler.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilturn {

/// @brief Leaves of one subtree at a revision: all of them, or only the changed ones.
struct subtree_snapshot {
    std::string subtree; // a team's name, or "hosts"
    revision_number revision = 0;
    bool complete = false; // leaves that are not listed do not exist at this revision
    std::vector<leaf> leaves;
};

/// @brief Accepted revision of one subtree at a node.
struct subtree_revision {
    std::string subtree;
    revision_number revision = 0;
    publication_version version = 0; // highest of the accepted leaves
    // Hash of the paths and values of the accepted leaves that exist; 0 from nodes of older versions.
    std::uint64_t content = 0;

    [[nodiscard]] bool operator==(const subtree_revision&) const = default;
};

/// @brief Hash of the path and value of a leaf; 0 when it is removed. Combined by XOR, these are the content
/// of a subtree.
[[nodiscard]] std::uint64_t content_of(const leaf& state) noexcept;

/// @brief Whether a node with a revision of a subtree lacks something that a node with another one may have.
[[nodiscard]] bool may_lack(const subtree_revision& known, const subtree_revision& other) noexcept;

/// @brief Whether two nodes with the same revision and version of a subtree have different leaves.
[[nodiscard]] bool differs_in_content(const subtree_revision& known, const subtree_revision& other) noexcept;

/// @brief Hash of a digest: nodes with the same one have the same settings.
[[nodiscard]] std::uint64_t digest_hash(const std::vector<subtree_revision>& digest);

/// @brief Last rejection of a subtree: the candidate's revision and the validation error.
struct subtree_rejection {
    revision_number revision = 0;
    settings_error error;
};

/// @brief Result of offering a snapshot of one subtree.
enum class offer_outcome { accepted, unchanged, rejected };

/// @brief Returns the subtree of a path: the team's name, or "hosts"; empty for a path outside the tree.
[[nodiscard]] std::string subtree_of(std::string_view path);

/// @brief Returns the entry of a subtree in a digest; one with revision 0 when it is not listed.
[[nodiscard]] subtree_revision entry_of(const std::vector<subtree_revision>& digest,
                                        std::string_view subtree);

/// @brief Returns the revision of a subtree in a digest; 0 when it is not listed.
[[nodiscard]] revision_number revision_of(const std::vector<subtree_revision>& digest,
                                          std::string_view subtree);

/// @brief Accepted state of the whole tree. Accepted revisions and the versions of leaves never decrease, and
/// a rejected subtree does not affect the others.
///
/// When each leaf is accepted alone, also one that cannot be read is part of the accepted state, so that
/// nodes agree on the settings and pass them on, whatever each of them can read. Only the compiled model
/// lacks it.
class settings_tree {
  public:
    settings_tree() : settings_tree{subtree_acceptance::whole} {}
    explicit settings_tree(subtree_acceptance leaf_acceptance)
        : acceptance{leaf_acceptance}, hosts{leaf_acceptance} {}
    settings_tree(const settings_tree&) = delete; // states refer to their own leaves
    settings_tree& operator=(const settings_tree&) = delete;
    settings_tree(settings_tree&&) = default;
    settings_tree& operator=(settings_tree&&) = default;
    ~settings_tree() = default;

    /// @brief Merges the snapshot's newer leaves into the subtree's candidate and accepts the candidate if it
    /// is valid as a whole. Otherwise accepts the snapshot if it is newer than the accepted leaves and valid
    /// together with them.
    offer_outcome offer(const subtree_snapshot& snapshot);

    /// @brief Accepted revisions of all subtrees that have one.
    [[nodiscard]] std::vector<subtree_revision> digest() const;

    /// @brief Returns the accepted leaves that are newer than a digest, as one snapshot per newer subtree. A
    /// snapshot is complete when the digest's revision is too old for a list of changes. A receiver with the
    /// same revision and other content gets all leaves.
    [[nodiscard]] std::vector<subtree_snapshot> newer_than(const std::vector<subtree_revision>& known) const;

    /// @brief Number of the latest change that this node accepted.
    [[nodiscard]] std::uint64_t latest_change() const noexcept { return this->last_change; }

    /// @brief Returns the leaves accepted after a change, as one snapshot per changed subtree, whatever their
    /// revisions: also those that came later than others with a higher revision.
    [[nodiscard]] std::vector<subtree_snapshot> accepted_since(std::uint64_t change) const;

    /// @brief The newest state of a leaf that was offered, accepted or not; null when there was none.
    [[nodiscard]] const leaf* offered(const std::string& path) const;

    /// @brief The newest offered states of a subtree's leaves, without the removed ones.
    [[nodiscard]] std::vector<const leaf*> offered_leaves(const std::string& subtree) const;

    /// @brief The content of offered_leaves().
    [[nodiscard]] std::uint64_t offered_content(const std::string& subtree) const;

    /// @brief The compiled model of all accepted subtrees; never null.
    [[nodiscard]] const std::shared_ptr<const model>& current() const noexcept { return this->compiled; }

    /// @brief Leaves of the accepted state that cannot be read; none when subtrees are accepted as a whole.
    [[nodiscard]] unreadable_leaves unreadable() const;

    /// @brief Last rejection by subtree; removed when a later candidate of the subtree is accepted.
    [[nodiscard]] const std::map<std::string, subtree_rejection>& rejections() const noexcept {
        return this->rejected;
    }

  private:
    struct accepted_leaf {
        leaf state;
        std::uint64_t change = 0; // that it was accepted with; of one leaf only
        std::uint64_t hash = 0;   // content_of(state)
    };
    struct subtree_state {
        revision_number revision = 0;                  // accepted; never decreases
        publication_version version = 0;               // highest of the accepted leaves; never decreases
        std::map<std::string, accepted_leaf> accepted; // valid as a whole
        std::map<std::uint64_t, const accepted_leaf*> by_change; // the accepted leaves
        std::uint64_t latest_change = 0;                         // of a leaf or of the revision
        std::uint64_t content = 0;                               // the accepted leaves' hashes, combined
        leaf_changes not_accepted;              // newer leaves; with the accepted ones they are the candidate
        revision_number candidate_revision = 0; // at least revision
        revision_number tombstones_since = 0;   // earlier deletions may have no removed leaf
    };

    void accept(subtree_state& state, leaf_changes&& changes, revision_number revision);
    // The leaf of a path after changes of the accepted leaves; null when there is none.
    [[nodiscard]] static const leaf* find_leaf(const subtree_state& state, const leaf_changes& changes,
                                               const std::string& path);
    // Whether a leaf that does not exist in the state is known to be outdated: an accepted complete snapshot
    // of a later revision did not list it.
    [[nodiscard]] static bool is_known_absent(const subtree_state& state, const leaf& incoming) noexcept;
    // Adds the snapshot's newer leaves to changes of the accepted leaves.
    [[nodiscard]] static bool merge(const subtree_state& state, leaf_changes& changes,
                                    const subtree_snapshot& snapshot);
    [[nodiscard]] static bool remove_unlisted(const subtree_state& state, leaf_changes& changes,
                                              const subtree_snapshot& complete);
    [[nodiscard]] bool accept_despite_rejected_candidate(subtree_state& state,
                                                         const subtree_snapshot& snapshot);
    // Compiles changes of a subtree's accepted leaves into a new current model; returns the error and keeps
    // the model if the result is not valid.
    [[nodiscard]] std::optional<settings_error>
    compile(const std::string& subtree, const leaf_changes& changes, revision_number revision);

    subtree_acceptance acceptance;
    std::map<std::string, subtree_state> states;
    std::uint64_t last_change = 0;
    std::map<std::string, team_compiler> teams; // by name
    host_compiler hosts;
    std::map<std::string, subtree_rejection> rejected;
    std::shared_ptr<const model> compiled = std::make_shared<const model>();
};

} // namespace chervilturn
