// The published settings tree: leaves with revisions, accepted one team subtree at a time.
#pragma once

#include "chervilturn/config/model.hpp"
#include "chervilturn/config/object_reader.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilturn {

/// @brief Revisions come from the platform and only go up within one leaf.
using revision_number = std::uint64_t;

/// @brief One value of the tree, such as "teams/teranga/services/passports".
struct leaf {
    std::string path;
    revision_number revision = 0;
    bool removed = false;
    std::string value; // JSON with comments; empty when removed
};

/// @brief Leaves of one subtree; complete up to a revision.
struct subtree_snapshot {
    std::string subtree; // a team's name, or "hosts"
    revision_number revision = 0;
    bool complete = false; // leaves that are not listed do not exist at the revision
    std::vector<leaf> leaves;
};

/// @brief The revision that a node holds of one subtree.
struct subtree_revision {
    std::string subtree;
    revision_number revision = 0;
};

/// @brief The latest refusal of a subtree's candidate.
struct subtree_rejection {
    revision_number revision = 0;
    settings_error error;
};

/// @brief Outcome of offering one subtree.
enum class offer_outcome { accepted, unchanged, rejected };

/// @brief Name of the subtree that holds the host list.
inline constexpr std::string_view host_subtree = "hosts";

/// @brief The subtree that a path belongs to: the team, or "hosts"; empty for a path outside the tree.
[[nodiscard]] std::string subtree_of(std::string_view path);

/// @brief The revision of a subtree in a digest; 0 when it is not listed.
[[nodiscard]] revision_number revision_of(const std::vector<subtree_revision>& digest,
                                          std::string_view subtree) noexcept;

/// @brief Checks the leaves of one team without accepting them.
[[nodiscard]] result<team, settings_error> check_team(const std::string& name,
                                                      const std::vector<leaf>& leaves);

/// @brief Accepted state of the whole tree. No revision ever falls and no subtree disturbs another.
class settings_tree {
  public:
    /// @brief Merges newer leaves into a subtree and accepts the outcome when it is valid as a whole.
    offer_outcome offer(const subtree_snapshot& offered);

    /// @brief Accepted revisions of all subtrees.
    [[nodiscard]] std::vector<subtree_revision> digest() const;

    /// @brief Accepted leaves newer than a digest; only subtrees whose revision is newer are listed.
    [[nodiscard]] std::vector<subtree_snapshot> newer_than(const std::vector<subtree_revision>& known) const;

    /// @brief The compiled model of everything accepted.
    [[nodiscard]] const std::shared_ptr<const model>& current() const noexcept { return this->compiled; }

    /// @brief Rejected candidates by subtree; an entry goes away when a later candidate is accepted.
    [[nodiscard]] const std::map<std::string, subtree_rejection>& rejections() const noexcept {
        return this->rejected;
    }

  private:
    struct subtree_state {
        revision_number revision = 0;              // accepted; never falls
        std::map<std::string, leaf> accepted;      // valid as a whole
        std::map<std::string, leaf> candidate;     // accepted plus newer leaves not yet valid
        revision_number candidate_revision = 0;    // at least revision
        revision_number deletions_known_since = 0; // deletions before it are not among the leaves
    };

    [[nodiscard]] static bool merge(std::map<std::string, leaf>& leaves, const subtree_snapshot& offered);
    [[nodiscard]] static bool remove_unlisted(std::map<std::string, leaf>& leaves,
                                              const subtree_snapshot& complete);
    [[nodiscard]] bool accept_beside_broken(subtree_state& state, const subtree_snapshot& offered);
    [[nodiscard]] std::optional<settings_error>
    compile(const std::string& subtree, const std::map<std::string, leaf>& leaves, revision_number revision);

    std::map<std::string, subtree_state> subtrees;
    std::map<std::string, subtree_rejection> rejected;
    std::shared_ptr<const model> compiled = std::make_shared<const model>();
};

} // namespace chervilturn
