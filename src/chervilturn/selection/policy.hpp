// Interface of the selection policies and its implementations.
#pragma once

#include "chervilturn/config/model.hpp"
#include "chervilturn/core/random.hpp"
#include "chervilturn/selection/load_view.hpp"

#include <memory>
#include <span>
#include <string_view>

namespace chervilturn {

/// @brief Network distance between an entry and a backend server.
enum class distance : std::uint8_t { same_data_centre, same_region, other_region };

/// @brief A backend server that may receive the call.
struct candidate {
    std::size_t index = 0; // position in service::backend_servers
    distance distance_from_entry = distance::same_data_centre;
    const load_view* view = nullptr;
    bool refused_before = false; // the owner refused this call because it was full or too slow
    double acceptance = 1.0;     // share of recent offers at this distance that owners accepted; above 0
};

/// @brief Time estimates of a call before it is sent.
struct call_estimate {
    microseconds service_time{};        // baseline service time; zero: unknown
    microseconds until_soft_deadline{}; // time until an answer loses value; zero: no soft deadline
};

/// @brief Interface of the selection policies.
class policy {
  public:
    policy() = default;
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;
    virtual ~policy() = default;

    /// @brief Returns the position of the chosen candidate; candidates must not be empty.
    [[nodiscard]] virtual std::size_t pick(std::span<const candidate> candidates,
                                           const call_estimate& estimate, random_source& random,
                                           instant now) = 0;

    /// @brief Whether a call may be sent again to owners that were full or too slow for it before.
    [[nodiscard]] virtual bool reconsiders_refusals() const noexcept { return false; }

    [[nodiscard]] virtual std::string_view name() const noexcept = 0;
};

/// @brief Picks a candidate at random, all with the same probability.
class uniform_random final : public policy {
  public:
    std::size_t pick(std::span<const candidate> candidates, const call_estimate& estimate,
                     random_source& random, instant now) override;
    [[nodiscard]] std::string_view name() const noexcept override { return "uniform_random"; }
};

/// @brief Picks the candidates in turn.
class round_robin final : public policy {
  public:
    std::size_t pick(std::span<const candidate> candidates, const call_estimate& estimate,
                     random_source& random, instant now) override;
    [[nodiscard]] std::string_view name() const noexcept override { return "round_robin"; }

  private:
    std::size_t next_position = 0;
};

/// @brief Picks the candidate with the fewest calls in progress from this entry.
class least_outstanding final : public policy {
  public:
    std::size_t pick(std::span<const candidate> candidates, const call_estimate& estimate,
                     random_source& random, instant now) override;
    [[nodiscard]] std::string_view name() const noexcept override { return "least_outstanding"; }
};

/// @brief Picks the less loaded of two random candidates, by their last load reports only. Both draws may
/// give the same candidate.
class two_choices final : public policy {
  public:
    std::size_t pick(std::span<const candidate> candidates, const call_estimate& estimate,
                     random_source& random, instant now) override;
    [[nodiscard]] std::string_view name() const noexcept override { return "two_choices"; }
};

/// @brief Picks the best of a few random candidates by estimated load and smoothed latency.
///
/// Draws from the nearest group of candidates (data centre, region, other regions) that has a free slot; from
/// all candidates when none has one.
class load_aware final : public policy {
  public:
    std::size_t pick(std::span<const candidate> candidates, const call_estimate& estimate,
                     random_source& random, instant now) override;
    [[nodiscard]] std::string_view name() const noexcept override { return "load_aware"; }
};

/// @brief Picks the candidate with the shortest expected response time: round trip, wait for a slot or for
/// room in the rate limits, and service time at the host's current slowdown, plus costs for utilisation,
/// distance and recent failures. Distance has a cost because traffic between data centres is billed by
/// volume.
class expected_time final : public policy {
  public:
    std::size_t pick(std::span<const candidate> candidates, const call_estimate& estimate,
                     random_source& random, instant now) override;
    [[nodiscard]] bool reconsiders_refusals() const noexcept override { return true; }
    [[nodiscard]] std::string_view name() const noexcept override { return "expected_time"; }
};

/// @brief Picks a part of a traffic split at random, in proportion to the weights. parts must not be empty;
/// returns the first part when all weights are zero.
[[nodiscard]] const split_part& pick_split_part(std::span<const split_part> parts, random_source& random);

/// @brief Creates a policy by its name in the settings; null for an unknown name.
[[nodiscard]] std::unique_ptr<policy> make_policy(std::string_view name);

} // namespace chervilturn
