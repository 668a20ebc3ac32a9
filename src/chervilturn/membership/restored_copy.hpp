// Decides which entries of a platform that was restored from a copy are out of date.
#pragma once

#include "chervilturn/core/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace chervilturn {

/// @brief Parameters of restored_copy.
struct restored_copy_options {
    // After a restoration, for publishers to write again what the copy lacks, and for entries that nobody
    // renews to expire.
    microseconds settle_time{};
    std::size_t max_removed = 4096; // removed entries that are remembered
};

/// @brief Remembers the entries of the platform that were confirmed, by the platform's revisions of one era.
///
/// The copy that a platform is restored from lacks its latest writes: it may hold older states of entries and
/// entries that were removed since. These are outdated until the settle time has passed; what is written
/// after the restoration never is.
class restored_copy {
  public:
    explicit restored_copy(const restored_copy_options& copy_options = {}) : options{copy_options} {}

    /// @brief The platform holds an entry that was last written at a revision.
    void on_entry(const std::string& key, std::uint64_t revision);

    /// @brief The platform no longer holds an entry.
    void on_removed(const std::string& key);

    /// @brief The platform was restored. The entries confirmed until now are those of the era before.
    void on_restored(instant now);

    /// @brief Whether an entry of the copy is older than what was confirmed: an earlier write, or a write
    /// whose removal was confirmed. Always false after the settle time.
    [[nodiscard]] bool is_outdated(const std::string& key, std::uint64_t revision, instant now) const;

    /// @brief Whether an entry that the copy lacks was confirmed as present. Always false after the settle
    /// time.
    [[nodiscard]] bool is_missing(const std::string& key, instant now) const;

    [[nodiscard]] bool is_settling(instant now) const noexcept { return now < this->settled_at; }

  private:
    struct entry {
        std::uint64_t revision = 0; // of its last known write
        bool present = false;
    };
    using entry_map = std::map<std::string, entry>;

    void forget_oldest_removed();

    restored_copy_options options;
    entry_map current; // of the present era
    std::set<std::pair<std::uint64_t, std::string>>
        removed;          // keys of `current` that are not present, by revision
    entry_map confirmed;  // of the era before; empty without a restoration
    instant settled_at{}; // end of the settle time
};

} // namespace chervilturn
