// Compiles the leaves of one team to the team's part of the model.
#pragma once

#include "chervilturn/config/leaf_cache.hpp"
#include "chervilturn/config/model.hpp"

#include <memory>
#include <variant>
#include <vector>

namespace chervilturn {

/// @brief A backend server defined by its own leaf, so that adding or removing it does not change the
/// service's leaf.
struct server_leaf {
    std::string service;
    backend_server server;
};

/// @brief Validates and compiles the leaves of one team. The work for a change of a route grows with the
/// changed routes and a copy of the table's pointers, for any other change with the leaves of its kind.
///
/// When each leaf is accepted alone, a route that cannot be read and has no earlier content is compiled
/// without a service if its host and prefix can be read: its calls are rejected, and no route with a shorter
/// prefix takes them.
class team_compiler {
  public:
    explicit team_compiler(subtree_acceptance leaf_acceptance = subtree_acceptance::whole)
        : acceptance{leaf_acceptance} {}

    /// @brief Applies changes to the leaves of the team compiled last. Returns the new team, or the first
    /// error if it is not valid; later changes then apply to the last valid team. Always succeeds when each
    /// leaf is accepted alone.
    [[nodiscard]] result<team, settings_error> compile(const std::string& name, const leaf_changes& changes);

    /// @brief The leaves that cannot be read, and the routes to a service that the team does not have. None
    /// when the team is accepted as a whole.
    [[nodiscard]] unreadable_leaves unreadable() const;

    /// @brief Number of leaves read so far.
    [[nodiscard]] std::uint64_t leaves_read() const noexcept { return this->leaves.leaves_read(); }

  private:
    using leaf_content = std::variant<service, workspace, std::shared_ptr<const route>, server_leaf,
                                      caller_limits, data_centre>;

    [[nodiscard]] static result<leaf_content, settings_error> read(const std::string& team_name,
                                                                   const leaf& source);
    // Stands in for a leaf that cannot be read; nothing when none can.
    [[nodiscard]] static std::optional<leaf_content> stand_in_for(const std::string& team_name,
                                                                  const leaf& source);
    [[nodiscard]] team compile_each(const std::string& name, const leaf_changes& changes);
    // Whether routes of a team may lead to services that they did not lead to in the last valid one.
    [[nodiscard]] bool may_break_references(const team& next) const;
    // The team of the present leaves; shares with the last valid team what no changed leaf is part of.
    [[nodiscard]] team assemble(const std::string& name) const;
    void assemble_services(team& target) const;
    [[nodiscard]] std::shared_ptr<const route_table>
    assemble_routes(const std::string& team_name, const std::vector<std::string>& changed_names) const;

    subtree_acceptance acceptance;
    leaf_cache<leaf_content> leaves;
    team last_valid;
    unreadable_leaves broken_references; // routes to a service that the last valid team does not have
};

/// @brief Validates and compiles the leaves of one team once; returns the first error if they are not valid.
[[nodiscard]] result<team, settings_error> check_team(const std::string& name,
                                                      const std::vector<leaf>& leaves);

} // namespace chervilturn
