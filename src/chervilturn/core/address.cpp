// Parsing and formatting of addresses.
#include "chervilturn/core/address.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace chervilturn {

std::optional<address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string ip{text.substr(0, colon)};
    in_addr parsed{};
    if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (failure != std::errc{} || end != digits.data() + digits.size() || port == 0) {
        return std::nullopt;
    }
    return address{.ip = ip, .port = port};
}

std::string to_string(const address& value) {
    return value.ip + ':' + std::to_string(value.port);
}

} // namespace chervilturn
