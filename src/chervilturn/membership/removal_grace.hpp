// Decides when a backend server whose registration in the platform disappeared counts as removed.
// Registrations also expire when the platform, not the server, has failed; these reappear soon after the
// platform has recovered.
#pragma once

#include "chervilturn/core/time.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilturn {

/// @brief Parameters of removal_grace.
struct removal_grace_options {
    microseconds grace_period = std::chrono::milliseconds{2300}; // expired registrations reappear within it
};

/// @brief Delays removals for a grace period after the platform has recovered from a failure. A pending
/// removal waits for the platform while that fails again, and for a whole period from its next answer.
class removal_grace {
  public:
    explicit removal_grace(const removal_grace_options& grace_options = {}) : options{grace_options} {}

    /// @brief The platform could not be reached, or did not serve. A single lost call is no such failure if
    /// the next one is answered.
    void on_platform_failed() noexcept { this->failing = true; }

    /// @brief The platform answered. The first answer after a failure starts the grace period.
    void on_platform_answered(instant now);

    /// @brief A registration disappeared. Returns true when it counts as removed immediately, false when the
    /// removal is pending until the grace period ends.
    [[nodiscard]] bool on_removed(const std::string& name, instant now);

    /// @brief A registration is present: cancels its pending removal.
    void on_present(const std::string& name) { this->pending.erase(name); }

    /// @brief Removes and returns the names whose grace period has ended; they count as removed. None while
    /// the platform fails.
    [[nodiscard]] std::vector<std::string> take_expired(instant now);

    /// @brief When the first pending removal counts; nothing when there is none, or while the platform fails.
    [[nodiscard]] std::optional<instant> next_expiry() const;

    /// @brief Names of the pending removals.
    [[nodiscard]] std::vector<std::string> pending_names() const;

    /// @brief Number of pending removals.
    [[nodiscard]] std::size_t pending_count() const noexcept { return this->pending.size(); }

  private:
    removal_grace_options options;
    bool failing = false;
    instant grace_until{};                  // end of the grace period; removals before it are delayed
    std::map<std::string, instant> pending; // end of the grace period by name
};

} // namespace chervilturn
