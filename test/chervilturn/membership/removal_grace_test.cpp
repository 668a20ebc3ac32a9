// Entries that disappear are removed immediately, or after a grace period if the platform has just recovered.
#include "chervilturn/membership/removal_grace.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

using namespace std::chrono_literals;

TEST_CASE("an entry that disappears") {
    const instant start{10s};
    removal_grace grace{{.grace_period = 2s}};

    SECTION("is removed immediately while the platform works") {
        grace.on_platform_answered(start);
        CHECK(grace.on_removed("a", start));
    }
    SECTION("is not removed immediately after a platform failure") {
        grace.on_platform_failed();
        grace.on_platform_answered(start);
        CHECK_FALSE(grace.on_removed("a", start + 100ms));
        SECTION("and not removed later if it reappears") {
            grace.on_present("a");
            CHECK(grace.take_expired(start + 5s).empty());
        }
        SECTION("and removed at the end of the grace period if it does not reappear") {
            CHECK(grace.take_expired(start + 1900ms).empty());
            CHECK(grace.take_expired(start + 2s) == std::vector<std::string>{"a"});
            CHECK(grace.pending_count() == 0);
        }
        SECTION("and, when the platform fails again meanwhile, only a whole grace period after that") {
            CHECK(grace.next_expiry() == start + 2s);
            grace.on_platform_failed();
            CHECK_FALSE(grace.next_expiry());
            CHECK(grace.take_expired(start + 5s).empty());
            grace.on_platform_answered(start + 9s);
            CHECK(grace.take_expired(start + 10s).empty());
            CHECK(grace.next_expiry() == start + 11s);
            CHECK(grace.take_expired(start + 11s) == std::vector<std::string>{"a"});
        }
        SECTION("but an entry that disappears after the grace period is removed immediately") {
            CHECK(grace.on_removed("b", start + 3s));
        }
    }
}

} // namespace chervilturn
