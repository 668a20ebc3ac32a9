// Several nodes in one process, connected over loopback, whose settings must equal the store's within a
// bound: whatever the store did meanwhile, whichever nodes cannot reach it and whichever are frozen.
#include "chervilturn/node/control_task.hpp"
#include "chervilturn/node/peer_client_task.hpp"
#include "chervilturn/node/peer_server_task.hpp"

#include "platform/store_platform.hpp"
#include "platform/store_stand_in.hpp"

#include "support/raw_peer.hpp"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <nlohmann/json.hpp>

namespace chervilturn::adapter {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

// By when a change must be in force at all nodes.
constexpr microseconds apply_bound = 2500ms;

// The content of each subtree.
using contents = std::map<std::string, std::uint64_t>;

// The tasks of a node that spread settings; the others only receive. They run on a loop of their own, within
// the loop of the fleet, so that a node can be frozen: the kernel still accepts its connections.
class fleet_node {
  public:
    fleet_node(event_loop& fleet_loop, const node_settings& settings, const address& store_address,
               std::uint64_t incarnation)
        : mailboxes{this->loop}, context{.loop = &this->loop,
                                         .settings = settings,
                                         .incarnation = incarnation,
                                         .stats = &this->stats,
                                         .protocols = {},
                                         .mailboxes = &this->mailboxes},
          turn{fleet_loop, [this] { event_base_loop(this->loop.base(), EVLOOP_NONBLOCK); }} {
        this->mailboxes.entry.on_message([](entry_message&&) {});
        this->mailboxes.owner.on_message([](owner_message&&) {});
        this->mailboxes.crash_reports.on_message([](crash_reports_message&&) {});
        this->context.protocols.make_platform = [store_address](event_loop& shared_loop,
                                                                const node_settings& own_settings) {
            return std::make_unique<store_platform>(shared_loop, own_settings, store_address);
        };
        this->control = std::make_unique<control_task>(this->context);
        this->peer_client = std::make_unique<peer_client_task>(this->context);
        this->peer_server = std::make_unique<peer_server_task>(this->context);
        REQUIRE(succeeded(this->peer_server->start()));
        this->control->start();
        this->wake();
    }

    void freeze() noexcept { this->turn.stop(); }
    void wake() { this->turn.start_periodic(1ms); }

    // Asks the control task for its state; the reply comes while the loop runs.
    void request_description() {
        this->mailboxes.control.post(
            describe_request{[this](json description) { this->latest = std::move(description); }});
    }

    [[nodiscard]] const json& description() const noexcept { return this->latest; }

    [[nodiscard]] contents settings_contents() const {
        contents found;
        if (this->latest.is_object()) {
            for (const auto& [name, state] : this->latest["subtrees"].items()) {
                if (state.contains("content")) {
                    found[name] = state["content"].get<std::uint64_t>();
                }
            }
        }
        return found;
    }

  private:
    event_loop loop;
    metrics stats;
    node_mailboxes mailboxes;
    node_context context;
    json latest;
    std::unique_ptr<control_task> control;
    std::unique_ptr<peer_client_task> peer_client;
    std::unique_ptr<peer_server_task> peer_server;
    timer turn;
};

// The store, and nodes that are spread over data centres in turn.
class fleet_of_nodes {
  public:
    explicit fleet_of_nodes(std::size_t data_centre_count) : port{test::free_address().port} {
        for (std::size_t number = 0; number < data_centre_count; ++number) {
            this->data_centres["dc-" + std::to_string(number)] = "region-" + std::to_string(number);
        }
        REQUIRE(succeeded(this->store.listen("reference", this->reference_address)));
        this->publish_routes({"s1"});
    }

    // Registers the backend server of a new node and starts the node.
    void add_node() {
        const auto index = this->nodes.size();
        const auto store_address = test::free_address();
        REQUIRE(succeeded(this->store.listen(store_host(index), store_address)));
        this->store_addresses.push_back(store_address);
        this->nodes.emplace_back();
        this->register_server(index, "ready");
        this->start_node(index);
    }

    void start_node(std::size_t index) {
        this->nodes[index].reset(); // frees the port first
        node_settings settings;
        settings.host = store_host(index);
        settings.data_centre = this->data_centre_of(index);
        settings.data_centres = this->data_centres;
        settings.peers = {this->ip_of(index), this->port};
        settings.reachable_at = settings.peers;
        settings.seeds = {{this->ip_of(0), this->port}, {this->ip_of(1), this->port}};
        settings.reading = {.wait = 1s,
                            .pause = 300ms,
                            .readers_per_data_centre = 1,
                            .fallback_start = 800ms,
                            .compare_period = 1s,
                            .parent_ping = 600ms,
                            .parent_suspect = 1100ms};
        this->nodes[index] = std::make_unique<fleet_node>(this->loop, settings, this->store_addresses[index],
                                                          ++this->last_incarnation);
    }

    // Writes the next version of the configuration: one route for each service in the list.
    void publish_routes(const std::vector<std::string>& services) {
        auto routes = json::array();
        for (std::size_t index = 0; index < services.size(); ++index) {
            const auto name = "r" + std::to_string(index);
            routes.push_back({name, "h.example", "/" + name + "/", "safe", services[index]});
        }
        const json config{{"config_version", ++this->version},
                          {"routes",
                           {{"columns", {"name", "host", "path_prefix", "route_type", "service"}},
                            {"rows", std::move(routes)}}},
                          {"services", {{"columns", {"name"}}, {"rows", {{"s1"}, {"s2"}}}}}};
        this->store.put("op/config", config.dump());
    }

    void register_server(std::size_t index, const std::string& state) {
        this->store.put(
            server_key(index),
            json{{"address", this->ip_of(index) + ":8328"},
                 {"info", {{"service", "s1"}, {"zone", this->data_centre_of(index)}, {"slots", 6}}},
                 {"status", {{"state", state}}}}
                .dump());
    }

    void set_store_mode(std::size_t index, test::store_mode mode) {
        this->store.set_mode(store_host(index), mode);
        if (mode != test::store_mode::up) {
            this->store.cut_watches();
        }
    }

    // A frozen node counts as out of touch: it need not have the settings of the store.
    void freeze(std::size_t index) {
        this->nodes[index]->freeze();
        this->frozen.insert(index);
    }

    void wake(std::size_t index) {
        this->nodes[index]->wake();
        this->frozen.erase(index);
    }

    // Whether all nodes have the settings of the store at a moment within the time limit.
    [[nodiscard]] bool converges(microseconds time_limit) {
        const auto stored = this->stored_contents();
        return test::wait_for(
            this->loop,
            [&] {
                bool all_equal = true;
                for (std::size_t index = 0; index < this->nodes.size(); ++index) {
                    if (!this->frozen.contains(index)) {
                        this->nodes[index]->request_description();
                        all_equal = all_equal && this->nodes[index]->settings_contents() == stored;
                    }
                }
                return all_equal;
            },
            time_limit);
    }

    // What differs from the store, for the message of a failure.
    [[nodiscard]] std::string differences() {
        const auto stored = this->stored_contents();
        std::string text;
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            if (this->nodes[index]->settings_contents() != stored) {
                text += store_host(index) + ": " + this->nodes[index]->description().dump() + '\n';
            }
        }
        return text;
    }

    // What the node at an index follows, by the index of that node; nothing while it follows none.
    [[nodiscard]] std::optional<std::size_t> followed_by(std::size_t index) {
        this->nodes[index]->request_description();
        for (std::size_t other = 0; other < this->nodes.size(); ++other) {
            const auto& description = this->nodes[index]->description();
            if (description.is_object() &&
                description["followed"] == to_string(address{this->ip_of(other), this->port})) {
                return other;
            }
        }
        return std::nullopt;
    }

    // The nodes that read the platform, as they said last; asks them again.
    [[nodiscard]] std::set<std::size_t> platform_readers() {
        std::set<std::size_t> found;
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            this->nodes[index]->request_description();
            const auto& description = this->nodes[index]->description();
            if (description.is_object() && description["reader"] == true) {
                found.insert(index);
            }
        }
        return found;
    }

    [[nodiscard]] static std::string server_key(std::size_t index) {
        return "servers/i-" + std::to_string(index);
    }

    event_loop loop;
    test::store_stand_in store{loop, {}};

  private:
    [[nodiscard]] static std::string store_host(std::size_t index) { return "node-" + std::to_string(index); }
    [[nodiscard]] std::string ip_of(std::size_t index) const {
        return "127.0.1." + std::to_string(index + 1);
    }
    [[nodiscard]] std::string data_centre_of(std::size_t index) const {
        return "dc-" + std::to_string(index % this->data_centres.size());
    }

    // The contents that a reader gets which loads the whole store now.
    [[nodiscard]] contents stored_contents() {
        node_context context;
        context.loop = &this->loop;
        context.stats = &this->reference_stats;
        context.incarnation = 1;
        context.settings.reachable_at = {"127.0.0.1", this->port};
        context.settings.data_centres = this->data_centres;
        settings_tree tree;
        bool loaded = false;
        settings_reader reader{
            context, std::make_unique<store_platform>(this->loop, context.settings, this->reference_address),
            tree, [&](const std::vector<subtree_snapshot>& batch) {
                for (const auto& snapshot : batch) {
                    static_cast<void>(tree.offer(snapshot));
                }
                loaded = true;
            }};
        reader.activate(0ms);
        REQUIRE(test::wait_for(this->loop, [&] { return loaded; }));
        contents found;
        for (const auto& entry : tree.digest()) {
            found[entry.subtree] = entry.content;
        }
        return found;
    }

    metrics reference_stats;
    address reference_address = test::free_address();
    std::uint16_t port; // of all nodes, each at an IP address of its own
    std::map<std::string, std::string> data_centres;
    std::vector<address> store_addresses; // by node
    std::vector<std::unique_ptr<fleet_node>> nodes;
    std::set<std::size_t> frozen;
    std::uint64_t version = 0;
    std::uint64_t last_incarnation = 0;
};

} // namespace

TEST_CASE("readers that the store turns away have its changes in time from readers of other data centres",
          "[settings_fleet]") {
    fleet_of_nodes fleet{4};
    // The first two follow each other before there are others to follow.
    fleet.add_node();
    fleet.add_node();
    REQUIRE(
        test::wait_for(fleet.loop, [&] { return fleet.followed_by(0) == 1U && fleet.followed_by(1) == 0U; }));
    fleet.add_node();
    fleet.add_node();
    REQUIRE(fleet.converges(10s));
    fleet.set_store_mode(0, test::store_mode::down);
    fleet.set_store_mode(1, test::store_mode::down);
    const auto mode = GENERATE(test::store_mode::down, test::store_mode::silent);
    fleet.set_store_mode(2, mode);
    for (const auto* service : {"s2", "s1", "s2", "s1"}) {
        fleet.publish_routes({service});
        CHECK(fleet.converges(apply_bound));
    }
}

// Guards against old routes in force after their bound (CONFIG) while a data centre's reading node is frozen:
// its followers read the store only after several stages whose times added up to 5 s.
TEST_CASE("followers have a change in time although their reading node is frozen", "[settings_fleet]") {
    constexpr std::size_t node_count = 8;
    fleet_of_nodes fleet{2};
    for (std::size_t index = 0; index < node_count; ++index) {
        fleet.add_node();
    }
    REQUIRE(fleet.converges(10s));
    REQUIRE(test::wait_for(fleet.loop, [&] { return fleet.platform_readers().size() == 2; }));
    const auto readers = fleet.platform_readers();
    // How long a reader has been frozen when the change comes.
    const auto frozen_before = GENERATE(0ms, 500ms, 1000ms);
    CAPTURE(frozen_before.count());
    for (const auto* service : {"s2", "s1"}) {
        for (const auto reader : readers) {
            fleet.freeze(reader);
        }
        static_cast<void>(test::wait_for(
            fleet.loop, [] { return false; }, frozen_before));
        fleet.publish_routes({service});
        const bool in_time = fleet.converges(apply_bound);
        CAPTURE(in_time ? std::string{} : fleet.differences());
        CHECK(in_time);
        for (const auto reader : readers) {
            fleet.wake(reader);
        }
        REQUIRE(fleet.converges(apply_bound));
        // The followers leave the reading to the readers again.
        REQUIRE(test::wait_for(fleet.loop, [&] { return fleet.platform_readers() == readers; }));
    }
}

TEST_CASE("the settings of all nodes equal the store's within the bound, whatever each of them missed",
          "[settings_fleet]") {
    constexpr std::size_t node_count = 9;
    constexpr std::size_t steps = 25;
    const std::vector<std::string> services{"s1", "s2"};
    const auto seed = GENERATE(range(1, 9));
    CAPTURE(seed);
    random_source random{static_cast<std::uint64_t>(seed)};
    fleet_of_nodes fleet{3};
    for (std::size_t index = 0; index < node_count; ++index) {
        fleet.add_node();
    }
    REQUIRE(fleet.converges(10s));
    for (std::size_t step = 0; step < steps; ++step) {
        const auto index = random.index(node_count);
        for (std::size_t change = 0; change <= random.index(4); ++change) {
            switch (random.index(10)) {
            case 0:
            case 1:
            case 2:
                fleet.publish_routes({services[random.index(2)], services[random.index(2)]});
                break;
            case 3:
                fleet.publish_routes({services[random.index(2)]});
                break;
            case 4:
                fleet.register_server(index, "draining");
                break;
            case 5:
                fleet.store.remove(fleet_of_nodes::server_key(index));
                fleet.register_server(index, "ready");
                break;
            case 6:
                fleet.store.put("op/evacuate/dc-1", "{}");
                break;
            case 7:
                fleet.store.remove("op/evacuate/dc-1");
                break;
            case 8:
                fleet.store.forget_history();
                break;
            default:
                fleet.register_server(index, "ready");
            }
        }
        // The last node always reaches the store.
        const auto disturbed = random.index(node_count - 1);
        switch (random.index(6)) {
        case 0:
            fleet.set_store_mode(disturbed, test::store_mode::down);
            break;
        case 1:
            fleet.set_store_mode(disturbed, test::store_mode::silent);
            break;
        case 2:
            fleet.start_node(disturbed);
            break;
        default:
            fleet.set_store_mode(disturbed, test::store_mode::up);
        }
        CAPTURE(step);
        const bool equal = fleet.converges(apply_bound);
        CAPTURE(equal ? std::string{} : fleet.differences());
        REQUIRE(equal);
    }
}

} // namespace chervilturn::adapter
