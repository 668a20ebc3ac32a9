// Baseline service time of each route at an unloaded backend server.
#pragma once

#include "chervilturn/core/time.hpp"

#include <functional>
#include <map>
#include <string>

namespace chervilturn {

/// @brief Estimates the baseline service time of each route. Shorter samples weigh more than longer ones, so
/// that slow hosts and slow periods stand out against the baseline.
class baseline_times {
  public:
    /// @brief Adds the service time of one answer. It is divided by the slowdown that the host reported (in
    /// percent, at least 100).
    void learn(const std::string& route, microseconds service_time, std::uint32_t slowdown_percent);

    /// @brief Returns the baseline of a route; zero before its first answer.
    [[nodiscard]] microseconds of(const std::string& route) const;

    /// @brief Removes the routes for which exists returns false.
    void retain(const std::function<bool(const std::string&)>& exists);

  private:
    std::map<std::string, double> micros; // baseline by route, in microseconds
};

} // namespace chervilturn
