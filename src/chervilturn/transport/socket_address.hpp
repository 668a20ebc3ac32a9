// Conversion of addresses to the type that socket calls take.
#pragma once

#include "chervilturn/core/address.hpp"

#include <netinet/in.h>

namespace chervilturn::internal {

/// @brief Converts an address with a valid IPv4 literal, as parse_address returns it.
[[nodiscard]] sockaddr_in to_socket_address(const address& parsed_address) noexcept;

} // namespace chervilturn::internal
