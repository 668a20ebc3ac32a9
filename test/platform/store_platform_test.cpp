// Tests the leaves that store_platform reports after changes, lost history and failures of the store, with
// prepared responses.
#include "platform/store_platform.hpp"

#include "support/raw_peer.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace chervilturn::adapter {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

// A store that sends prepared responses, one per call.
class scripted_store {
  public:
    explicit scripted_store(event_loop& loop) : listen_address{test::free_address()} {
        auto new_server = http_server::listen(loop, this->listen_address, {},
                                              [this](const std::shared_ptr<http_exchange>& exchange) {
                                                  this->targets.push_back(exchange->request().target);
                                                  REQUIRE_FALSE(this->answers.empty());
                                                  exchange->respond(this->answers.front());
                                                  this->answers.erase(this->answers.begin());
                                              });
        REQUIRE(succeeded(new_server));
        this->server = value_of(std::move(new_server));
    }

    void answer(std::uint16_t status, const json& body) {
        this->answers.push_back({.status = status, .headers = {}, .body = body.dump()});
    }

    address listen_address;
    std::vector<std::string> targets;
    std::vector<http_response> answers;

  private:
    std::unique_ptr<http_server> server;
};

json config_item(const char* service, std::uint64_t revision) {
    // The value is a configuration, encoded as base64, whose only route leads to the service.
    const json config{{"config_version", revision},
                      {"routes",
                       {{"columns", {"name", "host", "path_prefix", "route_type", "service"}},
                        {"rows", {{"r", "h.example", "/a/", "safe", service}}}}},
                      {"services", {{"columns", {"name"}}, {"rows", {{"s1"}, {"s2"}}}}}};
    const auto text = config.dump();
    static constexpr std::string_view base64_digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t offset = 0; offset < text.size(); offset += 3) {
        std::uint32_t bits = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            bits = (bits << 8U) |
                   (offset + byte < text.size() ? static_cast<unsigned char>(text[offset + byte]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            encoded += offset + digit > text.size() ? '=' : base64_digits[(bits >> (18U - 6U * digit)) & 63U];
        }
    }
    return {{"key", "op/config"}, {"value", encoded}, {"rev", revision}};
}

struct mirrored_tree {
    event_loop loop;
    scripted_store store{loop};
    node_settings settings;
    std::unique_ptr<store_platform> platform;
    settings_tree tree;
    std::size_t reported_leaves = 0; // by the latest watch

    mirrored_tree() {
        this->settings.peers = {"127.0.0.1", 7000};
        this->settings.reachable_at = this->settings.peers;
        this->settings.data_centres = {{"dakar-a", "dakar"}};
        this->platform =
            std::make_unique<store_platform>(this->loop, this->settings, this->store.listen_address);
    }

    // Watches once, and reads all reported leaves and offers them to the tree. False when the watch failed.
    bool watch() {
        std::optional<bool> outcome;
        this->platform->watch(0, 0ms, [&](const result<watch_result, platform_error>& changes) {
            outcome = succeeded(changes);
            if (succeeded(changes)) {
                this->reported_leaves = value_of(changes).changed.size();
                this->offer(value_of(changes));
            }
        });
        const auto limit = monotonic_clock::now() + 10s;
        while (!outcome && monotonic_clock::now() < limit) {
            this->run_briefly();
        }
        REQUIRE(outcome);
        this->run_briefly();
        return *outcome;
    }

    // Runs the loop for two milliseconds.
    void run_briefly() {
        timer pause{this->loop, [this] { this->loop.stop(); }};
        pause.start_once(2ms);
        this->loop.run();
    }

    // Reads all reported leaves. When the last one is read, offers them to the tree, one snapshot per
    // subtree.
    void offer(const watch_result& changes) {
        auto snapshots = std::make_shared<std::map<std::string, subtree_snapshot>>();
        for (const auto& item : changes.changed) {
            const auto name = subtree_of(item.path);
            auto& snapshot = (*snapshots)[name];
            snapshot.subtree = name;
            snapshot.revision = changes.revision;
            snapshot.complete = changes.complete;
            this->platform->read(
                item.path, [this, snapshots, name, number = changes.number,
                            count = changes.changed.size()](const result<leaf, platform_error>& read_leaf) {
                    REQUIRE(succeeded(read_leaf));
                    (*snapshots)[name].leaves.push_back(value_of(read_leaf));
                    std::size_t total = 0;
                    for (const auto& [key, subtree_changes] : *snapshots) {
                        total += subtree_changes.leaves.size();
                    }
                    if (total == count) {
                        for (const auto& [key, subtree_changes] : *snapshots) {
                            static_cast<void>(this->tree.offer(subtree_changes));
                        }
                        this->platform->confirm(number);
                    }
                });
        }
    }

    // A peer sends the route with another service, as of a revision and version.
    void receive_route(const std::string& service, std::uint64_t revision) {
        const auto path = std::string{teams_prefix} + team_name + "/routes/r";
        const auto value = json{{"host", "h.example"}, {"prefix", "/a/"}, {"service", service}}.dump();
        static_cast<void>(this->tree.offer({.subtree = team_name,
                                            .revision = revision,
                                            .leaves = {{.path = path,
                                                        .revision = revision,
                                                        .removed = false,
                                                        .value = value,
                                                        .version = revision}}}));
    }

    // The service of the only route.
    [[nodiscard]] std::string route_service() const {
        return this->tree.current()->teams.at(team_name).routes->find("r")->service;
    }
};

} // namespace

TEST_CASE("a route that changed and changed back is as in the store, also when a peer sent the value between",
          "[changed_back]") {
    mirrored_tree mirror;
    mirror.store.answer(200, {{"items", {config_item("s1", 10)}}, {"has_more", false}, {"at_rev", 18}});
    REQUIRE(mirror.watch());
    mirror.receive_route("s2", 19);
    REQUIRE(mirror.route_service() == "s2");
    mirror.store.answer(200, {{"events", {config_item("s2", 19), config_item("s1", 20)}}, {"at_rev", 20}});
    REQUIRE(mirror.watch());
    CHECK(mirror.route_service() == "s1");
}

TEST_CASE("what differs from the store in settings with other sources is reported again, without a call",
          "[changed_back]") {
    mirrored_tree mirror;
    mirror.store.answer(200, {{"items", {config_item("s1", 10)}}, {"has_more", false}, {"at_rev", 18}});
    REQUIRE(mirror.watch());
    mirror.store.answer(200, {{"events", json::array()}, {"at_rev", 25}});
    REQUIRE(mirror.watch());
    REQUIRE(mirror.platform->reconcile(mirror.tree) == 0);
    const std::string route_path = std::string{teams_prefix} + team_name + "/routes/r";
    const std::string other_path = std::string{teams_prefix} + team_name + "/routes/other";
    // Of version 10 as the mirror's leaves, and a later revision than theirs, up to which the reader read.
    const auto receive = [&](const std::string& path, bool removed) {
        const std::string value = removed ? "" : R"({"host": "h.example", "prefix": "/b/", "service": "s2"})";
        static_cast<void>(mirror.tree.offer(
            {.subtree = team_name,
             .revision = 20,
             .leaves = {{.path = path, .revision = 20, .removed = removed, .value = value, .version = 10}}}));
    };
    const auto has_route = [&](const char* name) {
        const auto& routes = mirror.tree.current()->teams.at(team_name).routes;
        return routes != nullptr && routes->find(name) != nullptr;
    };
    const auto calls = mirror.store.targets.size();

    SECTION("a value that the reader never read") {
        receive(route_path, false);
        REQUIRE(mirror.route_service() == "s2");
        CHECK(mirror.platform->reconcile(mirror.tree) == 1);
        REQUIRE(mirror.watch());
        CHECK(mirror.route_service() == "s1");
    }
    SECTION("a removal that the store does not have") {
        receive(route_path, true);
        REQUIRE_FALSE(has_route("r"));
        CHECK(mirror.platform->reconcile(mirror.tree) == 1);
        REQUIRE(mirror.watch());
        CHECK(mirror.route_service() == "s1");
    }
    SECTION("a leaf that the store does not have") {
        receive(other_path, false);
        REQUIRE(has_route("other"));
        CHECK(mirror.platform->reconcile(mirror.tree) == 1);
        REQUIRE(mirror.watch());
        CHECK_FALSE(has_route("other"));
    }
    SECTION("but nothing that is newer than what was read") {
        mirror.receive_route("s2", 26);
        CHECK(mirror.platform->reconcile(mirror.tree) == 0);
        CHECK(mirror.route_service() == "s2");
    }
    CHECK(mirror.store.targets.size() == calls);
    CHECK(mirror.platform->reconcile(mirror.tree) == 0);

    SECTION("and nothing again that was offered and is not valid") {
        mirror.store.answer(200, {{"events", {config_item("unknown", 27)}}, {"at_rev", 27}});
        REQUIRE(mirror.watch());
        REQUIRE(mirror.tree.rejections().contains(team_name));
        CHECK(mirror.platform->reconcile(mirror.tree) == 0);
    }
}

TEST_CASE("the mirror reports the current leaves of the store") {
    mirrored_tree mirror;
    mirror.store.answer(200, {{"items", {config_item("s1", 10)}}, {"has_more", false}, {"at_rev", 18}});
    REQUIRE(mirror.watch());
    CHECK(mirror.route_service() == "s1");
    CHECK(mirror.tree.current()->region_of("dakar-a") == "dakar");

    SECTION("after a change of the configuration") {
        mirror.store.answer(200, {{"events", {config_item("s2", 19)}}, {"at_rev", 19}});
        REQUIRE(mirror.watch());
        CHECK(mirror.route_service() == "s2");
    }
    SECTION("after several changes of an item in one response, also when the last one is as before") {
        mirror.store.answer(200,
                            {{"events", {config_item("s2", 19), config_item("s1", 20)}}, {"at_rev", 20}});
        REQUIRE(mirror.watch());
        CHECK(mirror.route_service() == "s1");
        CHECK(mirror.reported_leaves == 1);
    }
    SECTION("after lost history, also when a value changed and changed back in between") {
        // Another node sent the intermediate value.
        auto changed = mirror.tree.newer_than({});
        for (auto& snapshot : changed) {
            for (auto& item : snapshot.leaves) {
                if (item.path.ends_with("routes/r")) {
                    item.revision = 30;
                    item.value = json{{"host", "h.example"}, {"prefix", "/a/"}, {"service", "s2"}}.dump();
                    static_cast<void>(
                        mirror.tree.offer({.subtree = snapshot.subtree, .revision = 30, .leaves = {item}}));
                }
            }
        }
        REQUIRE(mirror.route_service() == "s2");
        mirror.store.answer(410, json::object());
        mirror.store.answer(200, {{"items", {config_item("s1", 49)}}, {"has_more", false}, {"at_rev", 49}});
        REQUIRE(mirror.watch());
        CHECK(mirror.route_service() == "s1");
    }
    SECTION("when the items come in several pages") {
        mirror.store.answer(410, json::object());
        mirror.store.answer(200, {{"items", {config_item("s2", 20)}}, {"has_more", true}, {"at_rev", 21}});
        mirror.store.answer(200, {{"items", json::array()}, {"has_more", false}, {"at_rev", 22}});
        REQUIRE(mirror.watch());
        CHECK(mirror.route_service() == "s2");
        CHECK(mirror.store.targets.back().find("after=op%2Fconfig") != std::string::npos);
    }
    SECTION("after a failed watch, with all earlier leaves") {
        mirror.store.answer(503, json::object());
        CHECK_FALSE(mirror.watch());
        mirror.store.answer(200, {{"events", json::array()}, {"at_rev", 18}});
        CHECK(mirror.watch());
        CHECK(mirror.route_service() == "s1");
    }
}

} // namespace chervilturn::adapter
