// Turns among seeds.
#include "chervilturn/membership/seed_rotation.hpp"

namespace chervilturn {

seed_rotation::seed_rotation(std::vector<address> seeds, const address& self, std::size_t first)
    : others{std::move(seeds)}, turn{first} {
    std::erase(this->others, self);
}

std::optional<address> seed_rotation::next() {
    if (this->others.empty()) {
        return std::nullopt;
    }
    return this->others[this->turn++ % this->others.size()];
}

} // namespace chervilturn
