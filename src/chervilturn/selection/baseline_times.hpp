// How long work of each route usually takes at a backend server.
#pragma once

#include "chervilturn/core/time.hpp"

#include <functional>
#include <map>
#include <string>

namespace chervilturn {

/// @brief Learns usual service times. They lean to the shorter answers, so that slow hosts and spells stay
/// visible against them.
class baseline_times {
  public:
    /// @brief An answer took so long on a host at so many percent of its usual times.
    void learn(const std::string& route, microseconds service_time, std::uint32_t slowdown_percent);

    /// @brief The usual time of a route; zero before its first answer.
    [[nodiscard]] microseconds of(const std::string& route) const;

    /// @brief Forgets routes that are no more.
    void retain(const std::function<bool(const std::string&)>& exists);

  private:
    std::map<std::string, double> micros; // by route
};

} // namespace chervilturn
