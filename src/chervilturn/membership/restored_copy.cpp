// Entries confirmed in the eras before and after a restoration of the platform.
#include "chervilturn/membership/restored_copy.hpp"

namespace chervilturn {

void restored_copy::on_entry(const std::string& key, std::uint64_t revision) {
    auto& known = this->current[key];
    if (!known.present) {
        this->removed.erase({known.revision, key});
    }
    known = {.revision = revision, .present = true};
}

void restored_copy::on_removed(const std::string& key) {
    const auto found = this->current.find(key);
    if (found == this->current.end() || !found->second.present) {
        return;
    }
    found->second.present = false;
    this->removed.emplace(found->second.revision, key);
    this->forget_oldest_removed();
}

void restored_copy::on_restored(instant now) {
    // While an earlier restoration settles, what was confirmed before it counts as well.
    if (!this->is_settling(now)) {
        this->confirmed.clear();
    }
    for (auto& [key, known] : this->current) {
        this->confirmed[key] = known;
    }
    this->current.clear();
    this->removed.clear();
    this->settled_at = now + this->options.settle_time;
}

bool restored_copy::is_outdated(const std::string& key, std::uint64_t revision, instant now) const {
    const auto found = this->confirmed.find(key);
    if (!this->is_settling(now) || found == this->confirmed.end()) {
        return false;
    }
    const auto& known = found->second;
    return known.present ? revision < known.revision : revision <= known.revision;
}

bool restored_copy::is_missing(const std::string& key, instant now) const {
    const auto found = this->confirmed.find(key);
    return this->is_settling(now) && found != this->confirmed.end() && found->second.present;
}

void restored_copy::forget_oldest_removed() {
    while (this->removed.size() > this->options.max_removed) {
        this->current.erase(this->removed.begin()->second);
        this->removed.erase(this->removed.begin());
    }
}

} // namespace chervilturn
