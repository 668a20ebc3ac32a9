// Which client ends when the bytes that are held for clients leave no room for others.
#include "chervilturn/transport/client_pace.hpp"

#include <catch2/catch.hpp>

namespace chervilturn::internal {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t long_request = 1'000'000; // bytes
constexpr std::size_t short_request = 100;      // bytes

} // namespace

TEST_CASE("a client makes progress by moving bytes, not by moving a byte now and then") {
    const instant start{1s};
    client_pace pace;
    pace.restart(start);
    CHECK(pace.stalled_for(start + 1s) == 1s);

    SECTION("many bytes are progress") {
        pace.note(100'000, start + 1s);
        CHECK(pace.stalled_for(start + 3s) == 2s);
        SECTION("until a new transfer begins") {
            pace.restart(start + 4s);
            pace.note(5000, start + 5s);
            CHECK(pace.stalled_for(start + 5s) == 0s);
        }
    }
    SECTION("a few are none, until they add up") {
        for (std::size_t moved = 0; moved < 4000; moved += 400) {
            pace.note(moved, start + 1s);
        }
        CHECK(pace.stalled_for(start + 2s) == 2s);
        pace.note(4400, start + 2s);
        CHECK(pace.stalled_for(start + 2s) == 0s);
    }
}

TEST_CASE("the client that holds up others ends") {
    SECTION("the one without progress for the longest time") {
        CHECK(client_to_end({{long_request, 1s}, {short_request, 3s}, {long_request, 2s}}, 500ms) == 1);
    }
    SECTION("of equally slow ones the one for whom most is held") {
        CHECK(client_to_end({{short_request, 1s}, {long_request, 1s}}, 500ms) == 1);
    }
    SECTION("none while all make progress") {
        CHECK_FALSE(client_to_end({{long_request, 100ms}, {long_request, 499ms}}, 500ms));
        CHECK(client_to_end({{long_request, 100ms}, {long_request, 499ms}}, 0ms) == 1);
    }
    SECTION("none for whom nothing is held") {
        CHECK_FALSE(client_to_end({{0, 1h}}, 0ms));
    }
    SECTION("not one that waits for room, while another long transfer goes on") {
        CHECK_FALSE(client_to_end({{long_request, 1h, true}, {long_request, 0ms}}, 500ms));
    }
    SECTION("the shortest that waits when all long ones wait for each other") {
        CHECK(client_to_end({{2 * long_request, 1s, true}, {long_request, 1s, true}, {short_request, 0s}},
                            500ms) == 1);
    }
}

} // namespace chervilturn::internal
