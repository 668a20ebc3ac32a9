// State charts: the embedded charts are valid, and lookups return exactly their transitions.
#include "chervilturn/admission/warm_up.hpp"
#include "chervilturn/membership/connection_health.hpp"
#include "chervilturn/node/shutdown.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

template<typename State, typename Event> void check_transitions(const state_chart<State, Event>& chart) {
    constexpr auto states = enumeration_names<State>::names.size();
    constexpr auto events = enumeration_names<Event>::names.size();
    std::size_t handled_count = 0;
    for (std::size_t state = 0; state < states; ++state) {
        for (std::size_t event = 0; event < events; ++event) {
            handled_count +=
                chart.next(static_cast<State>(state), static_cast<Event>(event)).has_value() ? 1 : 0;
        }
    }
    CHECK(handled_count == chart.transitions().size());
    for (const auto& transition : chart.transitions()) {
        CHECK(chart.next(transition.from, transition.event) == transition.to);
    }
}

} // namespace

TEST_CASE("state charts are parsed and followed") {
    SECTION("the chart of the backend server has exactly its listed transitions") {
        check_transitions(default_backend_chart());
    }
    SECTION("the chart of the connection has exactly its listed transitions") {
        check_transitions(default_connection_chart());
    }
    SECTION("the chart of the shutdown has exactly its listed transitions") {
        check_transitions(default_shutdown_chart());
    }
    SECTION("a state machine follows the chart and ignores events that its state does not handle") {
        connection_machine machine{default_connection_chart()};
        CHECK(machine.state() == connection_state::connecting);
        CHECK_FALSE(machine.apply(connection_event::overdue));
        CHECK(machine.apply(connection_event::connected));
        CHECK(machine.apply(connection_event::overdue));
        CHECK(machine.state() == connection_state::suspect);
    }
    SECTION("an unknown name is an error whose message contains the name") {
        const auto parsed = connection_chart::parse(
            R"({"initial": "connecting", "transitions": [{"from": "connecting", "event": "sneezed", "to": "closed"}]})");
        REQUIRE_FALSE(succeeded(parsed));
        CHECK(error_of(parsed).message.find("sneezed") != std::string::npos);
    }
    SECTION("text that is not JSON is an error") {
        CHECK_FALSE(succeeded(connection_chart::parse("initial: connecting")));
    }
}

} // namespace chervilturn
