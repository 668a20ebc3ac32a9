// The settings file of a node: comments, defaults, and a one-line message for each error.
#include "chervilturn/config/node_settings.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

std::string settings_with(const std::string& extra_members) {
    return R"({ // a comment
        "host": "h", "data_centre": "d", "callers": "127.0.0.1:1", "peers": "127.0.0.1:2",
        "operators": "127.0.0.1:3", "backend_server": "127.0.0.1:4")" +
           extra_members + "}";
}

std::string error_of_text(const std::string& text) {
    const auto parsed = parse_node_settings(text, "node.json");
    return succeeded(parsed) ? std::string{"accepted"} : to_string(error_of(parsed));
}

} // namespace

TEST_CASE("a settings file may contain comments and omit optional members") {
    const auto parsed = parse_node_settings(settings_with(R"(, "limits": {"max_calls": 5})"), "node.json");
    REQUIRE(succeeded(parsed));
    const auto& settings = value_of(parsed);
    CHECK(settings.reachable_at == settings.peers);
    CHECK(settings.limits.max_calls == 5);
    CHECK(settings.policy == "load_aware");
}

TEST_CASE("the grace time of a shutdown is stated itself, or by the time of the kill") {
    const auto grace = [](const std::string& limits) {
        return value_of(parse_node_settings(settings_with(R"(, "limits": {)" + limits + "}"), "node.json"))
            .limits.shutdown_grace;
    };
    CHECK(grace("") == std::chrono::seconds{60});
    CHECK(grace(R"("shutdown_grace_ms": 3000)") == std::chrono::seconds{3});
    CHECK(grace(R"("shutdown_kill_s": 10)") == std::chrono::milliseconds{9500});
    CHECK(grace(R"("shutdown_kill_s": 4.5)") == std::chrono::seconds{4});
    CHECK(error_of_text(settings_with(R"(, "limits": {"shutdown_kill_s": 10, "shutdown_grace_ms": 1})"))
              .find("limits.shutdown_kill_s") != std::string::npos);
}

// Guards against a process that does not start, or lets retries through without a limit, on a bound that its
// platform may state.
TEST_CASE("bounds that a platform fills in may have fractions and be zero") {
    const auto settings_of = [](const std::string& members) {
        const auto parsed = parse_node_settings(settings_with(members), "node.json");
        CAPTURE(members);
        REQUIRE(succeeded(parsed));
        return value_of(parsed);
    };
    CHECK(settings_of(R"(, "reading": {"apply_ms": 4000.5})").reading.apply ==
          std::chrono::microseconds{4'000'500});
    CHECK(settings_of(R"(, "limits": {"memory_mb": 260.5})").limits.memory_bytes == 521UL << 19U);
    CHECK(settings_of(R"(, "limits": {"shutdown_kill_s": 0.5})").limits.shutdown_grace ==
          std::chrono::milliseconds{250});
    CHECK(settings_of(R"(, "repeats": {"ratio": 1.5, "slack": 62.5})").fleet_retries->ratio == 1.5);

    SECTION("a ratio of zero is a limit, and no section is none") {
        const auto limits = settings_of(R"(, "repeats": {"ratio": 0, "slack": 8})").fleet_retries;
        REQUIRE(limits);
        CHECK(limits->ratio == 0.0);
        CHECK_FALSE(settings_of("").fleet_retries);
    }
}

TEST_CASE("the stages of finding a failed source of settings fit into the time for a change") {
    CHECK(error_of_text(settings_with(R"(, "reading": {"apply_ms": 2500, "wait_ms": 1000, "pause_ms": 300,
                                          "parent_ping_ms": 600, "parent_suspect_ms": 1100})")) ==
          "accepted");
    CHECK(error_of_text(settings_with(R"(, "reading": {"apply_ms": 1500, "wait_ms": 100, "pause_ms": 50,
                                          "parent_ping_ms": 600, "parent_suspect_ms": 1100})")) ==
          "node.json: at \"reading.parent_suspect_ms\": 1100 is not at least 500 ms less than apply_ms");
    CHECK(error_of_text(settings_with(R"(, "reading": {})")) == "accepted");
}

TEST_CASE("each error message names the file, the member, its value and the expected value") {
    CHECK(error_of_text("{") == "node.json: at \"(root)\": the text is not valid JSON");
    CHECK(error_of_text("[]") == "node.json: at \"(root)\": [] is not an object");
    CHECK(error_of_text("{}") == "node.json: at \"host\": absent is not a non-empty string");
    CHECK(error_of_text(settings_with(R"(, "polcy": "x")")) ==
          "node.json: at \"polcy\": \"x\" is not a known setting");
    CHECK(error_of_text(settings_with(R"(, "cold_servers": {"overshoot": 0.5})"))
              .find("cold_servers.overshoot") != std::string::npos);
    CHECK(error_of_text(settings_with(R"(, "limits": {"max_pipelined_requests": 0})")) ==
          "node.json: at \"limits.max_pipelined_requests\": 0 is not a whole number from 1 to 1024");
    CHECK(error_of_text(settings_with(R"(, "limits": {"max_calls": "many"})")) ==
          "node.json: at \"limits.max_calls\": \"many\" is not a whole number from 1 to 1000000");
    CHECK(error_of_text(settings_with(R"(, "limits": {"max_cals": 1})")) ==
          "node.json: at \"limits.max_cals\": 1 is not a known setting");
    CHECK(error_of_text(settings_with(R"(, "platform": ["localhost:80"])")).find("platform[0]") !=
          std::string::npos);
    CHECK(error_of_text(settings_with(R"(, "policy": "best")")).find("one of \"uniform_random\"") !=
          std::string::npos);
    CHECK(error_of_text(settings_with(R"(, "probes": {"probes_per_second": 0})")).find("from 1 to 100") !=
          std::string::npos);
    CHECK(error_of_text(R"({"host": "h", "data_centre": "d", "callers": "127.0.0.1:1", "peers": "127.0.0.1:1",
                       "operators": "127.0.0.1:3", "backend_server": "127.0.0.1:4"})") ==
          "node.json: at \"peers\": \"127.0.0.1:1\" is not different from the address of \"callers\"");
}

} // namespace chervilturn
