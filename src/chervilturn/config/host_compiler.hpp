// Compiles the leaves of the host list.
#pragma once

#include "chervilturn/config/leaf_cache.hpp"
#include "chervilturn/config/model.hpp"

namespace chervilturn {

/// @brief Name of the subtree that contains the host list.
inline constexpr std::string_view host_subtree = "hosts";

/// @brief Hosts by peer address.
using host_map = std::map<address, host>;

/// @brief Validates and compiles the leaves of the host list. A change reads its own leaves only.
class host_compiler {
  public:
    explicit host_compiler(subtree_acceptance leaf_acceptance = subtree_acceptance::whole)
        : acceptance{leaf_acceptance} {}

    /// @brief Applies changes to the leaves compiled last. Returns the list, or the first error if it is not
    /// valid; later changes then apply to the last valid list.
    [[nodiscard]] result<host_map, settings_error> compile(const leaf_changes& changes);

    /// @brief The leaves that cannot be read; none when the list is accepted as a whole.
    [[nodiscard]] const unreadable_leaves& unreadable() const noexcept { return this->leaves.unreadable(); }

  private:
    subtree_acceptance acceptance;
    leaf_cache<std::vector<host>> leaves;
};

} // namespace chervilturn
