// A node without settings asks one seed at a time.
#include "chervilturn/membership/seed_rotation.hpp"

#include <catch2/catch.hpp>
#include <set>

namespace chervilturn {

TEST_CASE("seeds are asked in turn") {
    const address first{"127.0.0.1", 1};
    const address second{"127.0.0.2", 1};
    const address third{"127.0.0.3", 1};

    SECTION("every seed is asked once before any is asked again") {
        for (std::size_t start = 0; start < 5; ++start) {
            seed_rotation rotation{{first, second, third}, {"127.0.0.9", 1}, start};
            std::set<address> asked{*rotation.next(), *rotation.next(), *rotation.next()};
            CHECK(asked.size() == 3);
        }
    }
    SECTION("the node never asks itself") {
        seed_rotation rotation{{first, second, third}, second, 0};
        for (int attempt = 0; attempt < 6; ++attempt) {
            CHECK(*rotation.next() != second);
        }
    }
    SECTION("no seed is returned when there is no other") {
        CHECK_FALSE(seed_rotation({second}, second, 0).next());
        CHECK_FALSE(seed_rotation({}, second, 3).next());
    }
}

} // namespace chervilturn
