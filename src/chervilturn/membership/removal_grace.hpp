// Decides when a host whose entry disappeared is taken as gone. Entries also lapse because the platform, not
// the host, was in trouble; those come back soon after the platform does.
#pragma once

#include "chervilturn/core/time.hpp"

#include <map>
#include <string>
#include <vector>

namespace chervilturn {

/// @brief Construction of a removal hold.
struct removal_grace_options {
    microseconds grace_period = std::chrono::milliseconds{2300}; // in which lapsed entries come back
};

/// @brief Removals seen while the platform recovers wait until lapsed entries would be back.
class removal_grace {
  public:
    explicit removal_grace(const removal_grace_options& given = {}) : options{given} {}

    void on_platform_failed() noexcept { this->failing = true; }

    /// @brief The platform answered; the first time after a failure begins the recovery.
    void on_platform_answered(instant now) noexcept;

    /// @brief An entry disappeared; true when it is taken as gone at once.
    [[nodiscard]] bool on_removed(const std::string& name, instant now);

    /// @brief An entry is there, so that nothing is held for it.
    void on_present(const std::string& name) { this->held.erase(name); }

    /// @brief Takes out the entries whose time is up: they are gone.
    [[nodiscard]] std::vector<std::string> take_due(instant now);

    [[nodiscard]] std::size_t waiting() const noexcept { return this->held.size(); }

  private:
    removal_grace_options options;
    bool failing = false;
    instant recovered_until{}; // removals before it wait
    std::map<std::string, instant> held;
};

} // namespace chervilturn
