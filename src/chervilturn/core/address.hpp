// IPv4 address with a TCP port, in the text form of settings and platform: "10.0.0.1:7000".
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilturn {

/// @brief Address of a listening TCP socket. Host names are not supported.
struct address {
    std::string ip; // dotted IPv4
    std::uint16_t port = 0;

    auto operator<=>(const address&) const = default;
};

/// @brief Parses "ip:port"; nothing when either part is malformed or the port is 0.
[[nodiscard]] std::optional<address> parse_address(std::string_view text);

/// @brief Formats an address as "ip:port".
[[nodiscard]] std::string to_string(const address& value);

} // namespace chervilturn
