// Reading and validation of the host list's leaves.
#include "chervilturn/config/host_compiler.hpp"

#include "chervilturn/core/json.hpp"

#include <nlohmann/json.hpp>

namespace chervilturn {

namespace {

[[nodiscard]] host read_host(object_reader& reader) {
    host parsed{.name = reader.text("name"),
                .peers = reader.address_at("peers"),
                .data_centre = reader.text("data_centre")};
    parsed.leaving = reader.one_of("state", {"live", "leaving"}) == "leaving";
    return parsed;
}

[[nodiscard]] result<std::vector<host>, settings_error> read_hosts(const leaf& source) {
    const auto json = parse_json(source.value, json_comments::allowed);
    if (json.is_discarded()) {
        return settings_error{source.path, "(root)", "the text", "valid JSON"};
    }
    object_reader reader{json, source.path, ""};
    std::vector<host> hosts;
    for (auto& nested : reader.objects("hosts")) {
        hosts.push_back(read_host(nested));
        static_cast<void>(nested.finish());
        reader.take_error(nested);
    }
    if (auto error = reader.finish()) {
        return std::move(*error);
    }
    return hosts;
}

} // namespace

result<host_map, settings_error> host_compiler::compile(const leaf_changes& changes) {
    if (this->acceptance == subtree_acceptance::each_leaf) {
        this->leaves.update_each(changes, read_hosts, [](const leaf&) { return std::nullopt; });
    } else if (auto error = this->leaves.update(changes, read_hosts)) {
        return std::move(*error);
    }
    host_map hosts;
    this->leaves.for_each(std::string{host_subtree}, [&hosts](const std::vector<host>& listed) {
        for (const auto& item : listed) {
            hosts[item.peers] = item;
        }
    });
    if (hosts.empty()) {
        this->leaves.undo();
        return settings_error{std::string{host_subtree}, "(root)", "an empty list", "at least one host"};
    }
    return hosts;
}

} // namespace chervilturn
