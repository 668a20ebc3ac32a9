// Leaves of the published settings tree and the order of their states.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chervilturn {

/// @brief Order of the changes of a platform; increases with every change of a leaf, also across eras.
using revision_number = std::uint64_t;

/// @brief How a leaf got its state, in the order in which these apply at the same revision of the platform.
enum class revision_rank : std::uint64_t {
    written, // the platform holds it
    kept,    // confirmed before the platform was restored; the restored copy holds an older state
    settled  // of the restored copy, after nobody wrote the newer state again
};

/// @brief Highest era and highest revision of a platform that revision_in_era accepts. A revision of the
/// first era may be higher than that of later ones; a platform that gave it out must not be restored from a
/// copy.
inline constexpr std::uint64_t max_era = (1ULL << 20U) - 1;
inline constexpr std::uint64_t max_platform_revision = (1ULL << 38U) - 1;
inline constexpr std::uint64_t max_first_era_revision = (1ULL << 62U) - 1;

/// @brief The order of a change in an era of the platform. A platform that is restored from a copy begins a
/// new era, in which it gives out revisions again. The first era is 1; 0 stands for a platform without eras.
/// In the first era the order is the platform's revision.
[[nodiscard]] constexpr revision_number
revision_in_era(std::uint64_t era, std::uint64_t platform_revision,
                revision_rank rank = revision_rank::written) noexcept {
    constexpr unsigned rank_bits = 2;
    constexpr unsigned era_shift = 40;
    return era <= 1 ? platform_revision
                    : ((era - 1) << era_shift) |
                          ((platform_revision << rank_bits) | static_cast<std::uint64_t>(rank));
}

/// @brief Number that the publisher of a leaf gives its own versions. A higher one is newer whatever the
/// revision; 0 when the publisher has none, then the revision decides. A version has at least one leaf, which
/// shows it in a snapshot.
using publication_version = std::uint64_t;

/// @brief One entry of the tree, such as "teams/teranga/services/passports".
struct leaf {
    std::string path;
    revision_number revision = 0;
    bool removed = false;            // the leaf was deleted at this revision
    std::string value;               // JSON, may contain comments; empty when removed
    publication_version version = 0; // in which the leaf got this state
};

/// @brief Whether a state of a leaf is newer than another one of the same leaf.
[[nodiscard]] bool is_newer(const leaf& state, const leaf& other) noexcept;

/// @brief Start of the path of every leaf of a team: "teams/NAME/".
inline constexpr std::string_view teams_prefix = "teams/";

} // namespace chervilturn
