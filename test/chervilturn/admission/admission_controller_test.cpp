// The owner's door: exact slots, warm-up, fairness, deadlines; and random orders of events.
#include "chervilturn/admission/admission_controller.hpp"
#include "chervilturn/core/random.hpp"

#include <catch2/catch.hpp>
#include <set>

namespace chervilturn {

namespace {

using namespace std::chrono_literals;

queue_entry entry_of(std::uint64_t number, const std::string& workspace, instant deadline) {
    return {
        .attempt = {1, number}, .workspace = workspace, .weight = 1, .urgent = false, .deadline = deadline};
}

admission_controller warm_door(std::uint32_t slots, std::uint32_t max_queue) {
    return admission_controller{{.warm_up = {.slots = slots, .cold_slots = slots}, .max_queue = max_queue}};
}

} // namespace

TEST_CASE("a door counts slots exactly") {
    const instant now{1s};
    auto admission = warm_door(2, 1);
    REQUIRE(std::holds_alternative<dispatched>(admission.admit(entry_of(1, "a", now + 1s), now)));
    REQUIRE(std::holds_alternative<dispatched>(admission.admit(entry_of(2, "a", now + 1s), now)));

    SECTION("the next call waits, the one after is refused") {
        REQUIRE(std::holds_alternative<queued>(admission.admit(entry_of(3, "a", now + 1s), now)));
        const auto third = admission.admit(entry_of(4, "a", now + 1s), now);
        REQUIRE(std::holds_alternative<refused>(third));
        CHECK(std::get<refused>(third).why == reason::queue_full);

        SECTION("and leaves the queue when a slot is free") {
            CHECK(admission.advance(now).dispatch.empty());
            admission.complete({1, 1}, 1ms);
            CHECK(admission.advance(now).dispatch == std::vector<attempt_id>{{1, 3}});
        }
        SECTION("and leaves as expired when its deadline passes first") {
            CHECK(admission.advance(now + 2s).expired == std::vector<attempt_id>{{1, 3}});
        }
    }
    SECTION("a cancelled call holds its slot for the grace") {
        admission.abandon({1, 1}, now);
        CHECK(std::holds_alternative<queued>(admission.admit(entry_of(5, "a", now + 1s), now)));
        CHECK(admission.advance(now + 50ms).dispatch.empty());
        CHECK(admission.advance(now + 100ms).dispatch.size() == 1);
    }
    SECTION("a call that cannot start in time is refused at once") {
        admission.complete({1, 1}, 100ms);
        admission.complete({1, 2}, 100ms);
        auto busy = admission_controller{{.warm_up = {.slots = 1, .cold_slots = 1}, .max_queue = 100}};
        REQUIRE(std::holds_alternative<dispatched>(busy.admit(entry_of(1, "a", now + 1s), now)));
        busy.complete({1, 1}, 100ms);
        REQUIRE(std::holds_alternative<dispatched>(busy.admit(entry_of(2, "a", now + 1s), now)));
        REQUIRE(std::holds_alternative<queued>(busy.admit(entry_of(3, "a", now + 1s), now)));
        const auto late = busy.admit(entry_of(4, "a", now + 90ms), now);
        REQUIRE(std::holds_alternative<refused>(late));
        CHECK(std::get<refused>(late).why == reason::deadline_too_near);
    }
}

TEST_CASE("a slow spell sends waiting calls elsewhere") {
    const instant now{1s};
    auto admission = warm_door(1, 100);
    std::uint64_t number = 0;
    const auto run = [&](microseconds service_time) {
        const auto entry = entry_of(++number, "a", now + 9s);
        REQUIRE(std::holds_alternative<dispatched>(admission.admit(entry, now)));
        admission.complete(entry.attempt, service_time);
    };
    for (int answered = 0; answered < 50; ++answered) {
        run(10ms);
    }
    SECTION("the wait is estimated from recent answers, before they are that slow") {
        for (int answered = 0; answered < 10; ++answered) {
            run(25ms);
        }
        REQUIRE(std::holds_alternative<dispatched>(admission.admit(entry_of(100, "a", now + 9s), now)));
        REQUIRE(std::holds_alternative<queued>(admission.admit(entry_of(101, "a", now + 9s), now)));
        REQUIRE(std::holds_alternative<queued>(admission.admit(entry_of(102, "a", now + 9s), now)));
        CHECK(std::holds_alternative<refused>(admission.admit(entry_of(103, "a", now + 35ms), now)));
        CHECK(std::holds_alternative<queued>(admission.admit(entry_of(104, "a", now + 100ms), now)));
    }
    SECTION("one long call is no spell") {
        run(200ms);
        REQUIRE(std::holds_alternative<dispatched>(admission.admit(entry_of(100, "a", now + 9s), now)));
        CHECK(std::holds_alternative<queued>(admission.admit(entry_of(101, "a", now + 9s), now)));
    }
    SECTION("calls that wait when it begins are shed, new ones are refused, a free slot is still used") {
        run(200ms);
        run(200ms);
        REQUIRE(std::holds_alternative<dispatched>(admission.admit(entry_of(100, "a", now + 9s), now)));
        REQUIRE(std::holds_alternative<queued>(admission.admit(entry_of(101, "a", now + 9s), now)));
        admission.complete({1, 100}, 200ms);
        CHECK(admission.advance(now).shed == std::vector<attempt_id>{{1, 101}});
        REQUIRE(std::holds_alternative<dispatched>(admission.admit(entry_of(102, "a", now + 9s), now)));
        const auto next = admission.admit(entry_of(103, "a", now + 9s), now);
        REQUIRE(std::holds_alternative<refused>(next));
        CHECK(std::get<refused>(next).why == reason::backend_slow);
        SECTION("but a call that has nowhere else to go waits, and stays") {
            auto alone = entry_of(104, "a", now + 9s);
            alone.last_resort = true;
            REQUIRE(std::holds_alternative<queued>(admission.admit(alone, now)));
            CHECK(admission.advance(now).shed.empty());
        }
    }
}

TEST_CASE("a call that cannot end in time takes no slot") {
    const instant now{1s};
    auto admission = warm_door(1, 10);
    const auto call = [](std::uint64_t number, instant deadline, bool last_resort = false) {
        auto entry = entry_of(number, "a", deadline);
        entry.baseline_service_time = 100ms;
        entry.last_resort = last_resort;
        return entry;
    };
    const auto why_refused = [](const admission_decision& made) {
        const auto* refusal = std::get_if<refused>(&made);
        return refusal == nullptr ? reason::none : refusal->why;
    };

    SECTION("with less time than its work takes at least") {
        CHECK(why_refused(admission.admit(call(1, now + 60ms), now)) == reason::deadline_too_near);
        CHECK(std::holds_alternative<dispatched>(admission.admit(call(2, now + 80ms), now)));
    }
    SECTION("with less time than it takes on a slow host, unless it has nowhere else to go") {
        admission.set_slowdown(800, now);
        CHECK(why_refused(admission.admit(call(1, now + 500ms), now)) == reason::deadline_too_near);
        CHECK(std::holds_alternative<dispatched>(admission.admit(call(2, now + 500ms, true), now)));
    }
    SECTION("and leaves the queue once its time is too short") {
        REQUIRE(std::holds_alternative<dispatched>(admission.admit(call(1, now + 1s), now)));
        REQUIRE(std::holds_alternative<queued>(admission.admit(call(2, now + 500ms), now)));
        CHECK(admission.advance(now + 400ms).expired.empty());
        CHECK(admission.advance(now + 431ms).expired == std::vector<attempt_id>{{1, 2}});
    }
    SECTION("nothing is known of its usual time") {
        CHECK(std::holds_alternative<dispatched>(admission.admit(entry_of(1, "a", now + 1ms), now)));
    }
}

TEST_CASE("a full queue is shared by weight") {
    const instant now{1s};
    auto admission = warm_door(1, 4);
    REQUIRE(std::holds_alternative<dispatched>(admission.admit(entry_of(1, "noisy", now + 1s), now)));
    for (std::uint64_t number = 2; number <= 5; ++number) {
        REQUIRE(std::holds_alternative<queued>(admission.admit(entry_of(number, "noisy", now + 1s), now)));
    }
    SECTION("a neighbour's call pushes out the newest call of the workspace with the largest share") {
        const auto admitted = admission.admit(entry_of(10, "quiet", now + 1s), now);
        REQUIRE(std::holds_alternative<queued>(admitted));
        REQUIRE(std::get<queued>(admitted).evicted);
        CHECK(std::get<queued>(admitted).evicted->attempt == attempt_id{1, 5});
        SECTION("and is served in its turn, not after the whole queue") {
            admission.complete({1, 1}, 1ms);
            CHECK(admission.advance(now).dispatch == std::vector<attempt_id>{{1, 2}});
            admission.complete({1, 2}, 1ms);
            CHECK(admission.advance(now).dispatch == std::vector<attempt_id>{{1, 10}});
        }
    }
    SECTION("the noisy workspace's own further calls are refused") {
        CHECK(std::holds_alternative<refused>(admission.admit(entry_of(6, "noisy", now + 1s), now)));
    }
}

TEST_CASE("urgent calls go first, but never starve the others") {
    const instant now{1s};
    auto admission = warm_door(1, 100);
    REQUIRE(std::holds_alternative<dispatched>(admission.admit(entry_of(1, "a", now + 9s), now)));
    REQUIRE(std::holds_alternative<queued>(admission.admit(entry_of(2, "a", now + 9s), now)));
    for (std::uint64_t number = 10; number < 20; ++number) {
        auto entry = entry_of(number, "b", now + 9s);
        entry.urgent = true;
        REQUIRE(std::holds_alternative<queued>(admission.admit(entry, now)));
    }
    std::vector<std::uint64_t> order;
    attempt_id running{1, 1};
    for (int turn = 0; turn < 6; ++turn) {
        admission.complete(running, 1ms);
        running = admission.advance(now).dispatch.at(0);
        order.push_back(running.sequence);
    }
    CHECK(order == std::vector<std::uint64_t>{10, 11, 12, 13, 2, 14});
}

TEST_CASE("a backend server warms up by answers, not by time") {
    const instant now{1s};
    admission_controller admission{
        {.warm_up = {.slots = 4, .cold_slots = 1, .answers_per_slot = 2}, .max_queue = 100}};
    const auto answer_calls = [&admission, now](std::uint64_t count, microseconds service_time) {
        for (std::uint64_t number = 0; number < count; ++number) {
            const auto entry = entry_of(100 + number, "a", now + 1s);
            REQUIRE(std::holds_alternative<dispatched>(admission.admit(entry, now)));
            admission.complete(entry.attempt, service_time);
        }
    };
    CHECK(admission.report().limit == 1);
    answer_calls(2, 1ms);
    CHECK(admission.report().limit == 2);
    CHECK(admission.warm_up().state() == backend_state::warming);
    answer_calls(4, 1ms);
    CHECK(admission.report().limit == 4);
    CHECK(admission.warm_up().state() == backend_state::warm);

    SECTION("slow answers in a row are a cold start") {
        answer_calls(2, 10ms);
        CHECK(admission.report().limit == 4);
        answer_calls(1, 10ms);
        CHECK(admission.report().limit == 1);
        CHECK(admission.warm_up().state() == backend_state::cold);
    }
    SECTION("one slow answer is not") {
        answer_calls(2, 10ms);
        answer_calls(1, 1ms);
        answer_calls(2, 10ms);
        CHECK(admission.report().limit == 4);
    }
    SECTION("a relapse while it warms up doubles the answers that the next slot takes") {
        admission.warm_up().on_restarted();
        answer_calls(2, 1ms);
        REQUIRE(admission.warm_up().state() == backend_state::warming);
        answer_calls(3, 20ms);
        REQUIRE(admission.report().limit == 1);
        answer_calls(3, 1ms);
        CHECK(admission.report().limit == 1);
        answer_calls(1, 1ms);
        CHECK(admission.report().limit == 2);
    }
    SECTION("a new boot mark is") {
        admission.warm_up().on_restarted();
        CHECK(admission.report().limit == 1);
    }
    SECTION("a refused connection closes the door until the server is reached again, then it is cold") {
        admission.warm_up().on_lost();
        CHECK(admission.report().limit == 0);
        CHECK(std::holds_alternative<refused>(admission.admit(entry_of(1, "a", now + 1s), now)));
        admission.warm_up().on_reached();
        CHECK(admission.report().limit == 1);
    }
    SECTION("a drain closes the door, its end leaves the server cold") {
        admission.warm_up().on_drain(true);
        CHECK(admission.report().limit == 0);
        admission.warm_up().on_drain(false);
        CHECK(admission.report().limit == 1);
    }
}

TEST_CASE("no order of events puts more calls on a backend server than its limit") {
    const auto seed = GENERATE(range<std::uint64_t>(1, 101));
    random_source random{seed};
    instant now{1s};
    admission_controller admission{
        {.warm_up = {.slots = 5, .cold_slots = 2, .answers_per_slot = 3}, .max_queue = 8}};
    std::set<attempt_id> running;
    std::set<attempt_id> waiting;
    std::uint64_t number = 0;
    const auto take = [&random](std::set<attempt_id>& from) {
        auto chosen = from.begin();
        std::advance(chosen, static_cast<std::ptrdiff_t>(random.index(from.size())));
        const auto attempt = *chosen;
        from.erase(chosen);
        return attempt;
    };
    for (int step = 0; step < 400; ++step) {
        now += microseconds{static_cast<std::int64_t>(random.index(20'000))};
        const auto before = running.size();
        const auto limit_before = admission.report().limit;
        const auto action = random.index(8);
        if (action < 3) {
            const auto entry = entry_of(++number, random.index(2) == 0 ? "a" : "b", now + 50ms);
            const auto admitted = admission.admit(entry, now);
            if (std::holds_alternative<dispatched>(admitted)) {
                running.insert(entry.attempt);
                CHECK(running.size() <= limit_before);
            } else if (const auto* placed = std::get_if<queued>(&admitted)) {
                waiting.insert(entry.attempt);
                if (placed->evicted) {
                    CHECK(waiting.erase(placed->evicted->attempt) == 1);
                }
            }
        } else if (action < 6 && !running.empty()) {
            admission.complete(take(running),
                               microseconds{1000 + static_cast<std::int64_t>(random.index(9000))});
        } else if (action == 6) {
            admission.warm_up().on_restarted();
        } else {
            const auto leaving = admission.advance(now);
            for (const auto& attempt : leaving.expired) {
                CHECK(waiting.erase(attempt) == 1);
            }
            for (const auto& attempt : leaving.shed) {
                CHECK(waiting.erase(attempt) == 1);
            }
            for (const auto& attempt : leaving.dispatch) {
                CHECK(waiting.erase(attempt) == 1);
                running.insert(attempt);
            }
            CHECK(running.size() <= std::max<std::size_t>(before, admission.report().limit));
        }
        CHECK(admission.report().queued == waiting.size());
        CHECK(admission.report().in_use == running.size());
    }
}

TEST_CASE("a call that would be late here goes elsewhere while it can") {
    const instant now{1s};
    auto admission = warm_door(2, 10);
    auto entry = entry_of(1, "a", now + 1s);
    entry.baseline_service_time = 50ms;
    entry.latest_start = now + 100ms; // an answer is late after 150 ms

    SECTION("since the host is slow at present") {
        admission.set_slowdown(400, now);
        const auto admitted = admission.admit(entry, now);
        REQUIRE(std::holds_alternative<refused>(admitted));
        CHECK(std::get<refused>(admitted).why == reason::would_be_late);
        SECTION("but runs as a last resort") {
            entry.last_resort = true;
            CHECK(std::holds_alternative<dispatched>(admission.admit(entry, now)));
        }
        SECTION("and is taken once the report is old") {
            entry.latest_start += 500ms;
            CHECK(std::holds_alternative<dispatched>(admission.admit(entry, now + 500ms)));
        }
    }
    SECTION("and waits behind calls that can still be in time, when nobody took it") {
        REQUIRE(std::holds_alternative<dispatched>(admission.admit(entry_of(10, "a", now + 1s), now)));
        REQUIRE(std::holds_alternative<dispatched>(admission.admit(entry_of(11, "a", now + 1s), now)));
        auto late = entry_of(12, "a", now + 1s);
        late.latest_start = now - 1ms;
        REQUIRE(std::holds_alternative<queued>(admission.admit(late, now)));
        auto timely = entry_of(13, "a", now + 1s);
        timely.latest_start = now + 500ms;
        REQUIRE(std::holds_alternative<queued>(admission.admit(timely, now)));
        admission.complete({1, 10}, 50ms);
        CHECK(admission.advance(now).dispatch == std::vector<attempt_id>{{1, 13}});
        admission.complete({1, 11}, 50ms);
        CHECK(admission.advance(now).dispatch == std::vector<attempt_id>{{1, 12}});
    }
}

} // namespace chervilturn
