// Compiles the leaves of one team to the team's part of the model.
#pragma once

#include "chervilturn/config/leaf.hpp"
#include "chervilturn/config/model.hpp"
#include "chervilturn/config/object_reader.hpp"

#include <map>
#include <variant>
#include <vector>

namespace chervilturn {

/// @brief A backend server defined by its own leaf, so that adding or removing it does not change the
/// service's leaf.
struct server_leaf {
    std::string service;
    backend_server server;
};

/// @brief Validates and compiles the leaves of one team. Keeps what it read from each leaf: a leaf whose
/// value did not change since the last call is not read again.
class team_compiler {
  public:
    /// @brief Returns the team, or the first error if the leaves are not valid. Ignores removed leaves.
    [[nodiscard]] result<team, settings_error> compile(const std::string& name,
                                                       const std::map<std::string, leaf>& leaves);

    /// @brief Number of leaves read so far.
    [[nodiscard]] std::uint64_t leaves_read() const noexcept { return this->read_count; }

  private:
    using leaf_content = std::variant<service, workspace, route, server_leaf, caller_limits, data_centre>;

    struct read_leaf {
        std::string value;
        leaf_content content; // of a valid leaf with this value
    };

    [[nodiscard]] result<const leaf_content*, settings_error> content_of(const std::string& team_name,
                                                                         const leaf& source);
    void forget_absent(const std::map<std::string, leaf>& leaves);

    std::map<std::string, read_leaf> read_leaves; // by path
    std::uint64_t read_count = 0;
};

/// @brief Validates and compiles the leaves of one team once; returns the first error if they are not valid.
[[nodiscard]] result<team, settings_error> check_team(const std::string& name,
                                                      const std::vector<leaf>& leaves);

} // namespace chervilturn
