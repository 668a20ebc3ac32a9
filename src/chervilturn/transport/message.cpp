// Classification and size of messages.
#include "chervilturn/transport/message.hpp"

#include <numeric>

namespace chervilturn {

crash_report report_for(const std::string& data_centre, const crash_report& report) {
    crash_report permitted;
    for (const auto& item : report.evidence) {
        if (item.data_centres.empty() || item.data_centres.contains(data_centre)) {
            permitted.evidence.push_back(item);
        }
    }
    return permitted;
}

std::size_t leaf_count(const settings_update& update) noexcept {
    return std::accumulate(
        update.subtrees.begin(), update.subtrees.end(), std::size_t{0},
        [](std::size_t sum, const subtree_snapshot& snapshot) { return sum + snapshot.leaves.size(); });
}

std::size_t content_bytes(const settings_update& update) noexcept {
    std::size_t bytes = 0;
    for (const auto& snapshot : update.subtrees) {
        for (const auto& item : snapshot.leaves) {
            bytes += item.path.size() + item.value.size();
        }
    }
    return bytes;
}

bool is_control(const message& item) noexcept {
    return !std::holds_alternative<call>(item) && !std::holds_alternative<answer>(item) &&
           !std::holds_alternative<body_request>(item) && !std::holds_alternative<call_body>(item);
}

} // namespace chervilturn
