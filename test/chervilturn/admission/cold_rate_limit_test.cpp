// A cold backend server receives no more calls than its cold rate allows.
#include "chervilturn/admission/cold_rate_limit.hpp"

#include "chervilturn/admission/admission_controller.hpp"
#include "chervilturn/core/random.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace chervilturn {

using namespace std::chrono_literals;

namespace {

std::size_t calls_admitted_in_second(cold_rate_limit& limit, instant from) {
    std::size_t calls_admitted = 0;
    for (auto now = from; now < from + 1s; now += 1ms) {
        if (limit.has_room(now)) {
            limit.count(now);
            ++calls_admitted;
        }
    }
    return calls_admitted;
}

} // namespace

TEST_CASE("a cold backend server receives calls at its cold rate") {
    const instant start{1s};
    cold_rate_limit limit{{.calls_per_second = 8, .cold_start = 3s}, start};

    SECTION("a backend server is assumed cold at the start") {
        CHECK(limit.is_cold(start));
        CHECK(calls_admitted_in_second(limit, start) <= 10); // eight by the rate and a burst of two
    }
    SECTION("the rate limit ends when the backend server reports that it is warm") {
        limit.on_reported(0s, start);
        CHECK(calls_admitted_in_second(limit, start) == 1000);
        SECTION("the rate limit applies again after a sign of a start") {
            limit.presume_cold(start + 1s);
            CHECK(calls_admitted_in_second(limit, start + 1s) <= 10);
        }
    }
    SECTION("the backend server stays cold for the time that it reports") {
        limit.on_reported(500ms, start);
        CHECK(limit.is_cold(start + 400ms));
        CHECK_FALSE(limit.is_cold(start + 600ms));
    }
    SECTION("a backend server without a cold rate is never cold") {
        cold_rate_limit unlimited{{}, start};
        CHECK_FALSE(unlimited.is_cold(start));
    }
}

TEST_CASE("a cold backend server gets what its operators say that it bears beyond its rate") {
    constexpr double overshoot = 1.5;
    constexpr double slack = 10.0; // calls in one second on top of the rate
    const instant start{1s};
    cold_rate_limit limit{
        {.calls_per_second = 7, .overshoot = overshoot, .burst = slack / 2, .cold_start = 10s}, start};
    std::vector<instant> calls;
    for (auto now = start; now < start + 5s; now += 1ms) {
        if (limit.has_room(now)) {
            limit.count(now);
            calls.push_back(now);
        }
    }
    CHECK(calls.size() >= 7 * overshoot * 5);
    for (const auto first : calls) {
        const auto in_second = std::count_if(calls.begin(), calls.end(),
                                             [first](instant at) { return at >= first && at < first + 1s; });
        CHECK(static_cast<double>(in_second) <= 7 * overshoot + slack);
    }
    SECTION("and the wait for it counts the calls before and the tokens left") {
        cold_rate_limit fresh{{.calls_per_second = 10, .burst = 3.0, .cold_start = 10s}, start};
        CHECK(fresh.wait_after(2, start) == 0us);
        CHECK(fresh.wait_after(3, start) == 100ms);
    }
}

// Guards against a rate below one call a second that is taken for no limit or for one call a second.
TEST_CASE("a cold rate may be a fraction of a call a second") {
    const instant start{1s};
    cold_rate_limit limit{{.calls_per_second = 0.6, .overshoot = 1.5, .burst = 2.5, .cold_start = 30s},
                          start};
    REQUIRE(limit.is_cold(start));
    CHECK(limit.rate_limit() == 0.6 * 1.5);
    CHECK(calls_admitted_in_second(limit, start) == 3); // two and a half, and 0.9 that come in

    SECTION("calls go on at that rate") {
        std::size_t calls = 0;
        for (int second = 1; second <= 20; ++second) {
            calls += calls_admitted_in_second(limit, start + second * 1s);
        }
        CHECK(calls >= 17); // 0.9 in each of 20 seconds, less one that is not whole
        CHECK(calls <= 19);
    }
    SECTION("the wait for the next one is more than a second") {
        // Of 3.4 tokens 0.4 are left.
        CHECK(limit.wait_after(0, start + 1s) > 660ms);
        CHECK(limit.wait_after(0, start + 1s) < 670ms);
        CHECK(limit.wait_after(1, start + 1s) > 1770ms);
        CHECK(limit.wait_after(1, start + 1s) < 1780ms);
    }
    SECTION("a rate of zero leaves the burst only, and a wait without end") {
        cold_rate_limit closed{{.calls_per_second = 0.0, .burst = 2.5, .cold_start = 30s}, start};
        CHECK(calls_admitted_in_second(closed, start) == 2);
        CHECK(calls_admitted_in_second(closed, start + 20s) == 0);
        CHECK(closed.wait_after(0, start + 20s) == token_bucket::endless_wait);
        closed.on_reported(0s, start + 21s);
        CHECK(closed.has_room(start + 21s));
    }
    SECTION("a rate that changes again and again gives no further burst") {
        std::size_t calls = 0;
        for (int change = 0; change < 50; ++change) {
            const auto now = start + 1s + change * 20ms;
            limit.configure(
                {.calls_per_second = 0.6 + 0.001 * change, .overshoot = 1.5, .burst = 2.5, .cold_start = 30s},
                now);
            calls += limit.has_room(now) ? 1 : 0;
            if (limit.has_room(now)) {
                limit.count(now);
            }
        }
        CHECK(calls <= 2);
    }
}

// Guards against calls beyond the slack in the time until a backend server's report of being cold arrives.
TEST_CASE("calls that reached a cold backend server before its report use up the slack") {
    constexpr double rate = 0.9;
    constexpr double slack = 5.0;
    const auto seed = GENERATE(range<std::uint64_t>(1, 101));
    random_source random{seed};
    const instant start{100s};
    cold_rate_limit limit{{.calls_per_second = rate, .burst = slack / 2, .slack = slack}, start};
    limit.on_reported(0s, start);
    const auto cold_from = start + 2s + 1ms * random.index(200);
    const auto cold_until = cold_from + 5s;
    std::vector<instant> reached_cold;
    for (auto now = start; now < cold_until; now += 1ms) {
        if ((now - start) % 200ms == 0s) { // the backend server is asked five times a second
            limit.on_reported(now < cold_from ? 0us : elapsed(now, cold_until), now);
        }
        const bool wants_to_call = random.index(1000) < 18; // in each millisecond
        if (wants_to_call && limit.has_room(now)) {
            limit.count(now);
            if (now >= cold_from) {
                reached_cold.push_back(now);
            }
        }
    }
    for (const auto first : reached_cold) {
        const auto in_second = std::count_if(reached_cold.begin(), reached_cold.end(),
                                             [first](instant at) { return at >= first && at < first + 1s; });
        const auto unnoticed = std::count_if(reached_cold.begin(), reached_cold.end(),
                                             [&](instant at) { return at < cold_from + 200ms; });
        CHECK(static_cast<double>(in_second) <= std::max(rate + slack, static_cast<double>(unnoticed)));
    }
    CHECK(reached_cold.back() > cold_from + 2s); // it is still used
}

TEST_CASE("admission control queues calls above the cold rate") {
    const instant start{1s};
    admission_controller admission{
        {.warm_up = {.slots = 6, .cold_slots = 6}, .cold = {.calls_per_second = 10, .cold_start = 3s}},
        start};
    std::uint64_t number = 0;
    std::size_t dispatched_at_once = 0;
    for (int call_count = 0; call_count < 6; ++call_count) {
        const queue_entry entry{.attempt = {1, ++number}, .workspace = "a", .deadline = start + 5s};
        dispatched_at_once += std::holds_alternative<dispatched>(admission.admit(entry, start)) ? 1 : 0;
    }
    CHECK(dispatched_at_once == 2);
    CHECK(admission.advance(start + 50ms).dispatch.empty());
    CHECK(admission.advance(start + 110ms).dispatch.size() == 1);
}

TEST_CASE("admission control knows that the next call to a cold backend server is seconds away") {
    const instant start{1s};
    admission_controller admission{{.warm_up = {.slots = 6, .cold_slots = 6},
                                    .cold = {.calls_per_second = 0.5, .burst = 1.0, .cold_start = 30s}},
                                   start};
    std::uint64_t number = 0;
    const auto admit = [&](microseconds time_left) {
        return admission.admit({.attempt = {1, ++number}, .workspace = "a", .deadline = start + time_left},
                               start);
    };
    REQUIRE(std::holds_alternative<dispatched>(admit(5s)));

    SECTION("a call that ends before is refused at once, with the time of the next one") {
        const auto decision = admit(1500ms);
        REQUIRE(std::holds_alternative<refused>(decision));
        CHECK(std::get<refused>(decision).why == reason::deadline_too_near);
        CHECK(std::get<refused>(decision).retry_after == 2s);
    }
    SECTION("a call that has the time waits for it") {
        REQUIRE(std::holds_alternative<queued>(admit(3s)));
        CHECK(admission.advance(start + 1900ms).dispatch.empty());
        CHECK(admission.advance(start + 2s).dispatch.size() == 1);
    }
}

} // namespace chervilturn
