// The mirror of the store against a store that speaks the users' wire: pages, watches, lost history,
// refusals.
#include "platform/store_platform.hpp"

#include "platform/store_stand_in.hpp"
#include "support/raw_peer.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace chervilturn::adapter {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

struct wired_mirror {
    event_loop loop;
    address where = test::free_address();
    test::store_stand_in store{loop, {.page_items = 3, .history = 5}};
    node_settings settings;
    std::unique_ptr<store_platform> platform;

    wired_mirror() {
        REQUIRE(succeeded(this->store.listen("h1", this->where)));
        this->settings.reachable_at = {"127.0.0.1", 7000};
        this->settings.data_centres = {{"north-a", "north"}};
        this->platform = std::make_unique<store_platform>(this->loop, this->settings, this->where);
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

    // The result of one watch.
    [[nodiscard]] result<watch_result, platform_error> watch(microseconds wait = 0ms) {
        std::optional<result<watch_result, platform_error>> outcome;
        this->platform->watch(0, wait, [&](result<watch_result, platform_error> seen) {
            outcome = std::move(seen);
            this->loop.stop();
        });
        while (!outcome) {
            this->loop.run();
        }
        return *outcome;
    }

    [[nodiscard]] static bool lists(const result<watch_result, platform_error>& seen,
                                    const std::string& path) {
        const auto& changed = value_of(seen).changed;
        return std::any_of(changed.begin(), changed.end(),
                           [&path](const auto& item) { return item.path == path; });
    }
};

} // namespace

TEST_CASE("the mirror speaks the users' wire") {
    wired_mirror m;
    const auto first = m.watch();
    REQUIRE(succeeded(first));
    CHECK(value_of(first).complete);
    CHECK(m.lists(first, "teams/platform/backend_servers/i-7")); // of the third page
    CHECK(m.lists(first, "teams/platform/routes/r"));

    SECTION("a watch brings what changed, and nothing else") {
        m.register_server("i-2", "draining");
        const auto seen = m.watch();
        REQUIRE(succeeded(seen));
        CHECK_FALSE(value_of(seen).complete);
        CHECK(m.lists(seen, "hosts/i-2"));
        CHECK_FALSE(m.lists(seen, "hosts/i-3"));
    }
    SECTION("a waiting watch is answered by the change") {
        timer later{m.loop, [&m] { m.register_server("i-9", "ready"); }};
        later.start_once(1ms);
        CHECK(m.lists(m.watch(10s), "teams/platform/backend_servers/i-9"));
    }
    SECTION("lost history leads to a complete reading") {
        m.store.remove("servers/i-1");
        m.store.forget_history();
        const auto seen = m.watch();
        REQUIRE(succeeded(seen));
        CHECK(value_of(seen).complete);
        CHECK(m.lists(seen, "teams/platform/backend_servers/i-2"));
    }
    SECTION("a store that is down or throttles fails the watch, and later ones go on from there") {
        for (const auto mode : {test::store_mode::down, test::store_mode::throttled}) {
            m.store.set_mode(mode);
            CHECK_FALSE(succeeded(m.watch()));
        }
        m.store.set_mode(test::store_mode::up);
        m.register_server("i-4", "draining");
        const auto seen = m.watch();
        REQUIRE(succeeded(seen));
        CHECK(m.lists(seen, "hosts/i-4"));
    }
}

} // namespace chervilturn::adapter
