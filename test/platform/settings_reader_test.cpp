// A reader that is interrupted, and starts or stops at any moment, still hands over every change of the
// store.
#include "chervilturn/node/settings_reader.hpp"

#include "platform/store_platform.hpp"
#include "platform/store_stand_in.hpp"

#include "support/raw_peer.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace chervilturn::adapter {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

std::string config_text(std::uint64_t version, std::size_t route_count) {
    auto routes = json::array();
    for (std::size_t index = 0; index < route_count; ++index) {
        const auto name = "r" + std::to_string(index);
        routes.push_back({name, "h.example", "/" + name + "/", "safe", "s"});
    }
    return json{
        {"config_version", version},
        {"routes", {{"columns", {"name", "host", "path_prefix", "route_type", "service"}}, {"rows", routes}}},
        {"services", {{"columns", {"name"}}, {"rows", {{"s"}}}}}}
        .dump();
}

std::string server_text(std::size_t number, const std::string& state) {
    return json{{"address", "127.0.1." + std::to_string(number) + ":8328"},
                {"info", {{"service", "s"}, {"zone", "dakar-a"}, {"slots", 6}}},
                {"status", {{"state", state}}}}
        .dump();
}

// The adapter, with a handler that is called after each result of a watch is delivered.
class observed_platform final : public platform {
  public:
    observed_platform(std::unique_ptr<platform> inner, std::function<void()>& handler)
        : observed{std::move(inner)}, on_result{&handler} {}

    void watch(revision_number after, microseconds wait, watch_handler handler) override {
        this->observed->watch(
            after, wait,
            [this, handler = std::move(handler)](const result<watch_result, platform_error>& changes) {
                handler(changes);
                if (*this->on_result) {
                    (*this->on_result)();
                }
            });
    }

    void read(const std::string& path, read_handler handler) override {
        this->observed->read(path, std::move(handler));
    }

    void confirm(std::uint64_t result_number) override { this->observed->confirm(result_number); }

    [[nodiscard]] std::size_t reconcile(const settings_tree& held) override {
        return this->observed->reconcile(held);
    }

  private:
    std::unique_ptr<platform> observed;
    std::function<void()>* on_result;
};

// The store, and one node's reader and settings tree.
struct reading_node {
    event_loop loop;
    address store_address = test::free_address();
    test::store_stand_in store{loop, {}};
    metrics stats;
    node_context context;
    settings_tree tree;
    std::function<void()> on_result; // called after each result of a watch
    std::unique_ptr<settings_reader> reader;

    reading_node() {
        REQUIRE(succeeded(this->store.listen("store", this->store_address)));
        this->context.loop = &this->loop;
        this->context.stats = &this->stats;
        this->context.incarnation = 1;
        this->context.settings.peers = {"127.0.0.1", 7000};
        this->context.settings.reachable_at = this->context.settings.peers;
        this->context.settings.data_centres = {{"dakar-a", "dakar"}};
        this->context.settings.reading.wait = 50ms;
        this->context.settings.reading.pause = 1ms;
        this->reader = this->new_reader(this->tree, this->on_result);
    }

    std::unique_ptr<settings_reader> new_reader(settings_tree& target, std::function<void()>& handler) {
        auto platform = std::make_unique<observed_platform>(
            std::make_unique<store_platform>(this->loop, this->context.settings, this->store_address),
            handler);
        return std::make_unique<settings_reader>(this->context, std::move(platform), target,
                                                 [&target](const std::vector<subtree_snapshot>& batch) {
                                                     for (const auto& snapshot : batch) {
                                                         static_cast<void>(target.offer(snapshot));
                                                     }
                                                 });
    }

    void run_until(const std::function<bool()>& condition) { REQUIRE(test::wait_for(this->loop, condition)); }

    // Starts with a configuration of one route and one backend server, and waits until they are read.
    void start() {
        this->store.put("op/config", config_text(4, 1));
        this->store.put("servers/i-1", server_text(1, "ready"));
        this->reader->activate(0ms);
        this->run_until([this] { return this->reader->revision() > 0; });
    }

    void run_until_next_call() {
        const auto calls = this->store.reads();
        this->run_until([&] { return this->store.reads() > calls; });
    }

    // Paths and values of the leaves that exist.
    [[nodiscard]] static std::map<std::string, std::string> present(const settings_tree& from) {
        std::map<std::string, std::string> values;
        for (const auto& snapshot : from.newer_than({})) {
            for (const auto& item : snapshot.leaves) {
                if (!item.removed) {
                    values[item.path] = item.value;
                }
            }
        }
        return values;
    }

    // What a reader that loads the whole store now has.
    [[nodiscard]] std::map<std::string, std::string> stored() {
        settings_tree loaded;
        std::function<void()> no_handler;
        const auto loading = this->new_reader(loaded, no_handler);
        loading->activate(0ms);
        this->run_until([&] { return loading->revision() > 0; });
        return present(loaded);
    }
};

} // namespace

TEST_CASE("an interrupted reader hands over what the store reported meanwhile", "[settings_reader]") {
    reading_node node;
    node.start();
    bool interrupted = false;
    bool reported = false;

    SECTION("when it begins anew before it has read the reported leaves") {
        node.on_result = [&] {
            if (!std::exchange(interrupted, true)) {
                node.reader->refresh();
            }
        };
        node.store.put("op/config", config_text(8, 3));
    }
    SECTION("when it begins anew while a watch waits, and both report a change") {
        node.run_until_next_call();
        node.reader->refresh();
        node.run_until_next_call();
        node.store.put("op/config", config_text(8, 3));
    }
    SECTION("when it stops while a watch waits, and starts again") {
        node.run_until_next_call();
        node.on_result = [&] { reported = true; };
        node.reader->deactivate();
        node.store.put("op/config", config_text(8, 3));
        node.run_until([&] { return reported; });
        node.reader->activate(0ms);
    }
    const auto revision = node.store.put("servers/i-2", server_text(2, "ready"));
    node.run_until([&] { return node.reader->revision() >= revision; });
    CHECK(reading_node::present(node.tree) == node.stored());
}

TEST_CASE("a reader that is interrupted at random has the store's settings in the end", "[settings_reader]") {
    constexpr std::size_t steps = 60;
    constexpr std::size_t server_count = 5;
    const auto seed = GENERATE(range(1, 9));
    CAPTURE(seed);
    random_source random{static_cast<std::uint64_t>(seed)};
    reading_node node;
    std::uint64_t version = 1;
    node.store.put("op/config", config_text(version, 2));
    node.on_result = [&] {
        if (random.index(4) == 0) {
            node.reader->refresh();
        }
    };
    node.reader->activate(0ms);
    std::uint64_t revision = 0;
    for (std::size_t step = 0; step < steps; ++step) {
        const auto server = 1 + random.index(server_count);
        const auto key = "servers/i-" + std::to_string(server);
        switch (random.index(7)) {
        case 0:
            version += 1 + random.index(3);
            revision = node.store.put("op/config", config_text(version, 1 + random.index(6)));
            break;
        case 1:
            revision = node.store.put(key, server_text(server, "draining"));
            break;
        case 2:
            revision = node.store.remove(key);
            break;
        case 3:
            node.reader->deactivate();
            break;
        case 4:
            node.reader->refresh();
            break;
        default:
            revision = node.store.put(key, server_text(server, "ready"));
        }
        if (node.reader->active()) {
            const auto calls = node.store.reads() + random.index(2);
            node.run_until([&] { return node.store.reads() > calls; });
        } else {
            node.reader->activate(0ms);
        }
    }
    node.on_result = {};
    node.reader->activate(0ms);
    revision = node.store.put("servers/i-last", server_text(9, "ready"));
    node.run_until([&] { return node.reader->revision() >= revision; });
    CHECK(reading_node::present(node.tree) == node.stored());
}

TEST_CASE("an odd entry among those of the backend servers is left out, and the others are followed",
          "[odd_entries]") {
    const std::string nested(100'000, '[');
    const std::string closing(100'000, ']');
    const std::string long_text(300, 'z');
    const auto entry = [](const std::string& service, const std::string& zone, const std::string& slots,
                          const std::string& other) {
        return R"({"address":"127.0.1.9:8328","info":{"service":")" + service + R"(","zone":")" + zone +
               R"(","slots":)" + slots + R"(},"status":{"state":"ready"}, "other":)" + other + "}";
    };
    const std::vector<std::string> odd_entries{
        entry("s", "dakar-a", "1000000001", "0"),
        entry("s", "dakar-a", "1e400", "0"),
        entry("s", "dakar-a", "99999999999999999999999", "0"),
        entry("s", "dakar-a", "18446744073709551615", "0"),
        entry("s", "dakar-a", "-6", "0"),
        entry("s", "dakar-a", nested + closing, "0"),
        entry("s", "dakar-a", "6", nested + closing),
        entry("s", "dakar-a", "6", nested),
        entry("s", "dakar-a", "6", "1e999"),
        entry("", "dakar-a", "6", "0"),
        entry("s", "", "6", "0"),
        entry(long_text, "dakar-a", "6", "0"),
        entry("s", long_text, "6", "0"),
        entry("s\xff", "dakar-a", "6", "0"),
        nested + closing,
        nested,
        "",
        "null",
        R"({"address":"127.0.1.9:65536","info":{"service":"s","zone":"a","slots":6},"status":{"state":"ready"}})",
        R"({"address":"127.0.1.9:0","info":{"service":"s","zone":"a","slots":6},"status":{"state":"ready"}})",
        R"({"address":"127.0.1.9:-1","info":{"service":"s","zone":"a","slots":6},"status":{"state":"ready"}})",
        R"({"address":{"port":70000},"info":{"service":"s","zone":"a","slots":6},"status":{"state":"ready"}})",
        R"({"address":"127.0.1.9:8328","info":[],"status":{"state":"ready"}})",
        R"({"address":"127.0.1.9:8328","info":{"service":["s"],"zone":"a","slots":6},"status":{"state":7}})"};
    reading_node node;
    node.start();
    const auto server = [&node](const std::string& id) {
        return reading_node::present(node.tree).contains("teams/platform/backend_servers/" + id);
    };
    for (std::size_t index = 0; index < odd_entries.size(); ++index) {
        CAPTURE(index, odd_entries[index].substr(0, 120));
        node.store.put("servers/i-odd", odd_entries[index]);
        const auto next = "i-next-" + std::to_string(index);
        const auto revision = node.store.put("servers/" + next, server_text(10 + index, "ready"));
        node.run_until([&] { return node.reader->revision() >= revision; });
        CHECK(server("i-1"));
        CHECK(server(next));
        CHECK(node.tree.current()->teams.at(team_name).services.at("s").backend_servers.size() == index + 2);
        CHECK_FALSE(server("i-odd"));
        CHECK(node.tree.rejections().empty());
    }
}

} // namespace chervilturn::adapter
