// Tries go on often enough that changes are in force in time after a long failure.
#include "chervilturn/core/back_off.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

using namespace std::chrono_literals;

TEST_CASE("the platform is asked again soon after any outage") {
    // Of the 2.5 s in which a change must be in force, the next try may take one at most.
    constexpr microseconds longest_wait = 1s;
    random_source random{11};
    for (std::uint32_t failures = 0; failures < 100; ++failures) {
        const auto delay = delay_after(failures, {}, random);
        CHECK(delay <= longest_wait);
        CHECK(delay >= 100ms);
    }
}

TEST_CASE("delays grow with failures and differ between clients") {
    random_source random{12};
    const back_off_options options{.shortest = 100ms, .longest = 10s};
    CHECK(delay_after(0, options, random) <= 100ms);
    CHECK(delay_after(5, options, random) >= 1600ms);
    CHECK(delay_after(5, options, random) != delay_after(5, options, random));
}

} // namespace chervilturn
