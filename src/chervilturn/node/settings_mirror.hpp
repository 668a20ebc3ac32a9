// The state of a platform's leaves as read last, for platforms that number their changes but not those of
// each leaf.
#pragma once

#include "chervilturn/node/platform.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chervilturn {

/// @brief Up to where a platform was read.
struct read_position {
    revision_number revision = 0;
    publication_version version = 0; // of the publisher whose leaves have versions; 0 without one
};

/// @brief Mirrors a platform's leaves. A leaf that changes is reported in every result until one that reports
/// it is confirmed.
///
/// A leaf keeps its revision as long as its value is the same, so the mirror needs every state of a leaf, in
/// their order: one that was skipped may be held by other nodes. reconcile() finds what was missed all the
/// same.
class settings_mirror {
  public:
    /// @brief The present state of a leaf; null when there never was one.
    [[nodiscard]] const leaf* find(const std::string& path) const;

    /// @brief Sets the state of a leaf that exists, unless its value is the same.
    void put(leaf state);

    /// @brief Sets the state of a leaf that exists, as newer than its present one also with the same value.
    void put_again(leaf state);

    void remove(const std::string& path, revision_number revision, publication_version version);

    /// @brief Raises the revision of a leaf that has a lower one.
    void renew(const std::string& path, revision_number revision);

    /// @brief Compares settings with the mirror and raises the position of every leaf that differs and is not
    /// newer there, so that the next result states it again. Leaves the excepted paths out. Returns the
    /// number of these leaves.
    [[nodiscard]] std::size_t reconcile(const settings_tree& held, const read_position& read_until,
                                        const std::set<std::string>& excepted);

    /// @brief The changes that are not confirmed, for the result with a number; with all, every leaf that
    /// exists as well.
    [[nodiscard]] std::vector<changed_leaf> report(std::uint64_t number, bool all);

    /// @brief What the results up to a number reported has been read.
    void confirm(std::uint64_t number);

    /// @brief Whether a leaf changed that no result has reported.
    [[nodiscard]] bool has_unreported() const noexcept;

  private:
    void set(leaf&& state);
    [[nodiscard]] std::vector<leaf> differences(const std::string& subtree, const settings_tree& held,
                                                const read_position& read_until) const;

    std::map<std::string, leaf> leaves;            // by path; removed ones stay, to report their removal
    std::map<std::string, std::uint64_t> contents; // by subtree, of the leaves that exist: see content_of()
    // Paths of changed leaves, with the number of the latest result that reported them; 0 before the first.
    std::map<std::string, std::uint64_t> unconfirmed;
};

} // namespace chervilturn
