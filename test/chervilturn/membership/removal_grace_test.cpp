// Entries that vanish: gone at once on an ordinary day, waited for after trouble of the platform.
#include "chervilturn/membership/removal_grace.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

using namespace std::chrono_literals;

TEST_CASE("a vanished entry") {
    const instant start{10s};
    removal_grace hold{{.grace_period = 2s}};

    SECTION("is gone at once while the platform is well") {
        hold.on_platform_answered(start);
        CHECK(hold.on_removed("a", start));
    }
    SECTION("is waited for while the platform recovers") {
        hold.on_platform_failed();
        hold.on_platform_answered(start);
        CHECK_FALSE(hold.on_removed("a", start + 100ms));
        SECTION("and forgotten when it is back in time") {
            hold.on_present("a");
            CHECK(hold.take_due(start + 5s).empty());
        }
        SECTION("and gone when it is not") {
            CHECK(hold.take_due(start + 1900ms).empty());
            CHECK(hold.take_due(start + 2s) == std::vector<std::string>{"a"});
            CHECK(hold.waiting() == 0);
        }
        SECTION("but one that vanishes after the recovery is gone at once") {
            CHECK(hold.on_removed("b", start + 3s));
        }
    }
}

} // namespace chervilturn
