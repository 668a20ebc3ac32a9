// Requests are held after they crashed three backend servers, and innocent ones beside them are not.
#include "chervilturn/admission/crash_record.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

using namespace std::chrono_literals;

namespace {

request_fingerprint request_with(std::uint64_t number) {
    return {.high = number, .low = 0};
}

} // namespace

TEST_CASE("an innocent request that ran beside crashes is not held") {
    crash_record record{{}};
    const instant now{1h};
    const auto deadly = request_with(1);
    const auto innocent = request_with(2);
    const auto crash = [&](std::uint64_t number, std::initializer_list<request_fingerprint> running) {
        for (const auto& request : running) {
            record.add({.request = request, .crash = number, .cleared = false, .age = 1s, .data_centres = {}},
                       now);
        }
    };

    SECTION("in two of three crashes") {
        crash(1, {deadly, innocent});
        crash(2, {deadly, innocent});
        crash(3, {deadly});
        CHECK(record.held() == std::set{deadly});
    }
    SECTION("in all of them, so that no one can tell: neither is held before the fifth") {
        crash(1, {deadly, innocent});
        crash(2, {deadly, innocent});
        crash(3, {deadly, innocent});
        CHECK(record.held().empty());
        crash(4, {deadly});
        CHECK(record.held() == std::set{deadly});
    }
    SECTION("and was completed since") {
        crash(1, {deadly, innocent});
        crash(2, {deadly, innocent});
        crash(3, {deadly, innocent});
        const auto pieces = record.clearing(innocent, now);
        CHECK(pieces.size() == 3);
        for (const auto& piece : pieces) {
            CHECK(record.add(piece, now));
            CHECK_FALSE(record.add(piece, now));
        }
        CHECK(record.held() == std::set{deadly});
        CHECK(record.suspects() == std::set{deadly});

        SECTION("evidence of the earlier crashes that arrives late changes nothing") {
            CHECK_FALSE(record.add(
                {.request = innocent, .crash = 2, .cleared = false, .age = 0s, .data_centres = {}}, now));
            CHECK(record.suspects() == std::set{deadly});
        }
    }
    SECTION("of a server that crashes again and again by itself, while others complete the request") {
        for (std::uint64_t number = 1; number < 9; ++number) {
            const auto at = now + number * 10s;
            record.add(
                {.request = innocent, .crash = number, .cleared = false, .age = 0s, .data_centres = {}}, at);
            for (const auto& piece : record.clearing(innocent, at)) {
                record.add(piece, at);
            }
            CHECK(record.held().empty());
        }
    }
}

TEST_CASE("a request that crashes backend servers is held") {
    crash_record record{{.retention = 10min, .max_requests = 4}};
    const instant now{1h};
    const auto deadly = request_with(1);
    for (std::uint64_t number = 1; number <= 3; ++number) {
        CHECK(record.held().empty());
        CHECK(record.add(
            {.request = deadly, .crash = number, .cleared = false, .age = 1s, .data_centres = {}}, now));
        CHECK_FALSE(record.add(
            {.request = deadly, .crash = number, .cleared = false, .age = 1s, .data_centres = {}}, now));
    }
    REQUIRE(record.held() == std::set{deadly});

    SECTION("two nodes that exchange all they have come to rest") {
        crash_record other{{}};
        const auto exchange = [&now](const crash_record& from, crash_record& to, microseconds delay) {
            std::size_t news = 0;
            for (const auto& item : from.evidence(now, 30s)) {
                news += to.add(item, now + delay) ? 1 : 0;
            }
            return news;
        };
        CHECK(exchange(record, other, 50ms) == 3);
        for (const auto& piece : other.clearing(deadly, now)) {
            other.add(piece, now);
        }
        CHECK(exchange(record, other, 70ms) == 0);
        CHECK(exchange(other, record, 90ms) == 3);
        CHECK(exchange(record, other, 10ms) == 0);
        CHECK(exchange(other, record, 10ms) == 0);
        CHECK(other.held().empty());
        CHECK(record.held().empty());
    }
    SECTION("at every node that has the evidence") {
        crash_record other{{}};
        for (const auto& item : record.evidence(now, 30s)) {
            CHECK(other.add(item, now));
        }
        CHECK(other.held() == std::set{deadly});
    }
    SECTION("until its evidence is old") {
        CHECK_FALSE(record.expire(now + 5min));
        CHECK(record.expire(now + 11min));
        CHECK(record.held().empty());
        CHECK(record.size() == 0);
    }
    SECTION("also when many other requests run at crashes") {
        for (std::uint64_t number = 10; number < 30; ++number) {
            record.add({.request = request_with(number),
                        .crash = number,
                        .cleared = false,
                        .age = 0s,
                        .data_centres = {}},
                       now);
        }
        CHECK(record.size() == 4);
        CHECK(record.held() == std::set{deadly});
    }
}

TEST_CASE("a backend server has crashed if it takes no connections after running calls lost theirs") {
    crash_detector detector;
    const instant now{1h};
    detector.on_cut({.request = request_with(1), .data_centres = {}}, now);
    detector.on_cut({.request = request_with(2), .data_centres = {}}, now);

    SECTION("the calls are suspects once") {
        CHECK(detector.on_ended(now + 200ms).size() == 2);
        CHECK(detector.on_ended(now + 300ms).empty());
    }
    SECTION("not if it answers a call that was sent later") {
        detector.on_answered(now + 1ms);
        CHECK(detector.on_ended(now + 200ms).empty());
    }
    SECTION("also if an answer to an earlier call arrives") {
        detector.on_answered(now - 1ms);
        CHECK(detector.on_ended(now + 200ms).size() == 2);
    }
    SECTION("not if it ends much later") {
        CHECK(detector.on_ended(now + 5s).empty());
    }
}

TEST_CASE("the fingerprint of a request") {
    call first;
    first.service = "s";
    first.method = "POST";
    first.target = "/a";
    first.origin = "desk";
    first.body = "x";
    first.request_id = "1";
    auto other = first;
    other.request_id = "2";
    other.remaining = 5s;
    CHECK(fingerprint_of(first) == fingerprint_of(other));

    SECTION("differs by path, method, caller and body") {
        other.target = "/b";
        CHECK(fingerprint_of(first) != fingerprint_of(other));
        other = first;
        other.method = "PUT";
        CHECK(fingerprint_of(first) != fingerprint_of(other));
        other = first;
        other.origin = "kiosk";
        CHECK(fingerprint_of(first) != fingerprint_of(other));
        other = first;
        other.body = "y";
        CHECK(fingerprint_of(first) != fingerprint_of(other));
        other = first;
        other.target = "/ad";
        other.origin = "esk";
        CHECK(fingerprint_of(first) != fingerprint_of(other));
    }
}

} // namespace chervilturn
