// Which owner is home of an idempotency key, now and in the recent past.
#pragma once

#include "chervilturn/call/call.hpp"
#include "chervilturn/config/model.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilturn {

/// @brief Both clocks at one moment.
struct clock_reading {
    instant monotonic{};
    wall_time wall{};
};

/// @brief A backend server that may be home of keys.
struct home_candidate {
    address node;
    std::string region;

    bool operator==(const home_candidate&) const = default;
};

/// @brief Backend servers of a service that settings and host list leave in service, alive or not.
[[nodiscard]] std::vector<home_candidate> home_candidates(const model& settings, const team& owner,
                                                          const service& target);

/// @brief The home of a key by rendezvous over the candidates that the regions admit; nothing without any.
[[nodiscard]] std::optional<address> key_home(const std::vector<home_candidate>& candidates,
                                              const region_set& regions, const std::string& key);

/// @brief Since when this owner is a key's home, and who was before.
struct home_period {
    clock_reading since;          // this owner is home without interruption
    clock_reading known_since;    // homes before this moment are not known
    std::vector<address> earlier; // homes known to have been before it
    std::vector<address> members; // other owners within the regions, which may hold older settings
};

/// @brief All owners of a service, in service or not.
[[nodiscard]] std::vector<home_candidate> service_owners(const model& settings, const service& target);

/// @brief Past candidate sets of one service as this owner accepted them.
class home_history {
  public:
    /// @brief Notes the candidates in force, of which only changes are kept, and all owners of the service.
    void observe(const std::vector<home_candidate>& candidates, std::vector<home_candidate> owners,
                 const clock_reading& now);

    /// @brief Since when a node is home of a key; it must be the home under the latest candidates.
    [[nodiscard]] home_period period(const region_set& regions, const std::string& key,
                                     const address& self) const;

    /// @brief Forgets candidates that were replaced before an instant.
    void expire(instant before);

    /// @brief Forgets everything but the latest candidates, which count from now on.
    void restart(const clock_reading& now);

  private:
    struct observed_set {
        clock_reading since;
        std::vector<home_candidate> candidates;
    };

    std::deque<observed_set> sets;       // oldest first
    std::vector<home_candidate> members; // owners of the service in the latest settings
};

/// @brief When home regions of workspaces and routes last changed.
///
/// A key whose binding changed may have run at a home that its present regions do not admit. That home is
/// not asked, since the key must not leave its regions, so homes are unknown until the change has settled.
class binding_history {
  public:
    /// @brief Notes the regions in force of a workspace or route.
    void observe(const std::string& name, const region_set& regions, const clock_reading& now);

    /// @brief Moves the start of what is known in a period behind the latest change.
    void limit(home_period& period, const std::string& name) const;

  private:
    struct binding {
        region_set regions;
        std::optional<clock_reading> settled; // nothing while the first regions observed are in force
    };

    std::map<std::string, binding> bindings;
};

} // namespace chervilturn
