// Rendezvous hashing with xxHash. Every process computes the same ranking of names for a key.
#pragma once

#include <cstdint>
#include <string_view>

namespace chervilturn {

/// @brief Weight of a name for a key. The name with the highest weight ranks first for the key.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view key, std::string_view name) noexcept;

} // namespace chervilturn
