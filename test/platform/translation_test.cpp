// Tests the translation of the users' protocol: the configuration, entries of backend servers, responses of
// the store, requests and responses.
#include "platform/translation.hpp"

#include "platform/backend.hpp"
#include "platform/callers.hpp"
#include "platform/store_client.hpp"

#include <catch2/catch.hpp>

namespace chervilturn::adapter {

namespace {

using namespace std::chrono_literals;

const std::string sample_config = R"({"config_version":7,
 "routes":{"columns":["name","host","path_prefix","route_type","timeout_ms","target_latency_ms","priority",
                      "service","max_attempts","allowed_regions","traffic_split"],
  "rows":[["r-1","a.example","/x/","unsafe",1500,600,1,"s1",2,["dakar","kaolack"],null],
          ["r-2","a.example","/x/y/","safe",1200,500,2,null,2,[],
           [{"service":"s1","weight":90},{"service":"s2","weight":10}]]]},
 "services":{"columns":["name","health_path","max_connections","protocol","tls","cold_start_s","cold_per_s"],
  "rows":[["s1","/health",260,"h1",false,3.0,8.6],["s2","/health",260,"h1",false,3.0,8.6]]},
 "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::vector<leaf> leaves_of(const std::vector<translated_leaf>& translated) {
    std::vector<leaf> leaves;
    leaves.reserve(translated.size());
    for (const auto& item : translated) {
        leaves.push_back({.path = item.path, .revision = 1, .value = item.value});
    }
    return leaves;
}

model sample_model() {
    const auto translated = config_translator{}.translate(sample_config);
    REQUIRE(succeeded(translated));
    const auto checked_team = check_team(team_name, leaves_of(value_of(translated).leaves));
    REQUIRE(succeeded(checked_team));
    model settings;
    settings.teams.emplace(team_name, value_of(checked_team));
    return settings;
}

http_request sample_request(const std::string& target) {
    return {.method = "GET",
            .target = target,
            .headers = {{"Host", "a.example"},
                        {"Chervilturn-Request-Id", "9c41"},
                        {"Chervilturn-Deadline-Ms", "800"},
                        {"Chervilturn-Caller-Service", "forged"}},
            .body = {}};
}

} // namespace

TEST_CASE("the configuration is translated into a valid team") {
    const auto settings = sample_model();
    const auto& platform_team = settings.teams.at(team_name);
    const auto* unsafe_route = match_host(platform_team, "a.example", "/x/1");
    REQUIRE(unsafe_route != nullptr);
    CHECK_FALSE(unsafe_route->idempotent);
    CHECK(unsafe_route->timeout == 1500ms);
    CHECK(unsafe_route->home_regions == region_set{"dakar", "kaolack"});
    const auto* split_route = match_host(platform_team, "a.example", "/x/y/1?q=1");
    REQUIRE(split_route != nullptr);
    CHECK(split_route->idempotent);
    CHECK(split_route->split.size() == 2);
    CHECK(split_route->home_regions.empty());
    CHECK(match_host(platform_team, "a.example", "/z/") == nullptr);
    CHECK(match_host(platform_team, "b.example", "/x/") == nullptr);
    CHECK(platform_team.services.at("s1").cold_per_second == 8.6);
    CHECK(platform_team.services.at("s1").cold_start == 3s);
    REQUIRE(platform_team.limits);
    CHECK(platform_team.limits->idle_timeout == 15s);

    SECTION("a malformed configuration is an error, not an empty team") {
        CHECK_FALSE(succeeded(config_translator{}.translate("{\"routes\":")));
        CHECK_FALSE(succeeded(config_translator{}.translate("{\"routes\":{}}")));
        CHECK_FALSE(succeeded(config_translator{}.translate("[]")));
        CHECK_FALSE(succeeded(config_translator{}.translate(
            R"({"config_version":"x","routes":{"columns":[],"rows":[]},"services":{"columns":[],"rows":[]}})")));
    }
}

TEST_CASE("an entry of a backend server with a missing or invalid field is rejected") {
    const std::string entry =
        R"({"address":"10.1.0.9:8080","info":{"service":"s1","zone":"dakar-a","slots":6},
            "status":{"state":"ready","seq":4,"cold_left_ms":0}})";
    const auto translated = translate_server("i-1", entry, 7620);
    REQUIRE(succeeded(translated));
    CHECK(value_of(translated)[0].path == "teams/platform/backend_servers/i-1");
    CHECK(value_of(translated)[0].value.find("10.1.0.9:7620") != std::string::npos);
    const std::vector<std::pair<std::string, std::string>> replacements{
        {"\"ready\"", "\"resting\""},
        {"\"slots\":6", "\"slots\":\"6\""},
        {"\"slots\":6", "\"slots\":0"},
        {"\"slots\":6", "\"slots\":1000000001"},
        {"\"slots\":6", "\"slots\":1e400"},
        {"10.1.0.9:8080", "10.1.0.9:65536"},
        {"\"zone\":\"dakar-a\"", "\"zone\":\"\""},
        {"\"service\":\"s1\"", "\"service\":\"\""},
        {"10.1.0.9:8080", "nowhere"},
        {"\"service\":\"s1\",", ""},
        {"\"zone\":\"dakar-a\",", ""},
        {"\"info\"", "\"other\""}};
    for (const auto& [part, replacement] : replacements) {
        CAPTURE(replacement);
        auto invalid_entry = entry;
        invalid_entry.replace(invalid_entry.find(part), part.size(), replacement);
        CHECK_FALSE(succeeded(translate_server("i-1", invalid_entry, 7620)));
    }
    CHECK_FALSE(succeeded(translate_server("i-1", "\xff\xfe", 7620)));
    SECTION("but any number of slots names one to use") {
        auto large_entry = entry;
        large_entry.replace(large_entry.find("\"slots\":6"), 9, "\"slots\":10001");
        CHECK(succeeded(translate_server("i-1", large_entry, 7620)));
    }
}

TEST_CASE("a response of the store is decoded completely or rejected") {
    const auto page = decode_page(
        {.status = 200,
         .headers = {},
         .body = R"({"events":[{"key":"op/config","value":"e30=","rev":5,"created_rev":5,"lease_id":0},
                               {"key":"servers/i-1","rev":6,"removed":true}],"at_rev":6})"});
    REQUIRE(succeeded(page));
    CHECK(value_of(page).revision == 6);
    CHECK(value_of(page).items[0].value == "{}");
    CHECK(value_of(page).items[1].removed);
    SECTION("whatever the revision at which the store's counter starts") {
        const std::string body = R"({"events":[{"key":"servers/i-1","rev":1800000000000001,"removed":true}],
                                     "at_rev":1800000000000001})";
        const auto high = decode_page({.status = 200, .headers = {}, .body = body});
        REQUIRE(succeeded(high));
        CHECK(value_of(high).revision == 1'800'000'000'000'001);
        CHECK(error_of(decode_page({.status = 200, .headers = {{"Store-Era", "2"}}, .body = body})).failure ==
              store_failure::malformed_response);
    }
    CHECK(error_of(decode_page({.status = 410, .headers = {}, .body = {}})).failure ==
          store_failure::history_lost);
    CHECK(error_of(decode_page({.status = 429, .headers = {}, .body = {}})).failure ==
          store_failure::unreachable);
    CHECK(error_of(decode_page({.status = 200, .headers = {}, .body = "{\"items\":[]}"})).failure ==
          store_failure::malformed_response);
    CHECK(error_of(decode_page({.status = 200,
                                .headers = {},
                                .body = R"({"items":[{"key":"k","rev":1,"value":"***"}],"at_rev":1})"}))
              .failure == store_failure::malformed_response);
}

TEST_CASE("a caller's request is translated into a call") {
    const auto settings = sample_model();
    node_settings node;
    node.service = "s9";
    const platform_callers callers;
    const auto accepted = callers.read({&settings, &node}, sample_request("/x/1"));
    REQUIRE(succeeded(accepted));
    const auto& accepted_call = value_of(accepted).original_call;
    CHECK(accepted_call.request_id == "9c41");
    CHECK(accepted_call.remaining == 800ms);
    CHECK(accepted_call.origin == "s9");
    CHECK(find_header(accepted_call.headers, "chervilturn-caller-service").empty());
    CHECK(find_header(accepted_call.headers, "host") == "a.example");

    SECTION("its deadline is limited by the timeout of its route") {
        auto long_request = sample_request("/x/1");
        long_request.headers[2].value = "60000";
        const auto limited = callers.read({&settings, &node}, http_request{long_request});
        CHECK(value_of(limited).original_call.remaining == 1500ms);
    }
    const auto read_with_deadline = [&](const char* text) {
        auto request = sample_request("/x/1");
        request.headers[2].value = text;
        return callers.read({&settings, &node}, std::move(request));
    };
    SECTION("its deadline may have a fraction, and be longer than any clock") {
        CHECK(value_of(read_with_deadline("800.5")).original_call.remaining == 800'500us);
        CHECK(value_of(read_with_deadline("99999999999999999999")).original_call.remaining == 1500ms);
        for (const auto* text : {"-1", "+1", "soon", "1e3", "800ms"}) {
            CHECK(error_of(read_with_deadline(text)).status == 400);
        }
    }
    SECTION("without a deadline it has the time of its route") {
        auto without_deadline = sample_request("/x/1");
        without_deadline.headers.erase(without_deadline.headers.begin() + 2);
        const auto read = callers.read({&settings, &node}, std::move(without_deadline));
        CHECK(value_of(read).original_call.remaining == 1500ms);
    }
    SECTION("it is refused when no route matches or no configuration is loaded") {
        CHECK(error_of(callers.read({&settings, &node}, sample_request("/none/"))).status == 404);
        const model empty;
        CHECK(error_of(callers.read({&empty, &node}, sample_request("/x/1"))).status == 503);
    }
}

TEST_CASE("responses of backend servers are classified by status and headers") {
    const platform_backend backend;
    const auto kind_of = [&backend](std::uint16_t status, std::vector<header> headers) {
        return backend.read({.status = status, .headers = std::move(headers), .body = {}}).kind;
    };
    const header id{"Chervilturn-Request-Id", "1"};
    const header signature{"Chervilturn-Response-Seal", "x"};
    CHECK(kind_of(200, {id, signature}) == response_kind::answered);
    CHECK(kind_of(500, {id, signature}) == response_kind::answered);
    CHECK(kind_of(200, {id}) == response_kind::corrupted);
    CHECK(kind_of(200, {signature}) == response_kind::corrupted);
    CHECK(kind_of(200, {id, signature, {"Content-Encoding", "gzip"}}) == response_kind::corrupted);
    CHECK(kind_of(503, {{"Chervilturn-Not-Executed", "1"}}) == response_kind::refused);
    CHECK(kind_of(421, {}) == response_kind::wrong_server);
    CHECK(backend.match("1", {.status = 200, .headers = {{"Chervilturn-Request-Id", "2"}}, .body = {}}) ==
          response_match::other);
    CHECK(backend.match("1", {.status = 200, .headers = {{"Chervilturn-Request-Id", "1"}}, .body = {}}) ==
          response_match::own);
    CHECK(backend.match("1", {.status = 503, .headers = {{"Chervilturn-Not-Executed", "1"}}, .body = {}}) ==
          response_match::unmarked);
    const auto load = read_load("3,1,8,250");
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->slowdown_percent == 250);
    CHECK_FALSE(read_load("3,1"));
    CHECK_FALSE(read_load("a,b,c"));
    const auto unusual_load = read_load("3,1,99999999999,120.5");
    REQUIRE(unusual_load);
    CHECK(unusual_load->slots == UINT32_MAX);
    CHECK(unusual_load->slowdown_percent == 120);

    SECTION("the time that a backend server stays cold may have a fraction") {
        const auto cold_left = [&backend](const char* text) {
            const auto report = backend.read_probe(
                {.status = 200,
                 .headers = {{"Chervilturn-Instance-Id", "i-1"}, {"Chervilturn-Cold-Ms", text}},
                 .body = {}});
            REQUIRE(report);
            return report->cold_left;
        };
        CHECK(cold_left("1500") == 1500ms);
        CHECK(cold_left("0.25") == 250us);
        CHECK(cold_left("99999999999999999999") == longest_setting);
        CHECK(cold_left("") == 0ms);
        CHECK_FALSE(cold_left("long")); // what was known before stays
    }
}

} // namespace chervilturn::adapter
