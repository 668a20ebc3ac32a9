// Hashes of texts and rendezvous hashing with xxHash. Every process computes the same values.
#pragma once

#include <cstdint>
#include <string_view>

namespace chervilturn {

/// @brief Hash of two texts, in this order. The same in every process.
[[nodiscard]] std::uint64_t hash_of(std::string_view first, std::string_view second) noexcept;

/// @brief Weight of a name for a key. The name with the highest weight ranks first for the key.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view key, std::string_view name) noexcept;

} // namespace chervilturn
