// Selection policies behind one interface, the baselines and the default among them.
#pragma once

#include "chervilturn/config/model.hpp"
#include "chervilturn/core/random.hpp"
#include "chervilturn/selection/load_view.hpp"

#include <memory>
#include <span>
#include <string_view>

namespace chervilturn {

/// @brief How far a backend server is from the entry.
enum class distance : std::uint8_t { same_data_centre, same_region, other_region };

/// @brief A backend server that may take the call.
struct candidate {
    std::size_t index = 0; // within the service's backend servers
    distance away = distance::same_data_centre;
    const load_view* view = nullptr;
    bool refused_before = false; // the owner refused this very call for want of room or speed
};

/// @brief What is known of the call before it is sent.
struct call_estimate {
    microseconds service{};             // its usual time at a backend server; zero when not known
    microseconds until_soft_deadline{}; // until an answer loses its full value; zero when not stated
};

/// @brief Picks one of several candidates.
class policy {
  public:
    policy() = default;
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;
    virtual ~policy() = default;

    /// @brief The position of the chosen candidate; candidates is never empty.
    [[nodiscard]] virtual std::size_t pick(std::span<const candidate> candidates, const call_estimate& made,
                                           random_source& random, instant now) = 0;

    /// @brief Whether owners that refused a call for want of room or speed stay candidates for it.
    [[nodiscard]] virtual bool reconsiders_refusals() const noexcept { return false; }

    [[nodiscard]] virtual std::string_view name() const noexcept = 0;
};

/// @brief Every candidate with the same chance.
class uniform_random final : public policy {
  public:
    std::size_t pick(std::span<const candidate> candidates, const call_estimate& made, random_source& random,
                     instant now) override;
    [[nodiscard]] std::string_view name() const noexcept override { return "uniform_random"; }
};

/// @brief One candidate after the other.
class round_robin final : public policy {
  public:
    std::size_t pick(std::span<const candidate> candidates, const call_estimate& made, random_source& random,
                     instant now) override;
    [[nodiscard]] std::string_view name() const noexcept override { return "round_robin"; }

  private:
    std::size_t turn = 0;
};

/// @brief The candidate with the fewest of this entry's own calls.
class least_outstanding final : public policy {
  public:
    std::size_t pick(std::span<const candidate> candidates, const call_estimate& made, random_source& random,
                     instant now) override;
    [[nodiscard]] std::string_view name() const noexcept override { return "least_outstanding"; }
};

/// @brief The better of two random candidates by the last report alone.
class two_choices final : public policy {
  public:
    std::size_t pick(std::span<const candidate> candidates, const call_estimate& made, random_source& random,
                     instant now) override;
    [[nodiscard]] std::string_view name() const noexcept override { return "two_choices"; }
};

/// @brief The better of a few random candidates by expected time: aged report, own calls and latency.
///
/// Nearer candidates win as long as one of them has a free slot; candidates in another region are used
/// only when no nearer one has.
class load_aware final : public policy {
  public:
    std::size_t pick(std::span<const candidate> candidates, const call_estimate& made, random_source& random,
                     instant now) override;
    [[nodiscard]] std::string_view name() const noexcept override { return "load_aware"; }
};

/// @brief The candidate that is expected to answer first: way, wait and work at the host's present pace, with
/// a price for distance, since links between data centres are paid by volume.
class expected_time final : public policy {
  public:
    std::size_t pick(std::span<const candidate> candidates, const call_estimate& made, random_source& random,
                     instant now) override;
    [[nodiscard]] bool reconsiders_refusals() const noexcept override { return true; }
    [[nodiscard]] std::string_view name() const noexcept override { return "expected_time"; }
};

/// @brief Draws one part of a traffic split, each with the chance of its weight. Parts are never empty;
/// without any weight the first is drawn.
[[nodiscard]] const split_part& pick_split_part(std::span<const split_part> parts, random_source& random);

/// @brief Creates a policy by its settings name; null for an unknown name.
[[nodiscard]] std::unique_ptr<policy> make_policy(std::string_view name);

} // namespace chervilturn
