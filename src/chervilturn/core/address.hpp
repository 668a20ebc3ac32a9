// An IP address with a TCP port, as settings and the platform write it: "10.0.0.1:7000".
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilturn {

/// @brief Where a process listens. Only IPv4 numbers are accepted, never host names.
struct address {
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const address&) const = default;
};

/// @brief Parses "ip:port"; nothing when either half is malformed or the port is 0.
[[nodiscard]] std::optional<address> parse_address(std::string_view text);

/// @brief Writes an address as "ip:port".
[[nodiscard]] std::string to_string(const address& where);

} // namespace chervilturn
