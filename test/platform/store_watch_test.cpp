// What store_platform reports when the store cuts a watch that waits, and when the grace period of a removal
// ends while a watch waits.
#include "platform/store_platform.hpp"

#include "support/raw_peer.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace chervilturn::adapter {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr const char* server_path = "teams/platform/backend_servers/i-1";

// A store whose connections a test can cut, and the adapter that reads it.
struct cut_store {
    event_loop loop;
    test::raw_server store{loop};
    node_settings settings;
    std::unique_ptr<store_platform> platform;
    std::size_t calls_answered = 0;
    std::optional<result<watch_result, platform_error>> reported; // by the latest watch

    cut_store() {
        this->settings.peers = {"127.0.0.1", 7000};
        this->settings.reachable_at = this->settings.peers;
        this->settings.data_centres = {{"dakar-a", "dakar"}};
        this->platform =
            std::make_unique<store_platform>(this->loop, this->settings, this->store.local_address());
        // {"address":"127.0.0.9:8000","info":{"service":"s","zone":"dakar-a","slots":6},
        //  "status":{"state":"ready"}}, as base64
        const std::string entry =
            "eyJhZGRyZXNzIjoiMTI3LjAuMC45OjgwMDAiLCJpbmZvIjp7InNlcnZpY2UiOiJzIiwiem9uZSI6ImRha2FyLWEi"
            "LCJzbG90cyI6Nn0sInN0YXR1cyI6eyJzdGF0ZSI6InJlYWR5In19";
        this->watch();
        this->answer({{"items", {{{"key", "servers/i-1"}, {"value", entry}, {"rev", 9}}}},
                      {"has_more", false},
                      {"at_rev", 10}});
        REQUIRE(this->lists_server());
    }

    void watch() {
        this->reported.reset();
        this->platform->watch(0, 20s, [this](result<watch_result, platform_error> changes) {
            this->reported = std::move(changes);
        });
    }

    [[nodiscard]] std::size_t calls() const {
        const auto received = this->store.received();
        std::size_t count = 0;
        for (auto found = received.find("GET /"); found != std::string::npos;
             found = received.find("GET /", found + 1)) {
            ++count;
        }
        return count;
    }

    // Waits for the next call on the present connection.
    void await_call() {
        REQUIRE(test::wait_for(this->loop, [this] { return this->calls() > this->calls_answered; }));
        ++this->calls_answered;
    }

    void respond(std::uint16_t status, const json& body) {
        const auto text = body.dump();
        this->store.write("HTTP/1.1 " + std::to_string(status) +
                          " X\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
    }

    // Answers the next call, and waits for what the watch reports.
    void answer(const json& body, std::uint16_t status = 200) {
        this->await_call();
        this->respond(status, body);
        this->await_report();
    }

    void await_report() {
        REQUIRE(test::wait_for(this->loop, [this] { return this->reported.has_value(); }));
        if (succeeded(*this->reported)) {
            this->platform->confirm(value_of(*this->reported).number);
        }
    }

    // Waits for the next call and closes its connection; the following call comes on another one.
    void cut() {
        this->await_call();
        const auto connections = this->store.accepted();
        this->store.end();
        REQUIRE(test::wait_for(this->loop, [&] { return this->store.accepted() > connections; }));
        this->calls_answered = 0;
    }

    [[nodiscard]] bool lists_server() {
        bool listed = false;
        this->platform->read(server_path, [&listed](const result<leaf, platform_error>& found) {
            listed = succeeded(found) && !value_of(found).removed;
        });
        timer step{this->loop, [this] { this->loop.stop(); }};
        step.start_once(1ms);
        this->loop.run();
        return listed;
    }

    [[nodiscard]] static json removal(std::uint64_t revision) {
        return {{"events", {{{"key", "servers/i-1"}, {"rev", revision}, {"removed", true}}}},
                {"at_rev", revision}};
    }
};

} // namespace

// Guards against backend servers that get calls after they were removed, because the store had cut watches.
TEST_CASE("a watch that the store cuts is no failure of the store") {
    cut_store store;
    store.watch();
    store.cut();

    SECTION("if the next call is answered: a removal counts at once, however often watches are cut") {
        store.answer({{"events", json::array()}, {"at_rev", 10}});
        REQUIRE(succeeded(*store.reported));
        store.watch();
        store.cut();
        store.answer(cut_store::removal(11));
        REQUIRE(succeeded(*store.reported));
        CHECK_FALSE(store.lists_server());
    }
    SECTION("but it is one if the next call fails, too: a removal then has its grace period") {
        store.answer(json::object(), 503);
        REQUIRE_FALSE(succeeded(*store.reported));
        store.watch();
        store.answer(cut_store::removal(11));
        CHECK(store.lists_server());
    }
}

// Guards against a grace period that ends with the store's next answer only.
TEST_CASE("a grace period that ends is reported while the watch waits") {
    cut_store store;
    store.watch();
    store.answer(json::object(), 503);
    store.watch();
    store.answer(cut_store::removal(11));
    REQUIRE(store.lists_server());
    store.watch();
    store.await_call(); // and it is not answered
    store.await_report();
    REQUIRE(succeeded(*store.reported));
    CHECK_FALSE(store.lists_server());

    SECTION("and the next watch goes on from the same revision") {
        store.watch();
        REQUIRE(test::wait_for(store.loop, [&] {
            return store.store.received().find("kv-watch?path_prefix=&after=11") != std::string::npos;
        }));
    }
}

} // namespace chervilturn::adapter
