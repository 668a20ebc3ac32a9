// Relay trees, connection health and pauses.
#include "chervilturn/membership/connection_health.hpp"
#include "chervilturn/membership/pause_detector.hpp"
#include "chervilturn/membership/relay_tree.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

using namespace std::chrono_literals;

model fleet_of(std::size_t data_centres, std::size_t hosts_each) {
    model settings;
    for (std::size_t place = 0; place < data_centres; ++place) {
        for (std::size_t number = 0; number < hosts_each; ++number) {
            const address peers{"10.0." + std::to_string(place) + "." + std::to_string(number + 1), 7000};
            settings.hosts[peers] = {
                .name = to_string(peers), .peers = peers, .data_centre = "dc-" + std::to_string(place)};
        }
    }
    return settings;
}

} // namespace

TEST_CASE("the relay tree reaches everyone with few readers") {
    const auto settings = fleet_of(9, 58);
    std::map<address, std::size_t> followers;
    std::size_t readers = 0;
    std::size_t deepest = 0;
    for (const auto& [peers, listed] : settings.hosts) {
        const auto place = place_in_relay_tree(settings, peers, listed.data_centre);
        readers += place.reader ? 1 : 0;
        REQUIRE_FALSE(place.parents.empty());
        CHECK(std::find(place.parents.begin(), place.parents.end(), peers) == place.parents.end());
        if (place.reader) {
            CHECK(settings.hosts.at(place.parents.front()).data_centre != listed.data_centre);
            continue;
        }
        ++followers[place.parents.front()];
        std::size_t depth = 1;
        auto parent = place.parents.front();
        while (!place_in_relay_tree(settings, parent, listed.data_centre).reader) {
            parent = place_in_relay_tree(settings, parent, listed.data_centre).parents.front();
            ++depth;
        }
        deepest = std::max(deepest, depth);
    }
    CHECK(readers == 9 * readers_per_data_centre);
    CHECK(deepest <= 3);
    for (const auto& [parent, count] : followers) {
        CHECK(count <= relay_fan_out);
    }
}

TEST_CASE("places in the relay tree follow the host list") {
    auto settings = fleet_of(1, 12);
    const auto leaving = std::find_if(settings.hosts.begin(), settings.hosts.end(), [&](const auto& listed) {
        return place_in_relay_tree(settings, listed.first, "dc-0").reader;
    });
    SECTION("a leaving host reads no more") {
        leaving->second.leaving = true;
        CHECK_FALSE(place_in_relay_tree(settings, leaving->first, "dc-0").reader);
    }
    SECTION("a host that is not listed reads the platform itself") {
        CHECK(place_in_relay_tree(settings, {"10.9.9.9", 7000}, "dc-0").reader);
        CHECK(place_in_relay_tree(settings, leaving->first, "dc-9").reader);
    }
}

TEST_CASE("a silent connection is pinged, then suspected, then replaced") {
    const instant start{1s};
    connection_health health{{}, start};
    CHECK(health.advise(connection_demand::calls, start + 1s) == connection_advice::nothing);
    health.on_connected(start);
    CHECK(health.advise(connection_demand::calls, start + 100ms) == connection_advice::nothing);
    CHECK(health.advise(connection_demand::calls, start + 260ms) == connection_advice::ping);
    CHECK(health.advise(connection_demand::calls, start + 300ms) == connection_advice::nothing);

    SECTION("a word from the peer clears it") {
        health.on_heard(start + 400ms);
        CHECK(health.advise(connection_demand::calls, start + 600ms) == connection_advice::nothing);
    }
    SECTION("further silence asks for a fresh connection, once") {
        CHECK(health.advise(connection_demand::calls, start + 500ms) == connection_advice::open_fresh);
        CHECK(health.state() == connection_state::suspect);
        CHECK(health.advise(connection_demand::calls, start + 900ms) == connection_advice::nothing);
        health.on_replaced();
        CHECK(health.state() == connection_state::closed);
    }
    SECTION("a subscription alone is patient, to save control traffic") {
        health.on_heard(start + 300ms);
        CHECK(health.advise(connection_demand::subscription, start + 2s) == connection_advice::nothing);
        CHECK(health.advise(connection_demand::subscription, start + 2400ms) == connection_advice::ping);
    }
}

TEST_CASE("a pause is noticed at the first event after it") {
    const instant start{1s};
    pause_detector pauses{start};
    CHECK(pauses.observe(start + 100ms) == 0us);
    CHECK(pauses.observe(start + 10s) == 9900ms);
    CHECK(pauses.observe(start + 10s + 100ms) == 0us);
}

} // namespace chervilturn
