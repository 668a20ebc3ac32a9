// What an entry may say of attempts whose connection or owner is lost.
#include "chervilturn/node/outstanding_attempts.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

using namespace std::chrono_literals;

constexpr instant start{1h};
constexpr std::uint64_t owner_process = 7;
constexpr attempt_id first{.entry = 1, .sequence = 1};

// One attempt with a second left.
struct one_attempt {
    outstanding_attempts attempts;

    one_attempt() { this->attempts.add(first, start + 1s); }

    call send(std::size_t body_bytes = 0) {
        call outgoing;
        outgoing.attempt = first;
        outgoing.body = std::string(body_bytes, 'x');
        this->attempts.on_sending(outgoing, owner_process, true, start + 100ms);
        return outgoing;
    }

    [[nodiscard]] outcome outcome_when_failed() {
        const auto ended = this->attempts.on_failed();
        REQUIRE(ended.size() == 1);
        return ended.front().result;
    }
};

} // namespace

TEST_CASE("an attempt whose owner cannot be reached") {
    one_attempt fixture;

    SECTION("has not run while its call was not passed on") {
        CHECK(fixture.outcome_when_failed() == outcome::not_run);
    }
    SECTION("may have run once its call was passed on") {
        static_cast<void>(fixture.send());
        CHECK(fixture.outcome_when_failed() == outcome::unknown);
    }
    SECTION("has not run when the connection did not take the call") {
        static_cast<void>(fixture.send());
        const auto ended = fixture.attempts.on_not_sent(first);
        REQUIRE(ended);
        CHECK(ended->result == outcome::not_run);
        CHECK(fixture.attempts.empty());
    }
    SECTION("is of no interest to anybody once it is cancelled") {
        static_cast<void>(fixture.send());
        REQUIRE(fixture.attempts.cancel(first, start));
        CHECK(fixture.attempts.on_failed().empty());
    }
}

TEST_CASE("after a lost connection the owner is asked, not the call sent again") {
    one_attempt fixture;
    static_cast<void>(fixture.send());

    SECTION("the same process knows the outcome") {
        const auto following = fixture.attempts.on_replaced(owner_process, start + 200ms);
        REQUIRE(following.outgoing.size() == 1);
        CHECK(std::get<inquiry>(following.outgoing.front()).attempt == first);
        CHECK(following.ended.empty());
    }
    SECTION("a restarted one does not: the call may have run") {
        const auto following = fixture.attempts.on_replaced(owner_process + 1, start + 200ms);
        CHECK(following.outgoing.empty());
        REQUIRE(following.ended.size() == 1);
        CHECK(following.ended.front().result == outcome::unknown);
        CHECK(fixture.attempts.empty());
    }
    SECTION("past the deadline nobody is asked") {
        const auto following = fixture.attempts.on_replaced(owner_process, start + 1s);
        CHECK(following.outgoing.empty());
        REQUIRE(following.ended.size() == 1);
        CHECK(following.ended.front().result == outcome::unknown);
    }
    SECTION("a cancelled attempt is cancelled again, for a while") {
        REQUIRE(fixture.attempts.cancel(first, start + 200ms));
        const auto following = fixture.attempts.on_replaced(owner_process, start + 300ms);
        REQUIRE(following.outgoing.size() == 1);
        CHECK(std::get<cancel>(following.outgoing.front()).attempt == first);
        fixture.attempts.expire(start + 5s);
        CHECK(fixture.attempts.empty());
    }
    SECTION("an attempt that was not sent yet just waits") {
        constexpr attempt_id second{.entry = 1, .sequence = 2};
        fixture.attempts.add(second, start + 1s);
        const auto following = fixture.attempts.on_replaced(owner_process + 1, start + 200ms);
        REQUIRE(following.ended.size() == 1);
        CHECK(following.ended.front().attempt == first);
        CHECK(fixture.attempts.size() == 1);
    }
}

TEST_CASE("an answer reaches the entry once, and says no more than the owner can know") {
    one_attempt fixture;
    static_cast<void>(fixture.send());
    answer served;
    served.attempt = first;
    served.result = outcome::completed;

    SECTION("a second copy is dropped") {
        CHECK(fixture.attempts.on_answer(served, start + 200ms));
        CHECK_FALSE(fixture.attempts.on_answer(served, start + 201ms));
    }
    SECTION("an answer after the deadline is passed on") {
        const auto forwarded = fixture.attempts.on_answer(served, start + 2s);
        REQUIRE(forwarded);
        CHECK(forwarded->result == outcome::completed);
    }
    SECTION("a fence set in time proves that the call has not run") {
        const auto forwarded =
            fixture.attempts.on_answer(refuse(first, outcome::not_run, reason::fenced), start + 500ms);
        REQUIRE(forwarded);
        CHECK(forwarded->result == outcome::not_run);
    }
    SECTION("one set after the deadline proves nothing") {
        const auto forwarded =
            fixture.attempts.on_answer(refuse(first, outcome::not_run, reason::fenced), start + 1s);
        REQUIRE(forwarded);
        CHECK(forwarded->result == outcome::unknown);
    }
    SECTION("a refusal after the deadline stays a refusal") {
        const auto forwarded =
            fixture.attempts.on_answer(refuse(first, outcome::not_run, reason::queue_full), start + 1s);
        REQUIRE(forwarded);
        CHECK(forwarded->result == outcome::not_run);
    }
}

TEST_CASE("the time that is left counts from the order to send") {
    one_attempt fixture;
    CHECK(fixture.send().remaining == 900ms);
}

TEST_CASE("a long body is handed out on request") {
    one_attempt fixture;
    const auto sent = fixture.send(100'000);
    CHECK(sent.body.empty());
    CHECK(sent.withheld_bytes == 100'000);

    SECTION("on the request of an owner of an older version") {
        const auto body = fixture.attempts.body_part({.attempt = first});
        REQUIRE(body);
        CHECK(body->size() == 100'000);
        CHECK_FALSE(fixture.attempts.body_part({.attempt = first}));
    }
    SECTION("in the parts that the owner requests, also again") {
        for (int time = 0; time < 2; ++time) {
            const auto part =
                fixture.attempts.body_part({.attempt = first, .offset = 90'000, .length = 20'000});
            REQUIRE(part);
            CHECK(part->size() == 10'000);
        }
        CHECK_FALSE(fixture.attempts.body_part({.attempt = first, .offset = 100'000, .length = 1}));
    }
    SECTION("also when the first request was lost with its connection and the owner asks again") {
        static_cast<void>(fixture.attempts.on_replaced(owner_process, start + 200ms));
        CHECK(fixture.attempts.body_part({.attempt = first}));
    }
    SECTION("but not for a cancelled call") {
        REQUIRE(fixture.attempts.cancel(first, start + 200ms));
        CHECK_FALSE(fixture.attempts.body_part({.attempt = first}));
    }
}

} // namespace chervilturn
