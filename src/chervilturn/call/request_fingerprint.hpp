// Identity of a request that is sent again: the same work for the same service, whoever carries it.
#pragma once

#include "chervilturn/call/call.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace chervilturn {

/// @brief The first 128 bits of a SHA-256 hash of a request. A cryptographic hash needs no secret that all
/// nodes share, and nobody can make a request with the fingerprint of another one.
struct request_fingerprint {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const request_fingerprint&) const = default;
};

/// @brief The fingerprint of a call: its service, method, target, origin and body. Ids, deadlines and other
/// headers differ each time and do not count.
[[nodiscard]] request_fingerprint fingerprint_of(const call& received);

/// @brief The fingerprint as 32 hexadecimal digits.
[[nodiscard]] std::string to_string(const request_fingerprint& fingerprint);

} // namespace chervilturn
