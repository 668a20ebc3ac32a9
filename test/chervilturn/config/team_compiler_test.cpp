// Compilation of a team's leaves, and what it reads again after a change.
#include "chervilturn/config/team_compiler.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

TEST_CASE("work for a change grows with the change, not with the team's settings") {
    constexpr std::uint64_t route_count = 1400;
    std::map<std::string, leaf> leaves;
    const auto put = [&leaves](const std::string& path, const std::string& value) {
        leaves[path] = {.path = path, .revision = 1, .value = value};
    };
    put("teams/t/services/s", "{}");
    for (std::uint64_t index = 0; index < route_count; ++index) {
        put("teams/t/routes/r" + std::to_string(index), R"({"service": "s"})");
    }
    team_compiler compiler;
    REQUIRE(succeeded(compiler.compile("t", leaves)));
    const auto read_before = compiler.leaves_read();
    CHECK(read_before == route_count + 1);

    SECTION("one changed leaf") {
        put("teams/t/routes/r7", R"({"service": "s", "prefix": "/a"})");
        const auto compiled = compiler.compile("t", leaves);
        REQUIRE(succeeded(compiled));
        CHECK(value_of(compiled).routes->find("r7")->prefix == "/a");
        CHECK(value_of(compiled).routes->by_name.size() == route_count);
        CHECK(compiler.leaves_read() == read_before + 1);
    }
    SECTION("a leaf that was removed and comes back") {
        leaves["teams/t/routes/r7"].removed = true;
        const auto without = compiler.compile("t", leaves);
        REQUIRE(succeeded(without));
        CHECK_FALSE(value_of(without).routes->by_name.contains("r7"));
        leaves["teams/t/routes/r7"].removed = false;
        const auto with = compiler.compile("t", leaves);
        REQUIRE(succeeded(with));
        CHECK(value_of(with).routes->by_name.contains("r7"));
    }
    SECTION("an invalid leaf is refused each time, and the leaf before it is still known") {
        put("teams/t/routes/r7", R"({"service": 7})");
        CHECK_FALSE(succeeded(compiler.compile("t", leaves)));
        CHECK_FALSE(succeeded(compiler.compile("t", leaves)));
        put("teams/t/routes/r7", R"({"service": "s"})");
        const auto read_until_now = compiler.leaves_read();
        CHECK(succeeded(compiler.compile("t", leaves)));
        CHECK(compiler.leaves_read() == read_until_now);
    }
}

} // namespace chervilturn
