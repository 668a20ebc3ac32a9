// Addresses in the form that the socket calls take.
#pragma once

#include "chervilturn/core/address.hpp"

#include <netinet/in.h>

namespace chervilturn::internal {

/// @brief The IPv4 socket address of an address that was parsed before.
[[nodiscard]] sockaddr_in to_socket_address(const address& where) noexcept;

} // namespace chervilturn::internal
