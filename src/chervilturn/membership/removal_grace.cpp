// Grace period for registrations that disappear after a platform failure.
#include "chervilturn/membership/removal_grace.hpp"

namespace chervilturn {

void removal_grace::on_platform_answered(instant now) noexcept {
    if (this->failing) {
        this->failing = false;
        this->grace_until = now + this->options.grace_period;
    }
}

bool removal_grace::on_removed(const std::string& name, instant now) {
    if (now >= this->grace_until) {
        this->pending.erase(name);
        return true;
    }
    this->pending.try_emplace(name, this->grace_until);
    return false;
}

std::vector<std::string> removal_grace::take_expired(instant now) {
    std::vector<std::string> due;
    for (const auto& [name, removal_time] : this->pending) {
        if (now >= removal_time) {
            due.push_back(name);
        }
    }
    for (const auto& name : due) {
        this->pending.erase(name);
    }
    return due;
}

std::vector<std::string> removal_grace::pending_names() const {
    std::vector<std::string> names;
    for (const auto& [name, removal_time] : this->pending) {
        names.push_back(name);
    }
    return names;
}

} // namespace chervilturn
