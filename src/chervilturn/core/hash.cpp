// Rendezvous weights from XXH3 hashes.
#include "chervilturn/core/hash.hpp"

#include <xxhash.h>

namespace chervilturn {

std::uint64_t rendezvous_weight(std::string_view key, std::string_view name) noexcept {
    const auto seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

} // namespace chervilturn
