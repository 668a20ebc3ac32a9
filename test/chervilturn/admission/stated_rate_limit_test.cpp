// A backend server gets no more calls than it states, and calls that can't start in time are refused at once.
#include "chervilturn/admission/stated_rate_limit.hpp"

#include "chervilturn/admission/admission_controller.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

using namespace std::chrono_literals;

namespace {

// Calls that a limit lets start in a time when one is always waiting.
std::size_t calls_started(stated_rate_limit& limit, instant from, microseconds duration) {
    std::size_t started = 0;
    for (auto now = from; now < from + duration; now += 1ms) {
        if (limit.has_room(now)) {
            limit.count(now);
            ++started;
        }
    }
    return started;
}

queue_entry entry_of(std::uint64_t number, instant deadline) {
    return {.attempt = {1, number}, .workspace = "a", .deadline = deadline};
}

} // namespace

TEST_CASE("a stated rate limits the calls that start") {
    const instant start{10s};
    stated_rate_limit limit;
    CHECK(calls_started(limit, start, 100ms) == 100);

    SECTION("a new limit starts without room for a burst") {
        limit.set_rate(5.0, start);
        CHECK_FALSE(limit.has_room(start));
        CHECK(calls_started(limit, start, 4s) <= 20);
        CHECK(calls_started(limit, start + 4s, 4s) >= 19);
    }
    SECTION("after an idle time one call may start at once") {
        limit.set_rate(5.0, start);
        CHECK(calls_started(limit, start + 60s, 1s) <= 6);
    }
    SECTION("a rate below one a second lets a call start now and then") {
        limit.set_rate(0.25, start);
        CHECK(calls_started(limit, start, 8s) <= 2);
        CHECK(calls_started(limit, start + 8s, 8s) >= 1);
    }
    SECTION("a changed rate keeps the room that is left") {
        limit.set_rate(5.0, start);
        REQUIRE(calls_started(limit, start, 201ms) == 1);
        limit.set_rate(2.0, start + 201ms);
        CHECK(calls_started(limit, start + 201ms, 400ms) == 0);
    }
    SECTION("a rate of zero lets no call start") {
        limit.set_rate(0.0, start);
        CHECK(calls_started(limit, start, 60s) == 0);
        CHECK(limit.wait_after(0, start) == stated_rate_limit::unlimited_wait);
    }
    SECTION("a rate of zero uses up the room that a higher rate has left") {
        limit.set_rate(0.5, start);
        REQUIRE(limit.has_room(start + 10s));
        limit.set_rate(0.0, start + 10s);
        CHECK_FALSE(limit.has_room(start + 10s));
        CHECK(limit.wait_after(0, start + 10s) == stated_rate_limit::unlimited_wait);
    }
    SECTION("a very large rate does not limit") {
        limit.set_rate(9e11, start);
        CHECK(calls_started(limit, start + 1ms, 1s) == 1000);
    }
    SECTION("the end of the limit ends the wait") {
        limit.set_rate(1.0, start);
        CHECK(limit.wait_after(2, start) == 3s);
        limit.set_rate(std::nullopt, start);
        CHECK(limit.wait_after(2, start) == 0s);
    }
}

TEST_CASE("admission control keeps to the stated rate together with its other limits") {
    const instant start{10s};
    admission_controller admission{{.warm_up = {.slots = 6, .cold_slots = 6}}, start};
    admission.stated_limit().set_rate(2.0, start);

    SECTION("a call that the rate can't take before its deadline is refused at once, with the time of room") {
        const auto decision = admission.admit(entry_of(1, start + 400ms), start);
        REQUIRE(std::holds_alternative<refused>(decision));
        CHECK(std::get<refused>(decision).why == reason::server_rate_limited);
        CHECK(std::get<refused>(decision).retry_after == 500ms);
    }
    SECTION("calls that the rate takes in time wait for it, the urgent one first") {
        REQUIRE(std::holds_alternative<queued>(admission.admit(entry_of(1, start + 3s), start)));
        auto urgent = entry_of(2, start + 3s);
        urgent.urgent = true;
        REQUIRE(std::holds_alternative<queued>(admission.admit(urgent, start)));
        CHECK(admission.rate_wait(start) == 1500ms);
        CHECK(admission.advance(start + 400ms).dispatch.empty());
        CHECK(admission.advance(start + 500ms).dispatch == std::vector<attempt_id>{{1, 2}});
        CHECK(admission.advance(start + 900ms).dispatch.empty());
        CHECK(admission.advance(start + 1s).dispatch == std::vector<attempt_id>{{1, 1}});
    }
    SECTION("a call that another backend server can answer in time does not wait for the rate") {
        auto entry = entry_of(1, start + 3s);
        entry.latest_start = start + 300ms;
        const auto decision = admission.admit(entry, start);
        REQUIRE(std::holds_alternative<refused>(decision));
        CHECK(std::get<refused>(decision).why == reason::server_rate_limited);
    }
    SECTION("a rate of zero gives no time of room") {
        admission.stated_limit().set_rate(0.0, start);
        const auto decision = admission.admit(entry_of(1, start + 3s), start);
        REQUIRE(std::holds_alternative<refused>(decision));
        CHECK(std::get<refused>(decision).retry_after == 0s);
    }
    SECTION("a cold backend server is limited by the lower of both rates") {
        admission_controller cold{
            {.warm_up = {.slots = 6, .cold_slots = 6}, .cold = {.calls_per_second = 1, .cold_start = 30s}},
            start};
        cold.stated_limit().set_rate(2.0, start);
        std::size_t started = 0;
        for (std::uint64_t number = 1; number <= 40; ++number) {
            static_cast<void>(cold.admit(entry_of(number, start + 60s), start));
        }
        for (auto now = start; now < start + 10s; now += 10ms) {
            for (const auto& attempt : cold.advance(now).dispatch) {
                cold.complete(attempt, 1ms);
                ++started;
            }
        }
        CHECK(started <= 12); // one a second and the cold burst of two
        CHECK(started >= 9);
    }
    SECTION("a call that slots hold back uses no room of the rate") {
        admission.stated_limit().set_rate(100.0, start);
        for (std::uint64_t number = 1; number <= 8; ++number) {
            static_cast<void>(admission.admit(entry_of(number, start + 60s), start + 1s));
        }
        static_cast<void>(admission.advance(start + 2s));
        CHECK(admission.running() == 6);
        admission.complete({1, 1}, 1ms);
        CHECK(admission.advance(start + 2s).dispatch.size() == 1);
    }
}

} // namespace chervilturn
