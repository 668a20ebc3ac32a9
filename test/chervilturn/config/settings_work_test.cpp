// The work for a small change does not grow with the settings beside it.
#include "chervilturn/config/tree.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

constexpr std::size_t route_count = 1400;

leaf written(const std::string& path, revision_number revision, const std::string& value) {
    return {.path = path, .revision = revision, .removed = false, .value = value};
}

std::string server_value(const std::string& slots) {
    return R"({"service": "s", "node": "127.0.0.1:7000", "data_centre": "a", "slots": )" + slots + "}";
}

subtree_snapshot large_configuration() {
    subtree_snapshot snapshot{.subtree = "t", .revision = 1, .complete = true, .leaves = {}};
    snapshot.leaves.push_back(written("teams/t/services/s", 1, "{}"));
    snapshot.leaves.push_back(written("teams/t/backend_servers/b", 1, server_value("1")));
    for (std::size_t index = 0; index < route_count; ++index) {
        snapshot.leaves.push_back(
            written("teams/t/routes/r" + std::to_string(index), 1, R"({"service": "s", "host": "h"})"));
    }
    return snapshot;
}

const route* route_of(const std::shared_ptr<const model>& settings, const std::string& name) {
    return settings->teams.at("t").routes->find(name);
}

} // namespace

TEST_CASE("a small change beside a large configuration copies no other route", "[settings_work]") {
    settings_tree tree;
    REQUIRE(tree.offer(large_configuration()) == offer_outcome::accepted);
    const auto before = tree.current();

    SECTION("a change of a backend server") {
        REQUIRE(tree.offer({.subtree = "t",
                            .revision = 2,
                            .leaves = {written("teams/t/backend_servers/b", 2, server_value("2"))}}) ==
                offer_outcome::accepted);
        CHECK(route_of(tree.current(), "r7") == route_of(before, "r7"));
    }
    SECTION("a change of another route") {
        REQUIRE(tree.offer({.subtree = "t",
                            .revision = 2,
                            .leaves = {written("teams/t/routes/r8", 2, R"({"service": "s"})")}}) ==
                offer_outcome::accepted);
        CHECK(route_of(tree.current(), "r7") == route_of(before, "r7"));
        CHECK(route_of(tree.current(), "r8") != route_of(before, "r8"));
    }
    SECTION("a change of the list of hosts") {
        REQUIRE(tree.offer({.subtree = "hosts",
                            .revision = 2,
                            .leaves = {written("hosts/h", 2,
                                               R"({"hosts": [{"name": "h", "peers": "127.0.0.1:7000",)"
                                               R"("data_centre": "a", "state": "live"}]})")}}) ==
                offer_outcome::accepted);
        CHECK(route_of(tree.current(), "r7") == route_of(before, "r7"));
    }
}

} // namespace chervilturn
