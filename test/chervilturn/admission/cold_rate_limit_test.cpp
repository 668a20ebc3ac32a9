// A cold backend server gets what it bears, and no more.
#include "chervilturn/admission/cold_rate_limit.hpp"

#include "chervilturn/admission/admission_controller.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

using namespace std::chrono_literals;

namespace {

std::size_t taken_in_second(cold_rate_limit& limit, instant from) {
    std::size_t taken = 0;
    for (auto now = from; now < from + 1s; now += 1ms) {
        taken += limit.take(now) ? 1 : 0;
    }
    return taken;
}

} // namespace

TEST_CASE("a cold backend server is given calls at its rate") {
    const instant start{1s};
    cold_rate_limit limit{{.calls_per_second = 8, .cold_start = 3s}, start};

    SECTION("from the first moment, though nobody said that it is cold") {
        CHECK(limit.is_cold(start));
        CHECK(taken_in_second(limit, start) <= 10); // the rate and one burst
    }
    SECTION("until it says that it is warm") {
        limit.on_reported(0s, start);
        CHECK(taken_in_second(limit, start) == 1000);
        SECTION("and again after a sign of a start") {
            limit.presume_cold(start + 1s);
            CHECK(taken_in_second(limit, start + 1s) <= 10);
        }
    }
    SECTION("for as long as it says") {
        limit.on_reported(500ms, start);
        CHECK(limit.is_cold(start + 400ms));
        CHECK_FALSE(limit.is_cold(start + 600ms));
    }
    SECTION("not at all when no rate is known") {
        cold_rate_limit unlimited{{}, start};
        CHECK_FALSE(unlimited.is_cold(start));
    }
}

TEST_CASE("the door queues calls that a cold backend server does not bear yet") {
    const instant start{1s};
    admission_controller admission{
        {.warm_up = {.slots = 6, .cold_slots = 6}, .cold = {.calls_per_second = 10, .cold_start = 3s}},
        start};
    std::uint64_t number = 0;
    std::size_t at_once = 0;
    for (int offered = 0; offered < 6; ++offered) {
        const queue_entry entry{.attempt = {1, ++number}, .workspace = "a", .deadline = start + 5s};
        at_once += std::holds_alternative<dispatched>(admission.admit(entry, start)) ? 1 : 0;
    }
    CHECK(at_once == 2);
    CHECK(admission.advance(start + 50ms).dispatch.empty());
    CHECK(admission.advance(start + 110ms).dispatch.size() == 1);
}

} // namespace chervilturn
