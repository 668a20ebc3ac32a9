// The store returns from a copy that lacks its latest writes, and gives their revisions out again: what was
// confirmed stays in force, and what is written afterwards is in force at all nodes.
#include "platform/store_platform.hpp"
#include "platform/store_stand_in.hpp"

#include "support/raw_peer.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace chervilturn::adapter {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

// A configuration with one route for each of the services, named like them.
std::string config_text(std::uint64_t version, const std::vector<std::string>& services) {
    auto routes = json::array();
    for (const auto& service : services) {
        routes.push_back({service, "h.example", "/" + service + "/", "safe", service});
    }
    return json{
        {"config_version", version},
        {"routes", {{"columns", {"name", "host", "path_prefix", "route_type", "service"}}, {"rows", routes}}},
        {"services", {{"columns", {"name"}}, {"rows", {{"s1"}, {"s2"}, {"s3"}}}}}}
        .dump();
}

std::string server_text(const std::string& ip, const std::string& state) {
    return json{{"address", ip + ":8328"},
                {"info", {{"service", "s1"}, {"zone", "dakar-a"}, {"slots", 6}}},
                {"status", {{"state", state}}}}
        .dump();
}

// A node's mirror of the store and its settings tree.
class node {
  public:
    node(event_loop& loop, const address& store, const store_platform_options& options) : loop{&loop} {
        this->settings.peers = {"127.0.0.1", 7000};
        this->settings.reachable_at = this->settings.peers;
        this->settings.data_centres = {{"dakar-a", "dakar"}, {"tamba-a", "tamba"}};
        this->mirror = std::make_unique<store_platform>(loop, this->settings, store, options);
    }

    // Watches once and offers what the store reports to the tree; false when the watch failed.
    bool watch() {
        std::optional<bool> outcome;
        this->mirror->watch(0, 0ms, [&](const result<watch_result, platform_error>& changes) {
            if (!succeeded(changes)) {
                outcome = false;
                this->loop->stop();
                return;
            }
            this->read(value_of(changes), [&, number = value_of(changes).number] {
                this->mirror->confirm(number);
                outcome = true;
                this->loop->stop();
            });
        });
        while (!outcome) {
            this->loop->run();
        }
        return *outcome;
    }

    // Watches until a watch succeeds.
    void read_store() {
        const auto limit = monotonic_clock::now() + 10s;
        while (!this->watch()) {
            REQUIRE(monotonic_clock::now() < limit);
        }
    }

    // Takes from another node what that one has and this one lacks.
    void learn_from(const node& other) {
        for (const auto& update : other.tree.newer_than(this->tree.digest())) {
            static_cast<void>(this->tree.offer(update));
        }
    }

    [[nodiscard]] std::set<std::string> routes() const {
        std::set<std::string> names;
        for (const auto& [name, route] : this->tree.current()->teams.at(team_name).routes->by_name) {
            names.insert(name);
        }
        return names;
    }

    [[nodiscard]] bool in_service(const std::string& data_centre) const {
        return this->tree.current()->in_service(team_name, data_centre);
    }

    // "ready", "leaving" or "gone".
    [[nodiscard]] std::string state_of(const std::string& id) const {
        const auto& current = *this->tree.current();
        for (const auto& server : current.teams.at(team_name).services.at("s1").backend_servers) {
            if (server.name == id) {
                return current.is_leaving(server.node) ? "leaving" : "ready";
            }
        }
        return "gone";
    }

  private:
    void read(const watch_result& changes, const std::function<void()>& on_done) {
        auto snapshots = std::make_shared<std::map<std::string, subtree_snapshot>>();
        auto unread = std::make_shared<std::size_t>(changes.changed.size());
        if (changes.changed.empty()) {
            on_done();
            return;
        }
        for (const auto& item : changes.changed) {
            auto& snapshot = (*snapshots)[subtree_of(item.path)];
            snapshot.subtree = subtree_of(item.path);
            snapshot.revision =
                changes.complete ? changes.revision : std::max(snapshot.revision, item.revision);
            snapshot.complete = changes.complete;
            this->mirror->read(
                item.path, [this, snapshots, unread, on_done](const result<leaf, platform_error>& read_leaf) {
                    (*snapshots)[subtree_of(value_of(read_leaf).path)].leaves.push_back(value_of(read_leaf));
                    if (--*unread == 0) {
                        for (const auto& [name, finished] : *snapshots) {
                            static_cast<void>(this->tree.offer(finished));
                        }
                        on_done();
                    }
                });
        }
    }

    event_loop* loop;
    node_settings settings;
    std::unique_ptr<store_platform> mirror;
    settings_tree tree;
};

struct fleet {
    event_loop loop;
    test::store_stand_in store{loop, {.page_items = 3}};
    address store_address = test::free_address();

    fleet() {
        REQUIRE(succeeded(this->store.listen("h", this->store_address)));
        this->store.put("op/config", config_text(8, {"s1"}));
        this->store.put("servers/i-1", server_text("10.0.0.1", "ready"));
        this->store.put("servers/i-2", server_text("10.0.0.2", "ready"));
    }

    [[nodiscard]] node make_node(const store_platform_options& options = {}) {
        return {this->loop, this->store_address, options};
    }
};

} // namespace

TEST_CASE("a change under a revision that the restored store gives out again is in force at all nodes") {
    fleet f;
    auto reader = f.make_node();
    auto follower = f.make_node();
    reader.read_store();
    f.store.save_copy();
    f.store.put("op/config", config_text(9, {"s1", "s2"}));
    reader.read_store();
    follower.learn_from(reader);
    REQUIRE(follower.routes() == std::set<std::string>{"s1", "s2"});
    f.store.restore();

    SECTION("when the reader saw the restoration before the change") {
        reader.read_store();
        follower.learn_from(reader);
        f.store.put("op/config", config_text(12, {"s1", "s3"}));
        reader.read_store();
        follower.learn_from(reader);
        CHECK(reader.routes() == std::set<std::string>{"s1", "s3"});
        CHECK(follower.routes() == std::set<std::string>{"s1", "s3"});
    }
    SECTION("when the store has given out the watched revision again before the reader asks") {
        f.store.put("servers/i-3", server_text("10.0.0.3", "ready"));
        f.store.put("op/config", config_text(12, {"s1", "s3"}));
        f.store.put("servers/i-4", server_text("10.0.0.4", "ready"));
        reader.read_store();
        follower.learn_from(reader);
        CHECK(follower.routes() == std::set<std::string>{"s1", "s3"});
        CHECK(follower.state_of("i-3") == "ready");
        CHECK(follower.state_of("i-4") == "ready");
    }
    SECTION("when the store is restored twice") {
        f.store.put("op/config", config_text(10, {"s1", "s2", "s3"}));
        reader.read_store();
        f.store.restore();
        reader.read_store();
        CHECK(reader.routes() == std::set<std::string>{"s1", "s2", "s3"});
        f.store.put("op/config", config_text(12, {"s3"}));
        reader.read_store();
        follower.learn_from(reader);
        CHECK(follower.routes() == std::set<std::string>{"s3"});
    }
    SECTION("when a failed call shows the restoration first") {
        f.store.set_mode(test::store_mode::down);
        CHECK_FALSE(reader.watch());
        f.store.set_mode(test::store_mode::up);
        f.store.put("op/config", config_text(12, {"s3"}));
        reader.read_store();
        follower.learn_from(reader);
        CHECK(follower.routes() == std::set<std::string>{"s3"});
    }
}

TEST_CASE("a restored store's older configuration replaces no newer one") {
    fleet f;
    auto reader = f.make_node();
    reader.read_store();
    f.store.save_copy();
    f.store.put("op/config", config_text(9, {"s2", "s3"}));
    reader.read_store();
    f.store.restore();
    reader.read_store();
    CHECK(reader.routes() == std::set<std::string>{"s2", "s3"});

    SECTION("a node that starts afterwards takes the newer one from its peers, whoever asks first") {
        auto restarted = f.make_node();
        f.store.put("servers/i-9", server_text("10.0.0.9", "ready"));
        restarted.read_store();
        CHECK(restarted.routes() == std::set<std::string>{"s1"});
        const bool peer_first = GENERATE(true, false);
        if (peer_first) {
            reader.learn_from(restarted);
            CHECK(reader.routes() == std::set<std::string>{"s2", "s3"});
            CHECK(reader.state_of("i-9") == "ready");
        }
        restarted.learn_from(reader);
        reader.learn_from(restarted);
        CHECK(restarted.routes() == std::set<std::string>{"s2", "s3"});
        CHECK(reader.routes() == std::set<std::string>{"s2", "s3"});
    }
    SECTION("a node that knows the newer one only from a peer keeps it when it reads the store") {
        auto follower = f.make_node();
        follower.learn_from(reader);
        follower.read_store();
        CHECK(follower.routes() == std::set<std::string>{"s2", "s3"});
    }
    SECTION("the same configuration written again stays in force, and the next one is taken") {
        f.store.put("op/config", config_text(9, {"s2", "s3"}));
        reader.read_store();
        CHECK(reader.routes() == std::set<std::string>{"s2", "s3"});
        f.store.put("op/config", config_text(14, {"s1"}));
        reader.read_store();
        CHECK(reader.routes() == std::set<std::string>{"s1"});
    }
}

TEST_CASE("outdated entries of a restored store take no effect until they settle") {
    fleet f;
    auto reader = f.make_node({.evacuation_settle_time = 50ms, .server_settle_time = 50ms});
    auto patient = f.make_node();
    f.store.put("op/evacuate/tamba-a", "{}");
    reader.read_store();
    patient.read_store();
    f.store.save_copy();
    f.store.remove("op/evacuate/tamba-a");
    f.store.put("op/evacuate/dakar-a", "{}");
    f.store.put("servers/i-1", server_text("10.0.0.1", "draining"));
    f.store.remove("servers/i-2");
    f.store.put("servers/i-3", server_text("10.0.0.3", "ready"));
    reader.read_store();
    patient.read_store();
    f.store.restore();
    patient.read_store();

    SECTION("what was confirmed stays in force") {
        CHECK(patient.in_service("tamba-a"));
        CHECK_FALSE(patient.in_service("dakar-a"));
        CHECK(patient.state_of("i-1") == "leaving");
        CHECK(patient.state_of("i-2") == "gone");
        CHECK(patient.state_of("i-3") == "ready");
    }
    SECTION("what is written again is in force at once") {
        f.store.put("op/evacuate/dakar-a", "{}");
        f.store.remove("op/evacuate/dakar-a");
        f.store.put("servers/i-1", server_text("10.0.0.1", "ready"));
        f.store.put("servers/i-2", server_text("10.0.0.2", "ready"));
        f.store.put("op/evacuate/tamba-a", "{\"again\": 1}");
        patient.read_store();
        CHECK(patient.in_service("dakar-a"));
        CHECK_FALSE(patient.in_service("tamba-a"));
        CHECK(patient.state_of("i-1") == "ready");
        CHECK(patient.state_of("i-2") == "ready");
    }
    SECTION("a node that never saw the newer state takes it from one that did") {
        auto restarted = f.make_node();
        restarted.read_store();
        REQUIRE(restarted.state_of("i-1") == "ready");
        restarted.learn_from(patient);
        CHECK(restarted.state_of("i-1") == "leaving");
        CHECK(restarted.state_of("i-2") == "gone");
        CHECK_FALSE(restarted.in_service("dakar-a"));
        CHECK(restarted.in_service("tamba-a"));
    }
    SECTION("after the settle time the store's state applies, also where peers keep the confirmed one") {
        const auto limit = monotonic_clock::now() + 10s;
        while (!reader.in_service("dakar-a") && monotonic_clock::now() < limit) {
            reader.read_store();
        }
        CHECK(reader.in_service("dakar-a"));
        CHECK_FALSE(reader.in_service("tamba-a"));
        CHECK(reader.state_of("i-1") == "ready");
        CHECK(reader.state_of("i-2") == "ready");
        patient.learn_from(reader);
        CHECK(patient.state_of("i-1") == "ready");
    }
}

TEST_CASE("pages and responses of another era are told apart") {
    fleet f;
    for (int number = 3; number < 9; ++number) {
        f.store.put("servers/i-" + std::to_string(number),
                    server_text("10.0.0." + std::to_string(number), "ready"));
    }
    auto reader = f.make_node();
    f.store.save_copy();
    f.store.put("op/config", config_text(20, {"s2"}));

    SECTION("a restoration between two pages starts the load again") {
        f.store.on_call([&f, count = 0]() mutable {
            if (++count == 2) {
                f.store.restore();
                f.store.put("op/config", config_text(21, {"s3"}));
            }
        });
        reader.read_store();
        CHECK(reader.routes() == std::set<std::string>{"s3"});
        CHECK(reader.state_of("i-8") == "ready");
    }
    SECTION("a response of an earlier era changes nothing") {
        f.store.restore();
        reader.read_store();
        f.store.set_era(1);
        f.store.put("op/config", config_text(30, {"s3"}));
        CHECK_FALSE(reader.watch());
        CHECK(reader.routes() == std::set<std::string>{"s1"});
        f.store.set_era(2);
        reader.read_store();
        CHECK(reader.routes() == std::set<std::string>{"s3"});
    }
    SECTION("a response without an era counts as of the present one") {
        reader.read_store();
        f.store.set_era(0);
        f.store.put("op/config", config_text(30, {"s3"}));
        reader.read_store();
        CHECK(reader.routes() == std::set<std::string>{"s3"});
    }
}

} // namespace chervilturn::adapter
