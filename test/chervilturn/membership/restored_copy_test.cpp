// Which entries of a restored platform are outdated, and for how long.
#include "chervilturn/membership/restored_copy.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

using namespace std::chrono_literals;

TEST_CASE("entries of a restored copy are compared with those that were confirmed") {
    const instant start{10s};
    restored_copy entries{{.settle_time = 6s, .max_removed = 2}};
    entries.on_entry("changed", 30);
    entries.on_entry("gone", 20);
    entries.on_removed("gone");
    entries.on_entry("same", 10);
    CHECK_FALSE(entries.is_outdated("changed", 12, start));

    entries.on_restored(start);
    SECTION("an earlier write is outdated, the same and a later one are not") {
        CHECK(entries.is_outdated("changed", 12, start));
        CHECK_FALSE(entries.is_outdated("same", 10, start));
        CHECK_FALSE(entries.is_outdated("changed", 31, start));
    }
    SECTION("an entry whose removal was confirmed is outdated unless it was written again") {
        CHECK(entries.is_outdated("gone", 20, start));
        CHECK_FALSE(entries.is_outdated("gone", 40, start));
        CHECK_FALSE(entries.is_missing("gone", start));
    }
    SECTION("an entry that the copy lacks is missing") {
        CHECK(entries.is_missing("changed", start));
        CHECK_FALSE(entries.is_missing("unknown", start));
    }
    SECTION("nothing is outdated after the settle time") {
        CHECK(entries.is_settling(start + 5999ms));
        CHECK_FALSE(entries.is_outdated("changed", 12, start + 6s));
        CHECK_FALSE(entries.is_missing("changed", start + 6s));
    }
    SECTION("a second restoration keeps what was confirmed before the first one while that settles") {
        entries.on_entry("same", 10);
        entries.on_restored(start + 1s);
        CHECK(entries.is_outdated("changed", 12, start + 2s));
        CHECK(entries.is_settling(start + 6500ms));
    }
    SECTION("a second restoration after the settle time compares with the era before it") {
        entries.on_entry("changed", 5);
        entries.on_restored(start + 20s);
        CHECK_FALSE(entries.is_outdated("changed", 5, start + 20s));
        CHECK(entries.is_outdated("changed", 4, start + 20s));
    }
}

TEST_CASE("only the latest removed entries are remembered") {
    const instant start{10s};
    restored_copy entries{{.settle_time = 6s, .max_removed = 2}};
    for (std::uint64_t number = 1; number <= 3; ++number) {
        entries.on_entry("e" + std::to_string(number), number);
        entries.on_removed("e" + std::to_string(number));
    }
    entries.on_restored(start);
    CHECK_FALSE(entries.is_outdated("e1", 1, start));
    CHECK(entries.is_outdated("e2", 2, start));
    CHECK(entries.is_outdated("e3", 3, start));
}

} // namespace chervilturn
