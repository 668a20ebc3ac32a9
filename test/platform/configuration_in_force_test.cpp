// What a node has in force of the configurations that the operator writes, when a value in them is unusual or
// cannot be read.
#include "chervilturn/node/control_task.hpp"
#include "chervilturn/selection/policy.hpp"

#include "platform/adapter.hpp"
#include "platform/callers.hpp"
#include "platform/store_stand_in.hpp"
#include "platform/translation.hpp"
#include "support/raw_peer.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace chervilturn::adapter {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr const char* route_host = "a.example";

json table(const json& columns, const json& rows) {
    return {{"columns", columns}, {"rows", rows}};
}

json route_row(const std::string& name, const std::string& prefix, const json& service) {
    return {{"name", name},
            {"host", route_host},
            {"path_prefix", prefix},
            {"route_type", "safe"},
            {"timeout_ms", 1500},
            {"target_latency_ms", 500},
            {"priority", 1},
            {"service", service},
            {"max_attempts", 2},
            {"allowed_regions", json::array()},
            {"traffic_split", nullptr}};
}

json service_row(const std::string& name) {
    return {{"name", name}, {"health_path", "/health"}, {"cold_start_s", 3.0}, {"cold_per_s", 8.6}};
}

// A table of the configuration from rows that are objects with equal members.
json table_of(const json& rows) {
    auto columns = json::array();
    for (const auto& [name, value] : rows.front().items()) {
        columns.push_back(name);
    }
    auto lists = json::array();
    for (const auto& row : rows) {
        auto values = json::array();
        for (const auto& name : columns) {
            values.push_back(row.at(name.get<std::string>()));
        }
        lists.push_back(values);
    }
    return table(columns, lists);
}

// A configuration, by its rows.
struct configuration {
    json routes = json::array(
        {route_row("write", "/write/", "ledger"), route_row("archive", "/write/archive/", "ledger")});
    json services = json::array({service_row("ledger"), service_row("archive")});
    json limits = {{"max_header_bytes", 16384},
                   {"max_body_bytes", 67108864},
                   {"header_timeout_ms", 3000},
                   {"idle_timeout_ms", 15000}};

    [[nodiscard]] std::string text(std::uint64_t version) const {
        return json{{"config_version", version},
                    {"routes", table_of(this->routes)},
                    {"services", table_of(this->services)},
                    {"limits", this->limits}}
            .dump();
    }
};

// A node's part for settings, which reads the store.
struct configured_node {
    event_loop* loop;
    node_mailboxes mailboxes;
    metrics stats;
    node_context context;
    std::shared_ptr<const model> in_force = std::make_shared<const model>();
    std::unique_ptr<control_task> control;

    configured_node(event_loop& shared_loop, const address& store)
        : loop{&shared_loop}, mailboxes{shared_loop} {
        auto& settings = this->context.settings;
        settings.peers = {"127.0.0.1", 7000};
        settings.reachable_at = settings.peers;
        settings.platform = {store};
        settings.data_centres = {{"dakar-a", "dakar"}, {"tamba-a", "tamba"}};
        settings.reading.wait = 50ms;
        settings.reading.pause = 1ms;
        this->context.loop = this->loop;
        this->context.stats = &this->stats;
        this->context.incarnation = 1;
        this->context.mailboxes = &this->mailboxes;
        auto protocols = platform_protocols(settings);
        REQUIRE(succeeded(protocols));
        this->context.protocols = value_of(std::move(protocols));
        this->mailboxes.entry.on_message([this](entry_message&& received) {
            if (const auto* changed = std::get_if<settings_changed>(&received)) {
                this->in_force = changed->settings;
            }
        });
        this->mailboxes.owner.on_message([](owner_message&&) {});
        this->mailboxes.peer_client.on_message([](peer_client_message&&) {});
        this->mailboxes.peer_server.on_message([](peer_server_message&&) {});
        this->control = std::make_unique<control_task>(this->context);
        this->control->start();
    }

    [[nodiscard]] const team* platform_team() const { return this->in_force->find_team(team_name); }

    [[nodiscard]] const route* route_of(const std::string& target) const {
        const auto* found = this->platform_team();
        return found == nullptr ? nullptr : match_host(*found, route_host, target);
    }

    // The service that serves a request now: "none" when there is no route, empty when the route has no
    // service.
    [[nodiscard]] std::string service_of(const std::string& target) const {
        const auto* matched = this->route_of(target);
        return matched == nullptr ? "none" : matched->service;
    }

    // Waits until a backend server that was registered after all else is known.
    void wait_for_server(const std::string& id) {
        const auto is_known = [&] {
            return std::any_of(this->in_force->hosts.begin(), this->in_force->hosts.end(),
                               [&id](const auto& listed) { return listed.second.name == id; });
        };
        REQUIRE(test::wait_for(*this->loop, is_known));
    }
};

struct configured_store {
    event_loop loop;
    address store_address = test::free_address();
    test::store_stand_in store{loop, {}};
    std::uint64_t version = 0;
    std::size_t server_count = 0;

    configured_store() { REQUIRE(succeeded(this->store.listen("store", this->store_address))); }

    // Starts a node and waits until it knows a backend server.
    std::unique_ptr<configured_node> start_node(const std::string& server) {
        auto node = std::make_unique<configured_node>(this->loop, this->store_address);
        node->wait_for_server(server);
        return node;
    }

    // Writes the next version, and then registers a backend server. Returns its id.
    std::string write(const configuration& written) {
        this->store.put("op/config", written.text(++this->version));
        return this->register_server("archive");
    }

    std::string register_server(const std::string& service) {
        auto id = "i-" + std::to_string(++this->server_count);
        this->store.put("servers/" + id,
                        json{{"address", "127.0.1." + std::to_string(this->server_count) + ":8328"},
                             {"info", {{"service", service}, {"zone", "dakar-a"}, {"slots", 6}}},
                             {"status", {{"state", "ready"}}}}
                            .dump());
        return id;
    }
};

} // namespace

// Guards against a version of which nothing is in force because one of its routes cannot be read.
TEST_CASE("a route that cannot be read keeps no other change of its version out of force",
          "[configuration_in_force]") {
    configured_store platform;
    configuration written;
    const auto running_node = platform.start_node(platform.write(written));
    auto& running = *running_node;
    REQUIRE(running.service_of("/write/1") == "ledger");
    REQUIRE(running.service_of("/write/archive/1") == "ledger");

    written.routes[0]["service"] = "archive";
    written.routes[1]["service"] = "archive";
    written.routes[1]["allowed_regions"] = "everywhere";
    auto added = route_row("export", "/write/export/", "archive");
    added["allowed_regions"] = "everywhere";
    written.routes.push_back(added);
    const auto second_server = platform.write(written);

    SECTION("on a node that runs, which keeps the route's last value") {
        running.wait_for_server(second_server);
        CHECK(running.service_of("/write/1") == "archive");
        CHECK(running.service_of("/write/archive/1") == "ledger");
    }
    SECTION("on a node that starts, which rejects the route's calls and sends them to no other service") {
        const auto started = platform.start_node(second_server);
        CHECK(started->service_of("/write/1") == "archive");
        CHECK(started->service_of("/write/archive/1").empty());
        CHECK(started->service_of("/write/export/1").empty());
        CHECK(started->platform_team()->services.size() == 2);
    }
    SECTION("and the next version that can be read is in force") {
        running.wait_for_server(second_server);
        written.routes[1]["allowed_regions"] = json::array({"dakar"});
        written.routes[2]["allowed_regions"] = json::array();
        const auto third_server = platform.write(written);
        running.wait_for_server(third_server);
        CHECK(running.service_of("/write/archive/1") == "archive");
        CHECK(running.service_of("/write/export/1") == "archive");
    }
}

// Guards against a version of which nothing is in force because one value lies beyond what settings can hold.
TEST_CASE("a version with a value that the store accepts is in force", "[configuration_in_force]") {
    configured_store platform;
    configuration written;
    const auto running_node = platform.start_node(platform.write(written));
    auto& running = *running_node;
    REQUIRE(running.service_of("/write/1") == "ledger");

    // Each has one value that is unusual, beside a route that moves.
    written.routes[0]["service"] = "archive";
    written.routes.push_back(route_row("export", "/export/", "archive"));
    auto& added = written.routes[2];
    const auto in_force = [&platform, &running, &written] {
        const auto server = platform.write(written);
        running.wait_for_server(server);
        const auto started = platform.start_node(server);
        for (const auto* node : {&running, started.get()}) {
            CHECK(node->service_of("/write/1") == "archive");
            const auto* export_route = node->route_of("/export/1");
            REQUIRE(export_route != nullptr);
            CHECK((!export_route->service.empty() || !export_route->split.empty()));
        }
        return running.in_force;
    };
    const auto route_in_force = [&in_force, &running] {
        static_cast<void>(in_force());
        const auto* found = running.route_of("/export/1");
        REQUIRE(found != nullptr);
        return *found;
    };
    const auto limits_in_force = [&in_force] {
        const auto& limits = in_force()->find_team(team_name)->limits;
        REQUIRE(limits);
        return *limits;
    };

    SECTION("a timeout of two hours") {
        added["timeout_ms"] = 7'200'000;
        CHECK(route_in_force().timeout == 2h);
    }
    SECTION("a timeout of a month, and a latency target of a day") {
        added["timeout_ms"] = 2'678'400'000;
        added["target_latency_ms"] = 86'400'000;
        const auto found = route_in_force();
        CHECK(found.timeout == 31 * 24h);
        CHECK(found.target_latency == 24h);
    }
    SECTION("a timeout beyond all clocks is the longest one") {
        added["timeout_ms"] = 1e18;
        CHECK(route_in_force().timeout == longest_setting);
    }
    SECTION("times with a fraction, of which none becomes zero") {
        added["timeout_ms"] = 1500.5;
        added["target_latency_ms"] = 0.25;
        const auto found = route_in_force();
        CHECK(found.timeout == 1501ms);
        CHECK(found.target_latency == 1ms);
    }
    SECTION("a timeout that no call could keep to is none") {
        added["timeout_ms"] = 0;
        CHECK(route_in_force().timeout == 0ms);
    }
    SECTION("more attempts than there are backend servers") {
        added["max_attempts"] = 1000;
        CHECK(route_in_force().max_attempts == 1000);
    }
    SECTION("a region that is listed twice") {
        added["allowed_regions"] = json::array({"dakar", "tamba", "dakar"});
        CHECK(route_in_force().home_regions == region_set{"dakar", "tamba"});
    }
    SECTION("weights with a fraction, by which calls are shared out") {
        added["service"] = nullptr;
        added["traffic_split"] = json::array(
            {{{"service", "ledger"}, {"weight", 0.25}}, {{"service", "archive"}, {"weight", 0.75}}});
        static_cast<void>(in_force());
        const auto* found = running.route_of("/export/1");
        REQUIRE(found != nullptr);
        REQUIRE(found->split.size() == 2);
        random_source random{7};
        int first_part = 0;
        constexpr int call_count = 10'000;
        for (int number = 0; number < call_count; ++number) {
            first_part += pick_split_part(found->split, random).service == "ledger" ? 1 : 0;
        }
        CHECK(first_part > call_count * 0.23);
        CHECK(first_part < call_count * 0.27);
    }
    SECTION("a host name in another case than the callers use") {
        added["host"] = "A.Example";
        CHECK(route_in_force().prefix == "/export/");
        CHECK(match_host(*running.platform_team(), "a.EXAMPLE", "/export/1") != nullptr);
    }
    SECTION("a name that holds a slash") {
        added["name"] = "export/of/ledgers";
        written.services.push_back(service_row("desk/1"));
        added["service"] = "desk/1";
        CHECK(route_in_force().service == "desk/1");
        CHECK(running.platform_team()->services.contains("desk/1"));
    }
    SECTION("a cold start of two hours") {
        written.services[0]["cold_start_s"] = 7200;
        CHECK(in_force()->find_team(team_name)->services.at("ledger").cold_start == 2h);
    }
    SECTION("a cold start of less than a millisecond") {
        written.services[0]["cold_start_s"] = 0.0004;
        CHECK(in_force()->find_team(team_name)->services.at("ledger").cold_start == 1ms);
    }
    SECTION("a cold rate below one call a second, which is not none") {
        written.services[0]["cold_per_s"] = 0.6;
        CHECK(in_force()->find_team(team_name)->services.at("ledger").cold_per_second == 0.6);
    }
    SECTION("a cold rate of zero, which is not none either") {
        written.services[0]["cold_per_s"] = 0;
        CHECK(in_force()->find_team(team_name)->services.at("ledger").cold_per_second == 0.0);
    }
    SECTION("no cold rate") {
        written.services[0]["cold_per_s"] = nullptr;
        CHECK_FALSE(in_force()->find_team(team_name)->services.at("ledger").cold_per_second);
    }
    SECTION("a service without a path for probes") {
        written.services[0]["health_path"] = "";
        CHECK(in_force()->find_team(team_name)->services.contains("ledger"));
    }
    SECTION("callers' limits of two hours and four gibibytes") {
        written.limits["idle_timeout_ms"] = 7'200'000;
        written.limits["header_timeout_ms"] = 3'600'001;
        written.limits["max_body_bytes"] = 4'294'967'296;
        written.limits["max_header_bytes"] = 1'073'741'825;
        const auto limits = limits_in_force();
        CHECK(limits.idle_timeout == 2h);
        CHECK(limits.header_timeout == 3'600'001ms);
        CHECK(limits.max_body_bytes == 4'294'967'296);
        CHECK(limits.max_header_bytes == 1'073'741'825);
    }
    SECTION("some of the callers' limits") {
        written.limits.erase("max_body_bytes");
        written.limits["idle_timeout_ms"] = nullptr;
        const auto limits = limits_in_force();
        CHECK(limits.header_timeout == 3s);
        CHECK_FALSE(limits.max_body_bytes);
        CHECK_FALSE(limits.idle_timeout);
    }
    SECTION("callers that may send no bodies") {
        written.limits["max_body_bytes"] = 0;
        CHECK(limits_in_force().max_body_bytes == 0);
    }
    SECTION("a row without a name") {
        written.routes.push_back(route_row("", "/nameless/", "archive"));
        CHECK(in_force()->find_team(team_name)->routes->by_name.size() == 3);
    }
}

// Guards against an evacuation that is not in force, nor any after it, because the settings file does not
// name its data centre.
TEST_CASE("an evacuation of a data centre that the settings file does not name is in force",
          "[configuration_in_force]") {
    configured_store platform;
    const auto running_node = platform.start_node(platform.write({}));
    auto& node = *running_node;
    platform.store.put("op/evacuate/tamba-new", "{}");
    platform.store.put("op/evacuate/dakar-a", "{}");
    node.wait_for_server(platform.register_server("archive"));
    CHECK_FALSE(node.in_force->in_service(team_name, "tamba-new"));
    CHECK_FALSE(node.in_force->in_service(team_name, "dakar-a"));
    CHECK(node.in_force->in_service(team_name, "tamba-a"));

    SECTION("until it is taken back") {
        platform.store.remove("op/evacuate/tamba-new");
        node.wait_for_server(platform.register_server("archive"));
        CHECK(node.in_force->in_service(team_name, "tamba-new"));
        CHECK_FALSE(node.in_force->in_service(team_name, "dakar-a"));
    }
}

} // namespace chervilturn::adapter
