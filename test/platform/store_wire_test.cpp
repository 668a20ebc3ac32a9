// Tests store_platform against the stand-in for the users' store, over HTTP: pages, watches, lost history and
// refused calls.
#include "platform/store_platform.hpp"

#include "platform/store_stand_in.hpp"
#include "support/raw_peer.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace chervilturn::adapter {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

struct mirror_over_http {
    event_loop loop;
    address store_address = test::free_address();
    test::store_stand_in store{loop, {.page_items = 3, .history = 5}};
    node_settings settings;
    std::unique_ptr<store_platform> platform;

    mirror_over_http() {
        REQUIRE(succeeded(this->store.listen("h1", this->store_address)));
        this->settings.reachable_at = {"127.0.0.1", 7000};
        this->settings.data_centres = {{"north-a", "north"}};
        this->platform = std::make_unique<store_platform>(this->loop, this->settings, this->store_address);
        this->store.put("op/config",
                        json{{"config_version", 1},
                             {"routes",
                              {{"columns", {"name", "host", "path_prefix", "route_type", "service"}},
                               {"rows", {{"r", "h.example", "/a/", "safe", "s1"}}}}},
                             {"services", {{"columns", {"name"}}, {"rows", {{"s1"}}}}}}
                            .dump());
        for (int number = 1; number <= 7; ++number) {
            this->register_server("i-" + std::to_string(number), "ready");
        }
    }

    void register_server(const std::string& id, const char* state) {
        this->store.put("servers/" + id,
                        json{{"address", "127.0.0.9:8000"},
                             {"info", {{"service", "s1"}, {"zone", "north-a"}, {"slots", 6}}},
                             {"status", {{"state", state}, {"seq", 1}, {"cold_left_ms", 0}}}}
                            .dump());
    }

    // Watches once and returns the result.
    [[nodiscard]] result<watch_result, platform_error> watch(microseconds wait = 0ms) {
        std::optional<result<watch_result, platform_error>> outcome;
        this->platform->watch(0, wait, [&](result<watch_result, platform_error> changes) {
            outcome = std::move(changes);
            this->loop.stop();
        });
        while (!outcome) {
            this->loop.run();
        }
        if (succeeded(*outcome)) {
            this->platform->confirm(value_of(*outcome).number);
        }
        return *outcome;
    }

    [[nodiscard]] static bool lists(const result<watch_result, platform_error>& changes,
                                    const std::string& path) {
        const auto& changed = value_of(changes).changed;
        return std::any_of(changed.begin(), changed.end(),
                           [&path](const auto& item) { return item.path == path; });
    }
};

} // namespace

TEST_CASE("the mirror loads and watches the store over HTTP") {
    mirror_over_http mirror;
    const auto first = mirror.watch();
    REQUIRE(succeeded(first));
    CHECK(value_of(first).complete);
    CHECK(mirror.lists(first, "teams/platform/backend_servers/i-7")); // on the third page
    CHECK(mirror.lists(first, "teams/platform/routes/r"));

    SECTION("a watch reports the changed leaves and no others") {
        mirror.register_server("i-2", "draining");
        const auto changes = mirror.watch();
        REQUIRE(succeeded(changes));
        CHECK_FALSE(value_of(changes).complete);
        CHECK(mirror.lists(changes, "hosts/i-2"));
        CHECK_FALSE(mirror.lists(changes, "hosts/i-3"));
    }
    SECTION("a pending watch ends with the next change") {
        timer delayed_change{mirror.loop, [&mirror] { mirror.register_server("i-9", "ready"); }};
        delayed_change.start_once(1ms);
        CHECK(mirror.lists(mirror.watch(10s), "teams/platform/backend_servers/i-9"));
    }
    SECTION("after lost history the next watch reports all leaves") {
        mirror.store.remove("servers/i-1");
        mirror.store.forget_history();
        const auto changes = mirror.watch();
        REQUIRE(succeeded(changes));
        CHECK(value_of(changes).complete);
        CHECK(mirror.lists(changes, "teams/platform/backend_servers/i-2"));
    }
    SECTION("a watch fails while the store is down or throttles, and later ones report the missed changes") {
        for (const auto mode : {test::store_mode::down, test::store_mode::throttled}) {
            mirror.store.set_mode(mode);
            CHECK_FALSE(succeeded(mirror.watch()));
        }
        mirror.store.set_mode(test::store_mode::up);
        mirror.register_server("i-4", "draining");
        const auto changes = mirror.watch();
        REQUIRE(succeeded(changes));
        CHECK(mirror.lists(changes, "hosts/i-4"));
    }
}

} // namespace chervilturn::adapter
