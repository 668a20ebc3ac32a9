// Waiting for lapsed entries.
#include "chervilturn/membership/removal_grace.hpp"

namespace chervilturn {

void removal_grace::on_platform_answered(instant now) noexcept {
    if (this->failing) {
        this->failing = false;
        this->recovered_until = now + this->options.grace_period;
    }
}

bool removal_grace::on_removed(const std::string& name, instant now) {
    if (now >= this->recovered_until) {
        this->held.erase(name);
        return true;
    }
    this->held.try_emplace(name, this->recovered_until);
    return false;
}

std::vector<std::string> removal_grace::take_due(instant now) {
    std::vector<std::string> due;
    for (const auto& [name, until] : this->held) {
        if (now >= until) {
            due.push_back(name);
        }
    }
    for (const auto& name : due) {
        this->held.erase(name);
    }
    return due;
}

} // namespace chervilturn
