// Names of the kinds and reaches of traffic.
#include "chervilturn/observe/peer_traffic.hpp"

namespace chervilturn {

const char* to_string(traffic_kind kind) noexcept {
    static constexpr std::array<const char*, peer_traffic::kind_count> names{
        "offer", "body", "answer", "key_home", "settings", "comparison", "crash_evidence", "connection"};
    return names.at(static_cast<std::size_t>(kind));
}

const char* to_string(traffic_reach reach) noexcept {
    static constexpr std::array<const char*, peer_traffic::reach_count> names{"data_centre", "region",
                                                                              "other_region", "unknown"};
    return names.at(static_cast<std::size_t>(reach));
}

} // namespace chervilturn
