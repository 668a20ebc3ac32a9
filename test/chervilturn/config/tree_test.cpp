// Acceptance of published settings by subtree and revision; accepted revisions never decrease.
#include "chervilturn/config/tree.hpp"
#include "chervilturn/core/random.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

leaf make_leaf(const std::string& path, revision_number revision, const std::string& value) {
    return {.path = path, .revision = revision, .value = value};
}

const std::string service_value =
    R"({"backend_servers": [{"name": "p1", "node": "10.0.0.1:7000", "data_centre": "a", "slots": 6}]})";

subtree_snapshot team_snapshot(revision_number revision) {
    return {.subtree = "t",
            .revision = revision,
            .leaves = {make_leaf("teams/t/services/s", revision, service_value),
                       make_leaf("teams/t/workspaces/w", revision, "{}")}};
}

} // namespace

TEST_CASE("a team's subtree is accepted as a whole") {
    settings_tree tree;
    REQUIRE(tree.offer(team_snapshot(5)) == offer_outcome::accepted);
    REQUIRE(tree.current()->find_team("t") != nullptr);
    CHECK(tree.current()->find_team("t")->services.at("s").backend_servers.at(0).slots == 6);

    SECTION("an older revision has no effect") {
        auto old = team_snapshot(3);
        old.leaves[1].value = R"({"weight": 7})";
        CHECK(tree.offer(old) == offer_outcome::unchanged);
        CHECK(tree.current()->find_team("t")->workspaces.at("w").weight == 1);
    }
    SECTION("an invalid leaf is rejected with an error and the last accepted revision stays") {
        const subtree_snapshot invalid{.subtree = "t",
                                       .revision = 6,
                                       .leaves = {make_leaf("teams/t/workspaces/w", 6, R"({"weight": 0})")}};
        REQUIRE(tree.offer(invalid) == offer_outcome::rejected);
        const auto error_text = to_string(tree.rejections().at("t").error);
        CHECK(error_text == "teams/t/workspaces/w: at \"weight\": 0 is not a whole number from 1 to 1000");
        CHECK(revision_of(tree.digest(), "t") == 5);

        SECTION("another team's subtree is still accepted") {
            CHECK(tree.offer({.subtree = "u",
                              .revision = 7,
                              .leaves = {make_leaf("teams/u/workspaces/w", 7, "{}")}}) ==
                  offer_outcome::accepted);
        }
        SECTION("a repaired leaf is accepted") {
            const subtree_snapshot repaired{
                .subtree = "t",
                .revision = 8,
                .leaves = {make_leaf("teams/t/workspaces/w", 8, R"({"weight": 2})")}};
            CHECK(tree.offer(repaired) == offer_outcome::accepted);
            CHECK(tree.rejections().empty());
            CHECK(revision_of(tree.digest(), "t") == 8);
        }
        SECTION("a node that received the invalid leaf first accepts the valid leaves from a peer") {
            settings_tree other_tree;
            auto with_invalid_leaf = team_snapshot(5);
            with_invalid_leaf.leaves[1] = invalid.leaves[0];
            with_invalid_leaf.revision = 6;
            REQUIRE(other_tree.offer(with_invalid_leaf) == offer_outcome::rejected);
            for (const auto& update : tree.newer_than(other_tree.digest())) {
                CHECK(other_tree.offer(update) == offer_outcome::accepted);
            }
            CHECK(revision_of(other_tree.digest(), "t") == 5);
            CHECK(other_tree.rejections().contains("t"));
        }
        SECTION("a follower receives the accepted leaves and not the invalid one") {
            settings_tree follower;
            for (const auto& update : tree.newer_than(follower.digest())) {
                CHECK(follower.offer(update) == offer_outcome::accepted);
            }
            CHECK(revision_of(follower.digest(), "t") == 5);
        }
    }
    SECTION("a removed leaf is also removed at a follower") {
        settings_tree follower;
        REQUIRE(follower.offer(team_snapshot(5)) == offer_outcome::accepted);
        leaf removal = make_leaf("teams/t/workspaces/w", 9, "");
        removal.removed = true;
        REQUIRE(tree.offer({.subtree = "t", .revision = 9, .leaves = {removal}}) == offer_outcome::accepted);
        const auto updates = tree.newer_than(follower.digest());
        REQUIRE(updates.size() == 1);
        REQUIRE(follower.offer(updates[0]) == offer_outcome::accepted);
        CHECK(follower.current()->find_team("t")->workspaces.empty());
    }
}

TEST_CASE("a leaf's version orders its states before the revision does") {
    const auto snapshot = [](revision_number revision, const std::string& name, publication_version version,
                             bool complete) {
        auto item = make_leaf("teams/t/workspaces/" + name, revision, "{}");
        item.version = version;
        return subtree_snapshot{.subtree = "t", .revision = revision, .complete = complete, .leaves = {item}};
    };
    const auto names = [](const settings_tree& tree) {
        std::vector<std::string> present;
        for (const auto& [name, found] : tree.current()->find_team("t")->workspaces) {
            present.push_back(name);
        }
        return present;
    };
    settings_tree tree;
    REQUIRE(tree.offer(snapshot(30, "new", 10, true)) == offer_outcome::accepted);

    SECTION("a complete snapshot of an older version removes no newer leaf, whatever its revision") {
        static_cast<void>(tree.offer(snapshot(90, "old", 9, true)));
        CHECK(names(tree) == std::vector<std::string>{"new", "old"});
        CHECK(entry_of(tree.digest(), "t").version == 10);
        CHECK(entry_of(tree.digest(), "t").revision == 90);
    }
    SECTION("a node with an older version and a higher revision gets the newer leaves") {
        settings_tree other;
        REQUIRE(other.offer(snapshot(90, "old", 9, true)) == offer_outcome::accepted);
        CHECK(may_lack(entry_of(other.digest(), "t"), entry_of(tree.digest(), "t")));
        for (const auto& update : tree.newer_than(other.digest())) {
            CHECK(other.offer(update) == offer_outcome::accepted);
        }
        CHECK(names(other) == std::vector<std::string>{"new", "old"});
        CHECK(tree.newer_than(other.digest()).empty());
    }
    SECTION("a removal in a newer version holds against a higher revision of an older one") {
        auto removal = snapshot(31, "new", 11, false);
        removal.leaves[0].removed = true;
        REQUIRE(tree.offer(removal) == offer_outcome::accepted);
        static_cast<void>(tree.offer(snapshot(90, "new", 10, false)));
        CHECK(names(tree).empty());
    }
    SECTION("leaves without a version are ordered by revision, also against a versioned one") {
        const auto state = [](revision_number revision, publication_version version) {
            leaf item = make_leaf("teams/t/workspaces/w", revision, "{}");
            item.version = version;
            return item;
        };
        CHECK(is_newer(state(31, 0), state(30, 10)));
        CHECK_FALSE(is_newer(state(30, 10), state(30, 0)));
    }
}

TEST_CASE("an error message names the invalid member of a leaf") {
    const auto error_for = [](const std::string& path, const std::string& value) {
        const auto checked = check_team("t", {make_leaf(path, 1, value)});
        return succeeded(checked) ? std::string{"accepted"} : to_string(error_of(checked));
    };
    CHECK(error_for("teams/t/workspaces/w", "{").find("valid JSON") != std::string::npos);
    CHECK(
        error_for("teams/t/workspaces/w", R"({"wieght": 2})").find("\"wieght\": 2 is not a known setting") !=
        std::string::npos);
    CHECK(error_for("teams/t/planets/w", "{}").find("\"services\"") != std::string::npos);
    CHECK(error_for("teams/t/routes/r", R"({"service": "none"})").find("a service of the team") !=
          std::string::npos);
    CHECK(error_for("teams/t/data_centres/a", R"({"state": "away"})").find("\"in\", \"out\"") !=
          std::string::npos);
    CHECK(error_for("teams/t/services/s", R"({"backend_servers": [{"name": "p", "node": "nowhere",
                    "data_centre": "a", "slots": 6}]})")
              .find("backend_servers[0].node") != std::string::npos);
    CHECK(error_for("teams/t/workspaces/w", R"({"weight": 18446744073709551615})").find("whole number") !=
          std::string::npos);
    CHECK(error_for("teams/t/workspaces/w", "{} // with a comment") == "accepted");
}

TEST_CASE("nodes with equal revisions and different leaves compare their content") {
    const auto change = [](revision_number revision) {
        const auto path = "teams/t/services/s" + std::to_string(revision);
        return subtree_snapshot{
            .subtree = "t", .revision = revision, .leaves = {make_leaf(path, revision, "{}")}};
    };
    settings_tree whole;
    settings_tree with_hole;
    for (const revision_number revision : {1, 2, 3}) {
        REQUIRE(whole.offer(change(revision)) == offer_outcome::accepted);
        if (revision != 2) {
            REQUIRE(with_hole.offer(change(revision)) == offer_outcome::accepted);
        }
    }
    REQUIRE(revision_of(whole.digest(), "t") == revision_of(with_hole.digest(), "t"));
    for (const auto& update : whole.newer_than(with_hole.digest())) {
        CHECK(with_hole.offer(update) == offer_outcome::accepted);
    }
    CHECK(with_hole.current()->teams.at("t").services.contains("s2"));
    CHECK(with_hole.digest() == whole.digest());
    CHECK(whole.newer_than(with_hole.digest()).empty());

    SECTION("also after removals") {
        const leaf removal{.path = "teams/t/services/s1", .revision = 4, .removed = true, .value = {}};
        REQUIRE(whole.offer({.subtree = "t", .revision = 4, .leaves = {removal}}) == offer_outcome::accepted);
        REQUIRE(with_hole.offer({.subtree = "t", .revision = 4, .leaves = {}}) == offer_outcome::accepted);
        for (const auto& update : whole.newer_than(with_hole.digest())) {
            static_cast<void>(with_hole.offer(update));
        }
        CHECK_FALSE(with_hole.current()->teams.at("t").services.contains("s1"));
        CHECK(with_hole.digest() == whole.digest());
    }
    SECTION("a node of an older version states no content and gets what is newer only") {
        auto older = whole.digest();
        older.front().content = 0;
        CHECK(whole.newer_than(older).empty());
    }
}

TEST_CASE("a deeply nested leaf is refused like any other invalid one") {
    const auto value = std::string(100'000, '[') + std::string(100'000, ']');
    settings_tree tree;
    CHECK(
        tree.offer({.subtree = "t", .revision = 1, .leaves = {make_leaf("teams/t/services/s", 1, value)}}) ==
        offer_outcome::rejected);
    CHECK(tree.offer({.subtree = "t",
                      .revision = 2,
                      .leaves = {make_leaf("teams/t/services/s", 2, R"({"max_queue": )" + value + "}")}}) ==
          offer_outcome::rejected);
    CHECK(tree.offer({.subtree = "hosts", .revision = 1, .leaves = {make_leaf("hosts/h", 1, value)}}) ==
          offer_outcome::rejected);
    CHECK(tree.offer({.subtree = "t", .revision = 3, .leaves = {make_leaf("teams/t/services/s", 3, "{}")}}) ==
          offer_outcome::accepted);
}

TEST_CASE("the host list is validated") {
    settings_tree tree;
    const auto host_snapshot = [](revision_number revision, const std::string& state) {
        return subtree_snapshot{
            .subtree = "hosts",
            .revision = revision,
            .leaves = {make_leaf(
                "hosts/h", revision,
                R"({"hosts": [{"name": "h", "peers": "10.0.0.1:7000", "data_centre": "a", "state": ")" +
                    state + "\"}]}")}};
    };
    REQUIRE(tree.offer(host_snapshot(1, "live")) == offer_outcome::accepted);
    CHECK(tree.offer(host_snapshot(2, "asleep")) == offer_outcome::rejected);
    auto empty = host_snapshot(3, "live");
    empty.leaves[0].removed = true;
    CHECK(tree.offer(empty) == offer_outcome::rejected);
    CHECK(tree.current()->hosts.size() == 1);
    CHECK(subtree_of("hosts/h") == "hosts");
    CHECK(subtree_of("teams/hosts/services/s").empty());
    CHECK(subtree_of("elsewhere").empty());
}

TEST_CASE("accepted revisions never decrease, in any order of offers from platform and peers") {
    const auto seed = GENERATE(range<std::uint64_t>(1, 101));
    random_source random{seed};
    std::vector<settings_tree> nodes(4);
    revision_number published = 0;
    revision_number last_valid = 0;
    std::vector<subtree_snapshot> history;
    for (int round = 0; round < 200; ++round) {
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
                 .leaves = {make_leaf("teams/t/workspaces/w", published, valid ? "{}" : "broken")}});
        } else if (action == 1 && !history.empty()) {
            static_cast<void>(
                node.offer(history[random.index(history.size())])); // the platform may serve an old revision
        } else {
            for (const auto& update : nodes[random.index(nodes.size())].newer_than(node.digest())) {
                static_cast<void>(node.offer(update));
            }
        }
        CHECK(revision_of(node.digest(), "t") >= before);
    }
    const auto newest_valid = history.empty() ? 0 : last_valid;
    for (auto& node : nodes) { // finally every node receives every snapshot
        for (const auto& snapshot : history) {
            static_cast<void>(node.offer(snapshot));
        }
        CHECK(revision_of(node.digest(), "t") >= newest_valid);
    }
}

} // namespace chervilturn
