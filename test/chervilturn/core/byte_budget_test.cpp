// Which bodies may grow while the budget is nearly used up.
#include "chervilturn/core/byte_budget.hpp"

#include <catch2/catch.hpp>
#include <memory>

namespace chervilturn {

namespace {

constexpr byte_budget_options options{.limit = 100, .headroom = 40};

} // namespace

// Guards against a process that runs out of memory although each body is within its own limit.
TEST_CASE("bodies that arrive together stay within the budget") {
    byte_budget budget{options};
    int calls = 0;
    const auto begin_body = [&] { return std::make_unique<byte_share>(budget, [&calls] { ++calls; }); };
    auto first = begin_body();
    auto second = begin_body();
    REQUIRE(first->grow_to(35) == byte_grant::granted);
    REQUIRE(second->grow_to(25) == byte_grant::granted);

    SECTION("only the largest goes on into the headroom") {
        CHECK(second->grow_to(26) == byte_grant::wait);
        CHECK(budget.waiting() == 1);
        CHECK(first->grow_to(75) == byte_grant::granted);
        CHECK(budget.used() == 100);

        SECTION("and is refused at the limit, which makes room for the next one") {
            CHECK(first->grow_to(76) == byte_grant::refused);
            CHECK(budget.used() == 100);
            CHECK(calls == 0);
            first.reset();
            CHECK(calls == 1);
            CHECK(second->grow_to(60) == byte_grant::granted);
        }
        SECTION("and once it is complete the next one goes on as soon as it has left") {
            first->complete(75);
            CHECK(calls == 1);
            CHECK(second->grow_to(26) == byte_grant::wait);
            first.reset();
            CHECK(calls == 2);
            CHECK(second->grow_to(26) == byte_grant::granted);
        }
    }
    SECTION("of two equal ones the first goes on") {
        REQUIRE(first->grow_to(35) == byte_grant::granted);
        auto third = begin_body();
        CHECK(third->grow_to(1) == byte_grant::wait);
        CHECK(first->grow_to(36) == byte_grant::granted);
    }
    SECTION("a body that is here counts beyond the limit") {
        const byte_share present{budget, 200};
        CHECK(budget.used() == 260);
        CHECK(first->grow_to(36) == byte_grant::wait);
        CHECK(second->grow_to(26) == byte_grant::wait);
    }
    SECTION(
        "a body that asks for less keeps what it has, so that it stays the largest, until it is complete") {
        CHECK(second->grow_to(26) == byte_grant::wait);
        CHECK(first->grow_to(5) == byte_grant::granted);
        CHECK(budget.used() == 60);
        CHECK(first->grow_to(36) == byte_grant::granted);
        first->complete(5);
        CHECK(calls == 1);
        CHECK(budget.used() == 30);
    }
    first.reset();
    second.reset();
    CHECK(budget.used() == 0);
    CHECK(budget.waiting() == 0);
}

// Guards against clients that begin requests and stay: what they hold must not keep the responses of the
// requests in progress from arriving, nor short requests from being read.
TEST_CASE("requests that are arriving leave room for responses and for short requests") {
    constexpr std::size_t unit = max_short_request;
    byte_budget budget{{.limit = 10 * unit, .headroom = 4 * unit}};
    int shortages = 0;
    int calls = 0;
    budget.on_shortage([&shortages] { ++shortages; });
    const auto begin_request = [&] {
        return std::make_unique<byte_share>(
            budget, [&calls] { ++calls; }, share_kind::request);
    };
    auto first = begin_request();
    auto second = begin_request();
    REQUIRE(first->grow_to(4 * unit) == byte_grant::granted);
    REQUIRE(second->grow_to(2 * unit) == byte_grant::granted);

    SECTION("a long one waits at the headroom, and the shortage is told") {
        CHECK(second->grow_to(3 * unit) == byte_grant::wait);
        CHECK(budget.waiting() == 1);
        CHECK(shortages == 1);
        SECTION("until another one has ended") {
            first.reset();
            CHECK(calls == 1);
            CHECK(second->grow_to(3 * unit) == byte_grant::granted);
        }
    }
    SECTION("short ones may use half of the headroom") {
        auto third = begin_request();
        auto fourth = begin_request();
        auto fifth = begin_request();
        CHECK(third->grow_to(unit) == byte_grant::granted);
        CHECK(fourth->grow_to(unit) == byte_grant::granted);
        CHECK(fifth->grow_to(unit) == byte_grant::wait);
    }
    SECTION("a response goes on into the headroom") {
        byte_share response{budget, [] {}};
        CHECK(response.grow_to(4 * unit) == byte_grant::granted);
    }
    SECTION("one that fits beside nothing goes on when nothing else is held") {
        CHECK(first->grow_to(10 * unit) == byte_grant::wait);
        second.reset();
        CHECK(first->grow_to(10 * unit) == byte_grant::granted);
    }
    SECTION("one that is longer than the limit is refused") {
        CHECK(first->grow_to(10 * unit + 1) == byte_grant::refused);
        CHECK(budget.waiting() == 0);
    }
    SECTION("responses have a limit of their own") {
        byte_budget divided{{.limit = 10 * unit, .headroom = unit, .response_limit = 4 * unit}};
        byte_share request{divided, [] {}, share_kind::request};
        byte_share response{divided, [] {}};
        CHECK(request.grow_to(5 * unit) == byte_grant::granted);
        CHECK(response.grow_to(4 * unit) == byte_grant::granted);
        CHECK(response.grow_to(5 * unit) == byte_grant::refused);
    }
    SECTION("what is held beyond the limit is told") {
        const byte_share present{budget, 5 * unit};
        CHECK(shortages == 1);
    }
    first.reset();
    second.reset();
    CHECK(budget.used() == 0);
}

} // namespace chervilturn
