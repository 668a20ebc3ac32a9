// Grace period for registrations that disappear after a platform failure.
#include "chervilturn/membership/removal_grace.hpp"

#include <algorithm>

namespace chervilturn {

void removal_grace::on_platform_answered(instant now) {
    if (!this->failing) {
        return;
    }
    this->failing = false;
    this->grace_until = now + this->options.grace_period;
    for (auto& [name, removal_time] : this->pending) {
        removal_time = this->grace_until;
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
    if (this->failing) {
        return due;
    }
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

std::optional<instant> removal_grace::next_expiry() const {
    if (this->failing || this->pending.empty()) {
        return std::nullopt;
    }
    const auto earliest =
        std::min_element(this->pending.begin(), this->pending.end(),
                         [](const auto& left, const auto& right) { return left.second < right.second; });
    return earliest->second;
}

std::vector<std::string> removal_grace::pending_names() const {
    std::vector<std::string> names;
    for (const auto& [name, removal_time] : this->pending) {
        names.push_back(name);
    }
    return names;
}

} // namespace chervilturn
