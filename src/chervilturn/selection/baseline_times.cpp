// Learning of usual service times.
#include "chervilturn/selection/baseline_times.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr double percent = 100.0;
constexpr double falling_weight = 0.1; // of a shorter answer
constexpr double rising_weight = 0.05; // of a longer one

} // namespace

void baseline_times::learn(const std::string& route, microseconds service_time,
                           std::uint32_t slowdown_percent) {
    const double host = std::max(1.0, slowdown_percent / percent);
    const double taken = static_cast<double>(service_time.count()) / host;
    auto& usual = this->micros[route];
    const double weight = taken < usual ? falling_weight : rising_weight;
    usual = usual == 0.0 ? taken : usual + weight * (taken - usual);
}

microseconds baseline_times::of(const std::string& route) const {
    const auto found = this->micros.find(route);
    return found == this->micros.end() ? microseconds::zero()
                                       : microseconds{static_cast<std::int64_t>(found->second)};
}

void baseline_times::retain(const std::function<bool(const std::string&)>& exists) {
    std::erase_if(this->micros, [&exists](const auto& known) { return !exists(known.first); });
}

} // namespace chervilturn
