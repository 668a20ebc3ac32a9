// The settings file of a node: comments, defaults, and one clear line for each fault.
#include "chervilturn/config/node_settings.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

std::string with(const std::string& members) {
    return R"({ // a comment
        "host": "h", "data_centre": "d", "callers": "127.0.0.1:1", "peers": "127.0.0.1:2",
        "operators": "127.0.0.1:3", "backend_server": "127.0.0.1:4")" +
           members + "}";
}

std::string fault_of(const std::string& text) {
    const auto parsed = parse_node_settings(text, "node.json");
    return succeeded(parsed) ? std::string{"accepted"} : to_string(error_of(parsed));
}

} // namespace

TEST_CASE("a settings file is read with comments and defaults") {
    const auto parsed = parse_node_settings(with(R"(, "limits": {"max_calls": 5})"), "node.json");
    REQUIRE(succeeded(parsed));
    const auto& settings = value_of(parsed);
    CHECK(settings.reachable_at == settings.peers);
    CHECK(settings.limits.max_calls == 5);
    CHECK(settings.policy == "load_aware");
}

TEST_CASE("each fault names file, place, value and what is expected") {
    CHECK(fault_of("{") == "node.json: at \"(root)\": the text is not valid JSON");
    CHECK(fault_of("[]") == "node.json: at \"(root)\": [] is not an object");
    CHECK(fault_of("{}") == "node.json: at \"host\": absent is not a non-empty string");
    CHECK(fault_of(with(R"(, "polcy": "x")")) == "node.json: at \"polcy\": \"x\" is not a known setting");
    CHECK(fault_of(with(R"(, "limits": {"max_calls": "many"})")) ==
          "node.json: at \"limits.max_calls\": \"many\" is not a whole number from 1 to 1000000");
    CHECK(fault_of(with(R"(, "limits": {"max_cals": 1})")) ==
          "node.json: at \"limits.max_cals\": 1 is not a known setting");
    CHECK(fault_of(with(R"(, "platform": ["localhost:80"])")).find("platform[0]") != std::string::npos);
    CHECK(fault_of(with(R"(, "policy": "best")")).find("one of \"uniform_random\"") != std::string::npos);
    CHECK(fault_of(with(R"(, "probes": {"probes_per_second": 0})")).find("from 1 to 100") !=
          std::string::npos);
    CHECK(fault_of(R"({"host": "h", "data_centre": "d", "callers": "127.0.0.1:1", "peers": "127.0.0.1:1",
                       "operators": "127.0.0.1:3", "backend_server": "127.0.0.1:4"})") ==
          "node.json: at \"peers\": \"127.0.0.1:1\" is not different from the address of \"callers\"");
}

} // namespace chervilturn
