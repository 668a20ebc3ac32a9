// What a backend server states about its rate and its leaving, and the order in which statements apply.
#include "chervilturn/node/server_statement.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

using namespace std::chrono_literals;

namespace {

constexpr statement_headers names{.calls_per_second = "x-rate", .leaving = "x-leaving"};

server_statement read_rate(const std::string& text) {
    return read_statement({{"X-Rate", text}}, names);
}

} // namespace

TEST_CASE("a statement is read from response headers") {
    CHECK_FALSE(read_statement({}, names).calls_per_second);
    CHECK_FALSE(read_statement({}, names).leaving);
    CHECK(read_statement({{"x-leaving", "1"}}, names).leaving);
    CHECK_FALSE(read_statement({{"x-leaving", "0"}}, names).leaving);

    SECTION("a rate is a decimal number that may be zero, below one or very large") {
        CHECK(read_rate("7.5").calls_per_second == 7.5);
        CHECK(read_rate("12").calls_per_second == 12.0);
        CHECK(read_rate("0").calls_per_second == 0.0);
        CHECK(read_rate("0.25").calls_per_second == 0.25);
        CHECK(read_rate("900000000000").calls_per_second == 900000000000.0);
    }
    SECTION("any other text is unreadable and states no rate") {
        for (const auto* text : {"-1", "many", "7,5", "7.5 ", "nan", "inf", "1e400", "0x10"}) {
            CAPTURE(text);
            CHECK(read_rate(text).unreadable_rate == text);
            CHECK_FALSE(read_rate(text).calls_per_second);
        }
    }
}

TEST_CASE("the strictest statement holds until a later request shows that it ended") {
    const instant start{1s};
    server_statements statements;
    REQUIRE(statements.on_response({.calls_per_second = 10.0}, start, start + 5ms));

    SECTION("a response to an earlier request doesn't end or raise the limit") {
        CHECK_FALSE(statements.on_response({}, start + 4ms, start + 300ms));
        CHECK_FALSE(statements.on_response({.calls_per_second = 40.0}, start + 4ms, start + 300ms));
        CHECK(statements.calls_per_second() == 10.0);
    }
    SECTION("a response to an earlier request lowers the limit") {
        CHECK(statements.on_response({.calls_per_second = 4.0}, start + 4ms, start + 300ms));
        CHECK(statements.calls_per_second() == 4.0);
    }
    SECTION("a response to a later request without a limit ends it") {
        CHECK(statements.on_response({}, start + 6ms, start + 10ms));
        CHECK_FALSE(statements.calls_per_second());
    }
    SECTION("an unreadable rate leaves the limit in force") {
        CHECK_FALSE(statements.on_response({.unreadable_rate = "many"}, start + 6ms, start + 10ms));
        CHECK(statements.calls_per_second() == 10.0);
    }
    SECTION("the age of a limit counts from the last response that stated it") {
        CHECK_FALSE(statements.on_response({.calls_per_second = 10.0}, start + 6ms, start + 20ms));
        CHECK(statements.rate_age(start + 50ms) == 30ms);
    }
    SECTION("leaving ends only with a response to a later request") {
        CHECK(statements.on_response({.calls_per_second = 10.0, .leaving = true}, start, start + 8ms));
        CHECK_FALSE(statements.on_response({.calls_per_second = 10.0}, start + 7ms, start + 9ms));
        CHECK(statements.leaving());
        CHECK(statements.on_response({.calls_per_second = 10.0}, start + 9ms, start + 12ms));
        CHECK_FALSE(statements.leaving());
    }
    SECTION("another backend server starts without statements") {
        statements.reset();
        CHECK_FALSE(statements.calls_per_second());
    }
}

} // namespace chervilturn
