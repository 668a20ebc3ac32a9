// Back-off delays: short enough after a long outage, and different between clients.
#include "chervilturn/core/back_off.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

using namespace std::chrono_literals;

TEST_CASE("the delay stays within one second after any number of failures") {
    // A changed setting must be in force within 2.5 s; waiting for the next read may use up 1 s of that.
    constexpr microseconds max_wait = 1s;
    random_source random{11};
    for (std::uint32_t failures = 0; failures < 100; ++failures) {
        const auto delay = delay_after(failures, {}, random);
        CHECK(delay <= max_wait);
        CHECK(delay >= 100ms);
    }
}

TEST_CASE("delays grow with the number of failures and vary at random") {
    random_source random{12};
    const back_off_options options{.min_delay = 100ms, .max_delay = 10s};
    CHECK(delay_after(0, options, random) <= 100ms);
    CHECK(delay_after(5, options, random) >= 1600ms);
    CHECK(delay_after(5, options, random) != delay_after(5, options, random));
}

} // namespace chervilturn
