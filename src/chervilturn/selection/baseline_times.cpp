// Estimation of baseline service times.
#include "chervilturn/selection/baseline_times.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr double percent = 100.0;
constexpr double falling_weight = 0.1; // weight of a sample below the baseline
constexpr double rising_weight = 0.05; // weight of a sample above the baseline

} // namespace

void baseline_times::learn(const std::string& route, microseconds service_time,
                           std::uint32_t slowdown_percent) {
    const double slowdown = std::max(1.0, slowdown_percent / percent);
    const double sample = static_cast<double>(service_time.count()) / slowdown;
    auto& baseline = this->micros[route];
    const double weight = sample < baseline ? falling_weight : rising_weight;
    baseline = baseline == 0.0 ? sample : baseline + weight * (sample - baseline);
}

microseconds baseline_times::of(const std::string& route) const {
    const auto found = this->micros.find(route);
    return found == this->micros.end() ? microseconds::zero()
                                       : microseconds{static_cast<std::int64_t>(found->second)};
}

void baseline_times::retain(const std::function<bool(const std::string&)>& exists) {
    std::erase_if(this->micros, [&exists](const auto& entry) { return !exists(entry.first); });
}

} // namespace chervilturn
