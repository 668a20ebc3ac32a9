// Conversion of addresses for the socket calls.
#include "chervilturn/transport/socket_address.hpp"

#include <arpa/inet.h>

namespace chervilturn::internal {

sockaddr_in to_socket_address(const address& where) noexcept {
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(where.port);
    inet_pton(AF_INET, where.ip.c_str(), &target.sin_addr);
    return target;
}

} // namespace chervilturn::internal
