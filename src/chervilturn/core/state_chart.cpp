// Parsing of chart files.
#include "chervilturn/core/state_chart.hpp"

#include "chervilturn/core/json.hpp"

#include <nlohmann/json.hpp>

namespace chervilturn::internal {

namespace {

// The string value of a key; nothing when the key is missing or holds another type.
std::optional<std::string> string_member(const nlohmann::json& object, const char* key) {
    if (!object.is_object() || !object.contains(key) || !object[key].is_string()) {
        return std::nullopt;
    }
    return object[key].get<std::string>();
}

} // namespace

result<named_chart, chart_error> read_chart(std::string_view text) {
    const auto parsed = parse_json(text, json_comments::allowed);
    const auto initial = string_member(parsed, "initial");
    if (!initial || !parsed.contains("transitions") || !parsed["transitions"].is_array()) {
        return chart_error{"a chart needs \"initial\" and a list \"transitions\""};
    }
    named_chart chart{.initial = *initial, .transitions = {}};
    for (const auto& entry : parsed["transitions"]) {
        const auto from = string_member(entry, "from");
        const auto event = string_member(entry, "event");
        const auto to = string_member(entry, "to");
        if (!from || !event || !to) {
            return chart_error{"a transition needs \"from\", \"event\" and \"to\""};
        }
        chart.transitions.push_back({*from, *event, *to});
    }
    return chart;
}

} // namespace chervilturn::internal
