// Helpers shared by the HTTP server and client.
#include "chervilturn/transport/http.hpp"

#include <algorithm>
#include <array>
#include <strings.h>

namespace chervilturn {

bool is_same_name(std::string_view left, std::string_view right) noexcept {
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view to_string(http_failure failure) noexcept {
    constexpr std::array<std::string_view, 7> names{"refused", "timed_out", "cut",      "too_large",
                                                    "no_room", "malformed", "cancelled"};
    return names.at(static_cast<std::size_t>(failure));
}

std::string_view find_header(const std::vector<header>& headers, std::string_view name) noexcept {
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [name](const header& item) { return is_same_name(item.name, name); });
    return found == headers.end() ? std::string_view{} : std::string_view{found->value};
}

bool is_hop_by_hop(std::string_view name) noexcept {
    constexpr std::array<std::string_view, 10> names{"connection",
                                                     "keep-alive",
                                                     "proxy-connection",
                                                     "proxy-authenticate",
                                                     "proxy-authorization",
                                                     "te",
                                                     "trailer",
                                                     "transfer-encoding",
                                                     "upgrade",
                                                     "content-length"};
    return std::any_of(names.begin(), names.end(),
                       [name](auto hop_by_hop) { return is_same_name(hop_by_hop, name); });
}

} // namespace chervilturn
