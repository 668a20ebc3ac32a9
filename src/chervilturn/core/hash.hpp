// Rendezvous hashing by xxHash: every process ranks the same names in the same order.
#pragma once

#include <cstdint>
#include <string_view>

namespace chervilturn {

/// @brief Weight of a name for a key; the name with the highest weight is the key's first choice.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view key, std::string_view name) noexcept;

} // namespace chervilturn
