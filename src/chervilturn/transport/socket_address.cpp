// Conversion of addresses to the type that socket calls take.
#include "chervilturn/transport/socket_address.hpp"

#include <arpa/inet.h>

namespace chervilturn::internal {

sockaddr_in to_socket_address(const address& parsed_address) noexcept {
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_port = htons(parsed_address.port);
    inet_pton(AF_INET, parsed_address.ip.c_str(), &socket_address.sin_addr);
    return socket_address;
}

} // namespace chervilturn::internal
