// Keeps the start of the parent's silence.
#include "chervilturn/membership/parent_watch.hpp"

#include <algorithm>

namespace chervilturn {

void parent_watch::on_unheard(instant since) noexcept {
    this->unheard_since = std::min(since, this->unheard_since.value_or(since));
}

std::optional<instant> parent_watch::own_reading_due() const noexcept {
    if (!this->unheard_since) {
        return std::nullopt;
    }
    return *this->unheard_since + this->patience;
}

microseconds parent_watch::unheard_for(instant now) const noexcept {
    return this->unheard_since ? elapsed(*this->unheard_since, now) : microseconds::zero();
}

} // namespace chervilturn
