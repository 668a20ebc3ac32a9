// Homes of idempotency keys, now and in the recent past. The home of a key is the one owner that may run it;
// all calls with the key go there.
#pragma once

#include "chervilturn/call/call.hpp"
#include "chervilturn/config/model.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilturn {

/// @brief The time on both clocks at one moment.
struct clock_reading {
    instant monotonic{};
    wall_time wall{};
};

/// @brief An owner that may be the home of keys.
struct home_candidate {
    address node; // peer address of the owner
    std::string region;

    bool operator==(const home_candidate&) const = default;
};

/// @brief Owners of a service whose data centre is in service, whose host is not leaving and whose region the
/// service allows. Reachability does not matter.
[[nodiscard]] std::vector<home_candidate> home_candidates(const model& settings, const team& owning_team,
                                                          const service& target);

/// @brief The home of a key: the candidate with the highest rendezvous weight among those in the regions.
/// Nothing when there is no such candidate.
[[nodiscard]] std::optional<address> key_home(const std::vector<home_candidate>& candidates,
                                              const region_set& regions, const std::string& key);

/// @brief How long this owner has been the home of a key, and which owners may have run the key before.
struct home_period {
    clock_reading since;                // start of the uninterrupted period with this owner as home
    clock_reading known_since;          // earlier homes are recorded from this moment on
    std::vector<address> earlier_homes; // other recorded homes of the key
    std::vector<address> other_owners;  // of the service, in the regions; they may have older settings
};

/// @brief All owners of a service, including those out of service.
[[nodiscard]] std::vector<home_candidate> service_owners(const model& settings, const service& target);

/// @brief Present and past candidate sets of one service, as this owner accepted them.
class home_history {
  public:
    /// @brief Records the candidates if they differ from the latest ones, and replaces the list of all
    /// owners.
    void record_candidates(const std::vector<home_candidate>& candidates, std::vector<home_candidate> owners,
                           const clock_reading& now);

    /// @brief The period for which a node has been the home of a key. The node must be the home under the
    /// latest candidates, and candidates must have been recorded.
    [[nodiscard]] home_period period(const region_set& regions, const std::string& key,
                                     const address& self) const;

    /// @brief Removes candidate sets that were replaced before an instant.
    void expire(instant before);

    /// @brief Removes all candidate sets but the latest, which counts from now on.
    void restart(const clock_reading& now);

  private:
    struct candidate_set {
        clock_reading since;
        std::vector<home_candidate> candidates;
    };

    std::deque<candidate_set> candidate_sets; // oldest first
    std::vector<home_candidate> all_owners;   // of the service, in the latest settings
};

/// @brief Times at which the home regions of workspaces and routes last changed.
///
/// After a change, a key may have run at an earlier home outside its present regions. That home must not be
/// asked, because a key must not leave its regions. The earlier homes of the key therefore count as unknown
/// for the time before the change is in force everywhere.
class binding_history {
  public:
    /// @brief Records the present regions of a workspace or route.
    void record_regions(const std::string& name, const region_set& regions, const clock_reading& now);

    /// @brief Raises known_since of a period to the moment when the latest change of the workspace or route
    /// is in force everywhere. No effect without a change.
    void raise_known_since(home_period& period, const std::string& name) const;

  private:
    struct binding {
        region_set regions;
        // When the latest change is in force everywhere; empty without a change.
        std::optional<clock_reading> converged_at;
    };

    std::map<std::string, binding> bindings; // by name of the workspace or route
};

} // namespace chervilturn
