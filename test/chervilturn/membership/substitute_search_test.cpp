// Which nodes are asked to read the platform in place of a reader that cannot reach it.
#include "chervilturn/membership/substitute_search.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

TEST_CASE("substitutes are asked two at a time until one reads the platform") {
    const address first{"10.0.0.1", 7000};
    const address second{"10.0.0.2", 7000};
    const address third{"10.0.0.3", 7000};
    const address elsewhere{"10.1.0.1", 7000};
    const std::vector<address> candidates{first, second, third};
    const std::vector<address> nobody;
    substitute_search search;

    SECTION("none while another reader reaches it") {
        CHECK(search.next(candidates, {elsewhere}).empty());
    }
    SECTION("none without candidates") {
        CHECK(search.next({}, nobody).empty());
        CHECK(search.round_ended());
    }
    SECTION("the first two, the third, and the first two again") {
        CHECK(search.next(candidates, nobody) == std::vector<address>{first, second});
        CHECK_FALSE(search.round_ended());
        CHECK(search.next(candidates, nobody) == std::vector<address>{third});
        CHECK(search.round_ended());
        CHECK(search.next(candidates, nobody) == std::vector<address>{first, second});
    }
    SECTION("the one that reads is asked to go on, until nobody is needed") {
        static_cast<void>(search.next(candidates, nobody));
        CHECK(search.next(candidates, {second}) == std::vector<address>{second});
        CHECK(search.next(candidates, {second}) == std::vector<address>{second});
        search.end();
        CHECK(search.next(candidates, {second}).empty());
    }
    SECTION("the next ones when the one that read ceases to") {
        static_cast<void>(search.next(candidates, nobody));
        static_cast<void>(search.next(candidates, {second}));
        CHECK(search.next(candidates, nobody) == std::vector<address>{third});
    }
}

} // namespace chervilturn
