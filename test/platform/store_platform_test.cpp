// The mirror of the store: what it offers after changes, gaps in its knowledge and trouble of the store.
#include "platform/store_platform.hpp"

#include "support/raw_peer.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace chervilturn::adapter {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

// A store that gives prepared answers, one a call.
class scripted_store {
  public:
    explicit scripted_store(event_loop& loop) : where{test::free_address()} {
        auto made = http_server::listen(loop, this->where, {},
                                        [this](const std::shared_ptr<http_exchange>& exchange) {
                                            this->asked.push_back(exchange->request().target);
                                            REQUIRE_FALSE(this->answers.empty());
                                            exchange->respond(this->answers.front());
                                            this->answers.erase(this->answers.begin());
                                        });
        REQUIRE(succeeded(made));
        this->server = value_of(std::move(made));
    }

    void answer(std::uint16_t status, const json& body) {
        this->answers.push_back({.status = status, .headers = {}, .body = body.dump()});
    }

    address where;
    std::vector<std::string> asked;
    std::vector<http_response> answers;

  private:
    std::unique_ptr<http_server> server;
};

json config_item(const char* service, std::uint64_t revision) {
    // The value is the base64 text of a configuration whose only route leads to the service.
    const json config{{"config_version", revision},
                      {"routes",
                       {{"columns", {"name", "host", "path_prefix", "route_type", "service"}},
                        {"rows", {{"r", "h.example", "/a/", "safe", service}}}}},
                      {"services", {{"columns", {"name"}}, {"rows", {{"s1"}, {"s2"}}}}}};
    const auto text = config.dump();
    static constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t bits = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            bits =
                (bits << 8U) | (at + byte < text.size() ? static_cast<unsigned char>(text[at + byte]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            encoded += at + digit > text.size() ? '=' : digits[(bits >> (18U - 6U * digit)) & 63U];
        }
    }
    return {{"key", "op/config"}, {"value", encoded}, {"rev", revision}};
}

struct mirror {
    event_loop loop;
    scripted_store store{loop};
    node_settings settings;
    std::unique_ptr<store_platform> platform;
    settings_tree tree;

    mirror() {
        this->settings.peers = {"127.0.0.1", 7000};
        this->settings.reachable_at = this->settings.peers;
        this->settings.data_centres = {{"dakar-a", "dakar"}};
        this->platform = std::make_unique<store_platform>(this->loop, this->settings, this->store.where);
    }

    // One watch whose changes are read and offered to the tree; false when it failed.
    bool watch() {
        std::optional<bool> outcome;
        this->platform->watch(0, 0ms, [&](const result<watch_result, platform_error>& seen) {
            outcome = succeeded(seen);
            if (succeeded(seen)) {
                this->offer(value_of(seen));
            }
        });
        const auto limit = monotonic_clock::now() + 10s;
        while (!outcome && monotonic_clock::now() < limit) {
            this->step();
        }
        REQUIRE(outcome);
        this->step();
        return *outcome;
    }

    void step() {
        timer pause{this->loop, [this] { this->loop.stop(); }};
        pause.start_once(2ms);
        this->loop.run();
    }

    void offer(const watch_result& seen) {
        auto offered = std::make_shared<std::map<std::string, subtree_snapshot>>();
        for (const auto& item : seen.changed) {
            const auto name = subtree_of(item.path);
            auto& snapshot = (*offered)[name];
            snapshot.subtree = name;
            snapshot.revision = seen.revision;
            snapshot.complete = seen.complete;
            this->platform->read(item.path, [this, offered, name, count = seen.changed.size()](
                                                const result<leaf, platform_error>& got) {
                REQUIRE(succeeded(got));
                (*offered)[name].leaves.push_back(value_of(got));
                std::size_t total = 0;
                for (const auto& [key, held] : *offered) {
                    total += held.leaves.size();
                }
                if (total == count) {
                    for (const auto& [key, held] : *offered) {
                        static_cast<void>(this->tree.offer(held));
                    }
                }
            });
        }
    }

    [[nodiscard]] std::string target() const {
        return this->tree.current()->teams.at(team_name).routes.at("r").service;
    }
};

} // namespace

TEST_CASE("the mirror follows the store") {
    mirror m;
    m.store.answer(200, {{"items", {config_item("s1", 10)}}, {"has_more", false}, {"at_rev", 18}});
    REQUIRE(m.watch());
    CHECK(m.target() == "s1");
    CHECK(m.tree.current()->region_of("dakar-a") == "dakar");

    SECTION("by changes") {
        m.store.answer(200, {{"events", {config_item("s2", 19)}}, {"at_rev", 19}});
        REQUIRE(m.watch());
        CHECK(m.target() == "s2");
    }
    SECTION("over a gap, also where a value went and came back meanwhile") {
        // Another node told of the change in between.
        auto changed = m.tree.newer_than({});
        for (auto& snapshot : changed) {
            for (auto& item : snapshot.leaves) {
                if (item.path.ends_with("routes/r")) {
                    item.revision = 30;
                    item.value = json{{"host", "h.example"}, {"prefix", "/a/"}, {"service", "s2"}}.dump();
                    static_cast<void>(
                        m.tree.offer({.subtree = snapshot.subtree, .revision = 30, .leaves = {item}}));
                }
            }
        }
        REQUIRE(m.target() == "s2");
        m.store.answer(410, json::object());
        m.store.answer(200, {{"items", {config_item("s1", 49)}}, {"has_more", false}, {"at_rev", 49}});
        REQUIRE(m.watch());
        CHECK(m.target() == "s1");
    }
    SECTION("in pages") {
        m.store.answer(410, json::object());
        m.store.answer(200, {{"items", {config_item("s2", 20)}}, {"has_more", true}, {"at_rev", 21}});
        m.store.answer(200, {{"items", json::array()}, {"has_more", false}, {"at_rev", 22}});
        REQUIRE(m.watch());
        CHECK(m.target() == "s2");
        CHECK(m.store.asked.back().find("after=op%2Fconfig") != std::string::npos);
    }
    SECTION("and reports trouble of the store without losing what it has") {
        m.store.answer(503, json::object());
        CHECK_FALSE(m.watch());
        m.store.answer(200, {{"events", json::array()}, {"at_rev", 18}});
        CHECK(m.watch());
        CHECK(m.target() == "s1");
    }
}

} // namespace chervilturn::adapter
