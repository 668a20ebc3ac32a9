// With which peers a node exchanges settings, by what they told about theirs.
#include "chervilturn/membership/peer_comparisons.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

using namespace std::chrono_literals;

const address first{"10.0.0.1", 7000};
const address second{"10.0.0.2", 7000};
constexpr std::uint64_t own = 1;
constexpr std::uint64_t other = 2;

} // namespace

TEST_CASE("a node exchanges settings with peers that have others") {
    peer_comparisons comparisons;
    const instant start{1h};
    comparisons.on_told(first, own, true, start);
    CHECK(comparisons.begin_due(own, false, start).empty());
    CHECK_FALSE(comparisons.any_differs(own));
    comparisons.on_told(second, other, false, start);
    CHECK(comparisons.any_differs(own));

    SECTION("at once when it does not read the platform, and once for the same difference") {
        CHECK(comparisons.begin_due(own, false, start) == std::vector<address>{second});
        CHECK(comparisons.begin_due(own, false, start + 1s).empty());
        comparisons.on_told(second, other, false, start + 6s);
        CHECK(comparisons.begin_due(own, false, start + 6s) == std::vector<address>{second});
    }
    SECTION("again as soon as either side has changed") {
        REQUIRE_FALSE(comparisons.begin_due(own, false, start).empty());
        CHECK(comparisons.begin_due(3, false, start + 10ms).size() == 2);
        comparisons.on_told(second, 4, false, start + 20ms);
        CHECK(comparisons.begin_due(3, false, start + 20ms) == std::vector<address>{second});
    }
    SECTION("after the time of its own read when it reads the platform") {
        CHECK(comparisons.begin_due(own, true, start + 100ms).empty());
        CHECK(comparisons.begin_due(own, true, start + 300ms) == std::vector<address>{second});
    }
    SECTION("but not by what was told long ago") {
        CHECK(comparisons.begin_due(own, false, start + 3s).empty());
        CHECK_FALSE(comparisons.any_differs(own));
    }
    // Guards against a large change that arrives twice over a narrow link after the platform was away.
    SECTION("one at a time of those that read the platform and have the same") {
        comparisons.on_told(first, other, true, start);
        comparisons.on_told(second, other, true, start);
        CHECK(comparisons.begin_due(own, false, start) == std::vector<address>{first});
        CHECK(comparisons.begin_due(own, false, start + 900ms).empty());
        CHECK(comparisons.begin_due(own, false, start + 1s) == std::vector<address>{second});
    }
    SECTION("all at once of those that wait for what this node has read") {
        comparisons.on_told(first, other, false, start);
        CHECK(comparisons.begin_due(own, false, start) == std::vector<address>{first, second});
    }
    SECTION("but not by what a peer told before it received this node's settings") {
        comparisons.on_delivered(second);
        CHECK(comparisons.begin_due(own, false, start).empty());
        CHECK_FALSE(comparisons.any_differs(own));
        comparisons.on_told(second, other, false, start + 1s);
        CHECK(comparisons.begin_due(own, false, start + 1s) == std::vector<address>{second});
    }
    SECTION("and knows which of them have the same") {
        CHECK(comparisons.peers_with(own, start + 1s) == std::vector<address>{first});
        CHECK(comparisons.peers_with(own, start + 3s).empty());
    }
    SECTION("and knows which of them read the platform") {
        CHECK(comparisons.platform_readers(start + 1s) == std::vector<address>{first});
        comparisons.on_told(first, own, false, start + 2s);
        CHECK(comparisons.platform_readers(start + 2s).empty());
    }
}

} // namespace chervilturn
