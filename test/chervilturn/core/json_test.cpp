// Bounds of JSON from outside.
#include "chervilturn/core/json.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

std::string nested(std::size_t levels) {
    return std::string(levels, '[') + std::string(levels, ']');
}

} // namespace

TEST_CASE("JSON is parsed up to a depth") {
    CHECK(parse_json(nested(max_json_depth)).is_array());
    CHECK(parse_json(nested(max_json_depth + 1)).is_discarded());
    CHECK(parse_json(nested(1'000'000)).is_discarded());

    SECTION("brackets in strings and closed ones do not count") {
        CHECK(parse_json("[\"" + std::string(100, '[') + R"(\")" + std::string(100, '{') + "\"]").is_array());
        std::string siblings = "[[]";
        for (std::size_t count = 0; count < 2 * max_json_depth; ++count) {
            siblings += ",[{}]";
        }
        CHECK(parse_json(siblings + "]").is_array());
    }
    SECTION("brackets in comments do not count where comments are allowed") {
        const auto text = "[ // " + std::string(100, '[') + "\n /* " + std::string(100, '{') + " */ 1]";
        CHECK(parse_json(text, json_comments::allowed).is_array());
        CHECK(parse_json(text).is_discarded());
    }
    SECTION("texts that end early") {
        for (const std::string text : {"", "\"", "\"\\", "/", "/*", "[", "{\"a\":"}) {
            CAPTURE(text);
            CHECK(parse_json(text, json_comments::allowed).is_discarded());
        }
    }
    SECTION("a number that no double holds") {
        CHECK(parse_json("[1e400]").is_discarded());
    }
}

} // namespace chervilturn
