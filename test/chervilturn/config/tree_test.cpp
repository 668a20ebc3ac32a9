// Acceptance of published settings: by subtree, by revision, never backwards.
#include "chervilturn/config/tree.hpp"
#include "chervilturn/core/random.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

leaf leaf_of(const std::string& path, revision_number revision, const std::string& value) {
    return {.path = path, .revision = revision, .value = value};
}

const std::string service_value =
    R"({"backend_servers": [{"name": "p1", "node": "10.0.0.1:7000", "data_centre": "a", "slots": 6}]})";

subtree_snapshot team_at(revision_number revision) {
    return {.subtree = "t",
            .revision = revision,
            .leaves = {leaf_of("teams/t/services/s", revision, service_value),
                       leaf_of("teams/t/workspaces/w", revision, "{}")}};
}

} // namespace

TEST_CASE("a team's subtree is accepted as a whole") {
    settings_tree tree;
    REQUIRE(tree.offer(team_at(5)) == offer_outcome::accepted);
    REQUIRE(tree.current()->find_team("t") != nullptr);
    CHECK(tree.current()->find_team("t")->services.at("s").backend_servers.at(0).slots == 6);

    SECTION("an older revision changes nothing") {
        auto old = team_at(3);
        old.leaves[1].value = R"({"weight": 7})";
        CHECK(tree.offer(old) == offer_outcome::unchanged);
        CHECK(tree.current()->find_team("t")->workspaces.at("w").weight == 1);
    }
    SECTION("a broken leaf keeps the last accepted revision and says what is wrong") {
        const subtree_snapshot broken{.subtree = "t",
                                      .revision = 6,
                                      .leaves = {leaf_of("teams/t/workspaces/w", 6, R"({"weight": 0})")}};
        REQUIRE(tree.offer(broken) == offer_outcome::rejected);
        const auto line = to_string(tree.rejections().at("t").error);
        CHECK(line == "teams/t/workspaces/w: at \"weight\": 0 is not a whole number from 1 to 1000");
        CHECK(revision_of(tree.digest(), "t") == 5);

        SECTION("another team goes on") {
            CHECK(
                tree.offer(
                    {.subtree = "u", .revision = 7, .leaves = {leaf_of("teams/u/workspaces/w", 7, "{}")}}) ==
                offer_outcome::accepted);
        }
        SECTION("the mended leaf is accepted") {
            const subtree_snapshot mended{.subtree = "t",
                                          .revision = 8,
                                          .leaves = {leaf_of("teams/t/workspaces/w", 8, R"({"weight": 2})")}};
            CHECK(tree.offer(mended) == offer_outcome::accepted);
            CHECK(tree.rejections().empty());
            CHECK(revision_of(tree.digest(), "t") == 8);
        }
        SECTION("a node that met the broken leaf first takes the accepted ones from a peer") {
            settings_tree fresh;
            auto both = team_at(5);
            both.leaves[1] = broken.leaves[0];
            both.revision = 6;
            REQUIRE(fresh.offer(both) == offer_outcome::rejected);
            for (const auto& update : tree.newer_than(fresh.digest())) {
                CHECK(fresh.offer(update) == offer_outcome::accepted);
            }
            CHECK(revision_of(fresh.digest(), "t") == 5);
            CHECK(fresh.rejections().contains("t"));
        }
        SECTION("a follower gets the accepted leaves, not the broken one") {
            settings_tree follower;
            for (const auto& update : tree.newer_than(follower.digest())) {
                CHECK(follower.offer(update) == offer_outcome::accepted);
            }
            CHECK(revision_of(follower.digest(), "t") == 5);
        }
    }
    SECTION("a removed leaf is gone, also for a follower that held it") {
        settings_tree follower;
        REQUIRE(follower.offer(team_at(5)) == offer_outcome::accepted);
        leaf removal = leaf_of("teams/t/workspaces/w", 9, "");
        removal.removed = true;
        REQUIRE(tree.offer({.subtree = "t", .revision = 9, .leaves = {removal}}) == offer_outcome::accepted);
        const auto updates = tree.newer_than(follower.digest());
        REQUIRE(updates.size() == 1);
        REQUIRE(follower.offer(updates[0]) == offer_outcome::accepted);
        CHECK(follower.current()->find_team("t")->workspaces.empty());
    }
}

TEST_CASE("faults in leaves are named") {
    const auto fault_of = [](const std::string& path, const std::string& value) {
        const auto checked = check_team("t", {leaf_of(path, 1, value)});
        return succeeded(checked) ? std::string{"accepted"} : to_string(error_of(checked));
    };
    CHECK(fault_of("teams/t/workspaces/w", "{").find("valid JSON") != std::string::npos);
    CHECK(fault_of("teams/t/workspaces/w", R"({"wieght": 2})").find("\"wieght\": 2 is not a known setting") !=
          std::string::npos);
    CHECK(fault_of("teams/t/planets/w", "{}").find("\"services\"") != std::string::npos);
    CHECK(fault_of("teams/t/routes/r", R"({"service": "none"})").find("a service of the team") !=
          std::string::npos);
    CHECK(fault_of("teams/t/data_centres/a", R"({"state": "away"})").find("\"in\", \"out\"") !=
          std::string::npos);
    CHECK(fault_of("teams/t/services/s", R"({"backend_servers": [{"name": "p", "node": "nowhere",
                    "data_centre": "a", "slots": 6}]})")
              .find("backend_servers[0].node") != std::string::npos);
    CHECK(fault_of("teams/t/workspaces/w", R"({"weight": 18446744073709551615})").find("whole number") !=
          std::string::npos);
    CHECK(fault_of("teams/t/workspaces/w", "{} // with a comment") == "accepted");
}

TEST_CASE("the host list is checked") {
    settings_tree tree;
    const auto host_leaf = [](revision_number revision, const std::string& state) {
        return subtree_snapshot{
            .subtree = "hosts",
            .revision = revision,
            .leaves = {leaf_of(
                "hosts/h", revision,
                R"({"hosts": [{"name": "h", "peers": "10.0.0.1:7000", "data_centre": "a", "state": ")" +
                    state + "\"}]}")}};
    };
    REQUIRE(tree.offer(host_leaf(1, "live")) == offer_outcome::accepted);
    CHECK(tree.offer(host_leaf(2, "asleep")) == offer_outcome::rejected);
    auto empty = host_leaf(3, "live");
    empty.leaves[0].removed = true;
    CHECK(tree.offer(empty) == offer_outcome::rejected);
    CHECK(tree.current()->hosts.size() == 1);
    CHECK(subtree_of("hosts/h") == "hosts");
    CHECK(subtree_of("teams/hosts/services/s").empty());
    CHECK(subtree_of("elsewhere").empty());
}

TEST_CASE("no order of offers from platform and peers lets a revision fall") {
    const auto seed = GENERATE(range<std::uint64_t>(1, 101));
    random_source random{seed};
    std::vector<settings_tree> nodes(4);
    revision_number published = 0;
    revision_number last_valid = 0;
    std::vector<subtree_snapshot> history;
    for (int step = 0; step < 200; ++step) {
        const auto index = random.index(nodes.size());
        auto& node = nodes[index];
        const auto before = revision_of(node.digest(), "t");
        const auto action = random.index(4);
        if (action == 0) {
            const bool valid = random.index(3) > 0;
            ++published;
            last_valid = valid ? published : last_valid;
            history.push_back(
                {.subtree = "t",
                 .revision = published,
                 .leaves = {leaf_of("teams/t/workspaces/w", published, valid ? "{}" : "broken")}});
        } else if (action == 1 && !history.empty()) {
            static_cast<void>(
                node.offer(history[random.index(history.size())])); // a platform that may be stale
        } else {
            for (const auto& update : nodes[random.index(nodes.size())].newer_than(node.digest())) {
                static_cast<void>(node.offer(update));
            }
        }
        CHECK(revision_of(node.digest(), "t") >= before);
    }
    const auto newest = history.empty() ? 0 : last_valid;
    for (auto& node : nodes) { // everybody hears of everything in the end
        for (const auto& snapshot : history) {
            static_cast<void>(node.offer(snapshot));
        }
        CHECK(revision_of(node.digest(), "t") >= newest);
    }
}

} // namespace chervilturn
