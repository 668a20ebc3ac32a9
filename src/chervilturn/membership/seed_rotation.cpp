// Rotation among seeds.
#include "chervilturn/membership/seed_rotation.hpp"

namespace chervilturn {

seed_rotation::seed_rotation(std::vector<address> seeds, const address& self, std::size_t first)
    : other_seeds{std::move(seeds)}, next_index{first} {
    std::erase(this->other_seeds, self);
}

std::optional<address> seed_rotation::next() {
    if (this->other_seeds.empty()) {
        return std::nullopt;
    }
    return this->other_seeds[this->next_index++ % this->other_seeds.size()];
}

} // namespace chervilturn
