// How long an admitted call waits for its body.
#include "chervilturn/admission/awaited_bodies.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

using namespace std::chrono_literals;

TEST_CASE("an admitted call waits for its body for a limited time") {
    awaited_bodies bodies;
    const instant start{1s};
    const attempt_id attempt{1, 1};
    constexpr std::size_t size = 500'000;
    const std::string body(size, 'x');
    bodies.expect(attempt, size, nullptr, start);
    CHECK(bodies.contains(attempt));

    SECTION("the body that was announced ends the wait") {
        CHECK(bodies.arrive(attempt, 0, body) == body_arrival::complete);
        CHECK(bodies.take(attempt) == body);
        CHECK_FALSE(bodies.contains(attempt));
        SECTION("a second copy of it is unwanted") {
            CHECK(bodies.arrive(attempt, 0, body) == body_arrival::unwanted);
        }
    }
    SECTION("a shorter or longer body is no body of the call") {
        const std::string other(GENERATE(size - 1, size + 1, 0), 'x');
        CHECK(bodies.arrive(attempt, 0, other) == body_arrival::wrong_size);
        CHECK(bodies.size() == 0);
    }
    SECTION("it is put together from the parts that are requested") {
        const auto first = bodies.next_part(attempt);
        CHECK(first.offset == 0);
        CHECK(first.length == max_body_part);
        CHECK(bodies.arrive(attempt, 0, std::string(max_body_part, 'a')) == body_arrival::partial);
        CHECK(bodies.contains(attempt));

        SECTION("up to the last one") {
            const auto last = bodies.next_part(attempt);
            CHECK(last.offset == max_body_part);
            CHECK(last.length == size - max_body_part);
            CHECK(bodies.arrive(attempt, last.offset, std::string(last.length, 'b')) ==
                  body_arrival::complete);
            CHECK(bodies.take(attempt) ==
                  std::string(max_body_part, 'a') + std::string(size - max_body_part, 'b'));
        }
        SECTION("a part that came before, or one from further on, is unwanted") {
            CHECK(bodies.arrive(attempt, 0, std::string(max_body_part, 'a')) == body_arrival::unwanted);
            CHECK(bodies.arrive(attempt, max_body_part + 1, "b") == body_arrival::unwanted);
            CHECK(bodies.contains(attempt));
        }
        SECTION("a part of another size ends the wait") {
            CHECK(bodies.arrive(attempt, max_body_part, "b") == body_arrival::wrong_size);
            CHECK(bodies.size() == 0);
        }
    }
    SECTION("a body that nobody waits for is unwanted") {
        CHECK(bodies.arrive({1, 2}, 0, body) == body_arrival::unwanted);
        bodies.forget(attempt);
        CHECK(bodies.arrive(attempt, 0, body) == body_arrival::unwanted);
    }
    SECTION("a longer body has more time") {
        bodies.expect({1, 2}, 4 * size, nullptr, start);
        CHECK(bodies.take_overdue(start + 1499ms).empty());
        CHECK(bodies.take_overdue(start + 1500ms) == std::vector{attempt});
        CHECK(bodies.take_overdue(start + 2999ms).empty());
        CHECK(bodies.take_overdue(start + 3s) == std::vector{attempt_id{1, 2}});
        CHECK(bodies.size() == 0);
    }
}

} // namespace chervilturn
