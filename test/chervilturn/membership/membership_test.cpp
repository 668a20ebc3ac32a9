// Relay trees, connection health and pause detection.
#include "chervilturn/membership/connection_health.hpp"
#include "chervilturn/membership/parent_watch.hpp"
#include "chervilturn/membership/pause_detector.hpp"
#include "chervilturn/membership/relay_tree.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

using namespace std::chrono_literals;

model make_settings(std::size_t data_centres, std::size_t hosts_per_data_centre) {
    model settings;
    for (std::size_t centre = 0; centre < data_centres; ++centre) {
        for (std::size_t host_number = 0; host_number < hosts_per_data_centre; ++host_number) {
            const address peers{"10.0." + std::to_string(centre) + "." + std::to_string(host_number + 1),
                                7000};
            settings.hosts[peers] = {
                .name = to_string(peers), .peers = peers, .data_centre = "dc-" + std::to_string(centre)};
        }
    }
    return settings;
}

} // namespace

TEST_CASE("the relay tree reaches every host with few readers") {
    const auto settings = make_settings(9, 58);
    std::map<address, std::size_t> followers;
    std::size_t readers = 0;
    std::size_t deepest = 0;
    std::size_t compared_pairs = 0;
    for (const auto& [peers, host_entry] : settings.hosts) {
        const auto position = compute_relay_position(settings, peers, host_entry.data_centre);
        compared_pairs += position.compared_readers.size();
        readers += position.reader ? 1 : 0;
        REQUIRE_FALSE(position.parents.empty());
        CHECK(std::find(position.parents.begin(), position.parents.end(), peers) == position.parents.end());
        if (position.reader) {
            CHECK(settings.hosts.at(position.parents.front()).data_centre != host_entry.data_centre);
            continue;
        }
        ++followers[position.parents.front()];
        std::size_t depth = 1;
        auto parent = position.parents.front();
        while (!compute_relay_position(settings, parent, host_entry.data_centre).reader) {
            parent = compute_relay_position(settings, parent, host_entry.data_centre).parents.front();
            ++depth;
        }
        deepest = std::max(deepest, depth);
    }
    CHECK(readers == 9 * readers_per_data_centre);
    CHECK(compared_pairs == 9 * (8 + 1) + 9);
    CHECK(deepest <= 3);
    for (const auto& [parent, count] : followers) {
        CHECK(count <= relay_fan_out);
    }
}

TEST_CASE("few hosts change their parent when hosts join and leave, and the tree stays flat") {
    constexpr std::size_t host_count = 58;
    constexpr std::size_t replacements = 30;
    constexpr std::size_t readers = 1;
    auto settings = make_settings(1, host_count);
    std::map<address, address> parents; // of the hosts that are no readers
    std::size_t moves = 0;
    for (std::size_t replaced = 0; replaced < replacements; ++replaced) {
        const address joining{"10.1.0." + std::to_string(replaced + 1), 7000};
        settings.hosts[joining] = {.name = to_string(joining), .peers = joining, .data_centre = "dc-0"};
        settings.hosts.erase({"10.0.0." + std::to_string(replaced + 1), 7000});
        std::map<address, address> next;
        for (const auto& [peers, host_entry] : settings.hosts) {
            const auto present = parents.find(peers);
            const auto position = compute_relay_position(
                settings, peers, "dc-0", readers,
                present == parents.end() ? std::nullopt : std::optional{present->second});
            if (!position.reader) {
                next[peers] = position.parents.front();
                const bool parent_left =
                    present != parents.end() && !settings.hosts.contains(present->second);
                moves += present != parents.end() && present->second != next[peers] && !parent_left ? 1 : 0;
            }
        }
        parents = std::move(next);
        for (const auto& [peers, first_parent] : parents) {
            std::size_t depth = 1;
            for (auto parent = first_parent; parents.contains(parent); parent = parents.at(parent)) {
                REQUIRE(++depth <= 3);
            }
        }
    }
    CHECK(moves <= replacements * host_count / 20); // one host in twenty for each replacement
}

TEST_CASE("the relay tree follows the host list") {
    auto settings = make_settings(1, 12);
    const auto leaving =
        std::find_if(settings.hosts.begin(), settings.hosts.end(), [&](const auto& host_entry) {
            return compute_relay_position(settings, host_entry.first, "dc-0").reader;
        });
    SECTION("a leaving host is not a reader") {
        leaving->second.leaving = true;
        CHECK_FALSE(compute_relay_position(settings, leaving->first, "dc-0").reader);
    }
    SECTION("a host that is not in the list yet follows others and reads nothing from the platform") {
        const auto position = compute_relay_position(settings, {"10.9.9.9", 7000}, "dc-0");
        CHECK_FALSE(position.reader);
        REQUIRE_FALSE(position.parents.empty());
        CHECK(settings.hosts.contains(position.parents.front()));
    }
    SECTION("a host of a data centre without listed hosts is a reader") {
        CHECK(compute_relay_position(settings, {"10.9.9.9", 7000}, "dc-9").reader);
        CHECK(compute_relay_position(settings, leaving->first, "dc-9").reader);
    }
}

TEST_CASE("a silent connection is pinged, becomes suspect and is replaced") {
    const instant start{1s};
    connection_health health{{}, start};
    CHECK(health.advise(connection_demand::calls, start + 1s) == connection_advice::nothing);
    health.on_connected(start);
    CHECK(health.advise(connection_demand::calls, start + 100ms) == connection_advice::nothing);
    CHECK(health.advise(connection_demand::calls, start + 260ms) == connection_advice::ping);
    CHECK(health.advise(connection_demand::calls, start + 300ms) == connection_advice::nothing);

    SECTION("a message from the peer ends the silence") {
        health.on_received(start + 400ms);
        CHECK(health.advise(connection_demand::calls, start + 600ms) == connection_advice::nothing);
    }
    SECTION("further silence requests one replacement connection") {
        CHECK(health.advise(connection_demand::calls, start + 500ms) == connection_advice::open_replacement);
        CHECK(health.state() == connection_state::suspect);
        CHECK(health.advise(connection_demand::calls, start + 900ms) == connection_advice::nothing);
        health.on_replaced();
        CHECK(health.state() == connection_state::closed);
    }
    SECTION("a connection with only a subscription is pinged later, to save control traffic") {
        health.on_received(start + 300ms);
        CHECK(health.advise(connection_demand::subscription, start + 2s) == connection_advice::nothing);
        CHECK(health.advise(connection_demand::subscription, start + 2400ms) == connection_advice::ping);
    }
}

// Guards against a node that goes on with old settings: its calls to a frozen parent hid the parent's
// silence.
TEST_CASE("calls do not hide the silence of a peer that is subscribed to") {
    const instant start{1s};
    const connection_options options{.with_subscription = {600ms, 1100ms}};
    connection_health health{options, start};
    health.on_connected(start);
    const auto begin_calls_every = [&](microseconds period, instant until) {
        for (auto now = start; now < until; now += period) {
            health.on_first_outstanding(now);
            const auto advice = health.advise(connection_demand::calls_and_subscription, now);
            REQUIRE(advice != connection_advice::open_replacement);
        }
    };
    SECTION("however often calls begin") {
        begin_calls_every(100ms, start + 1100ms);
        CHECK(health.advise(connection_demand::calls_and_subscription, start + 1100ms) ==
              connection_advice::open_replacement);
    }
    SECTION("nor does the silence before a call count against the call") {
        CHECK(health.advise(connection_demand::subscription, start + 600ms) == connection_advice::ping);
        health.on_first_outstanding(start + 700ms);
        CHECK(health.advise(connection_demand::calls_and_subscription, start + 1000ms) ==
              connection_advice::ping);
        health.on_received(start + 1050ms);
        CHECK(health.advise(connection_demand::calls_and_subscription, start + 1200ms) ==
              connection_advice::nothing);
    }
}

TEST_CASE("a node without a responding parent reads the platform after one period of patience") {
    const instant start{1s};
    parent_watch watch{1100ms};
    CHECK_FALSE(watch.own_reading_due());
    watch.on_unheard(start);
    CHECK(watch.own_reading_due() == start + 1100ms);

    SECTION("further attempts and other parents do not prolong it") {
        watch.on_unheard(start + 500ms);
        watch.on_unheard(start + 900ms);
        CHECK(watch.own_reading_due() == start + 1100ms);
        CHECK(watch.unheard_for(start + 900ms) == 900ms);
    }
    SECTION("the silence before it was noticed counts") {
        watch.on_unheard(start - 300ms);
        CHECK(watch.own_reading_due() == start + 800ms);
    }
    SECTION("it ends when a parent responds, and the next silence counts anew") {
        watch.on_responded();
        CHECK_FALSE(watch.own_reading_due());
        CHECK(watch.unheard_for(start + 2s) == 0us);
        watch.on_unheard(start + 3s);
        CHECK(watch.own_reading_due() == start + 4100ms);
    }
}

TEST_CASE("a pause is detected at the first event after it") {
    const instant start{1s};
    pause_detector pauses{start};
    CHECK(pauses.check(start + 100ms) == 0us);
    CHECK(pauses.check(start + 10s) == 9900ms);
    CHECK(pauses.check(start + 10s + 100ms) == 0us);
}

} // namespace chervilturn
