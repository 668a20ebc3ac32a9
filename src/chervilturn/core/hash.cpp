// XXH3 hashes.
#include "chervilturn/core/hash.hpp"

#include <xxhash.h>

namespace chervilturn {

std::uint64_t hash_of(std::string_view first, std::string_view second) noexcept {
    const auto seed = XXH3_64bits(first.data(), first.size());
    return XXH3_64bits_withSeed(second.data(), second.size(), seed);
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view name) noexcept {
    return hash_of(key, name);
}

} // namespace chervilturn
