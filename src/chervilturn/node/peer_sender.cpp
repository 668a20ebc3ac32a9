// What the messages between nodes carry, and how far they go.
#include "chervilturn/node/peer_sender.hpp"

#include "chervilturn/core/result.hpp"

namespace chervilturn {

traffic_kind kind_of(const message& item) noexcept {
    return std::visit(overloaded{[](const call&) { return traffic_kind::offer; },
                                 [](const body_request&) { return traffic_kind::offer; },
                                 [](const call_body&) { return traffic_kind::body; },
                                 [](const answer&) { return traffic_kind::answer; },
                                 [](const key_inquiry&) { return traffic_kind::key_home; },
                                 [](const key_inquiry_reply&) { return traffic_kind::key_home; },
                                 [](const subscription&) { return traffic_kind::settings; },
                                 [](const settings_update&) { return traffic_kind::settings; },
                                 [](const update_part&) { return traffic_kind::settings; },
                                 [](const part_receipt&) { return traffic_kind::settings; },
                                 [](const comparison&) { return traffic_kind::comparison; },
                                 [](const crash_report&) { return traffic_kind::crash_evidence; },
                                 [](const auto&) { return traffic_kind::connection; }},
                      item);
}

traffic_reach reach_between(const node_settings& settings, const std::string& data_centre) {
    if (data_centre == settings.data_centre) {
        return traffic_reach::data_centre;
    }
    const auto here = settings.data_centres.find(settings.data_centre);
    const auto there = settings.data_centres.find(data_centre);
    if (here == settings.data_centres.end() || there == settings.data_centres.end()) {
        return traffic_reach::unknown;
    }
    return here->second == there->second ? traffic_reach::region : traffic_reach::other_region;
}

std::size_t peer_sender::send(peer_connection& connection, const std::string& data_centre,
                              const message& outgoing) const {
    const auto bytes = connection.send(outgoing);
    auto& counters = this->context->stats->counters();
    (is_control(outgoing) ? counters.control_bytes_sent : counters.call_bytes_sent) += bytes;
    counters.sent_to_peers.add(kind_of(outgoing), reach_between(this->context->settings, data_centre), bytes);
    return bytes;
}

void peer_sender::introduce(peer_connection& connection, const std::string& data_centre) const {
    const auto& settings = this->context->settings;
    this->send(connection, data_centre,
               hello{.host = settings.host,
                     .data_centre = settings.data_centre,
                     .incarnation = this->context->incarnation,
                     .peer_address = settings.reachable_at});
}

} // namespace chervilturn
