// Updates that are sent in parts.
#include "chervilturn/transport/update_transfer.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

// Values that do not compress, so that the update needs many parts.
settings_update large_update(std::size_t leaves) {
    subtree_snapshot snapshot{.subtree = "teranga", .revision = 7, .complete = false, .leaves = {}};
    std::uint64_t state = 1;
    for (std::size_t index = 0; index < leaves; ++index) {
        std::string value;
        for (int digits = 0; digits < 8; ++digits) {
            state = state * 6364136223846793005U + 1442695040888963407U;
            value += std::to_string(state);
        }
        snapshot.leaves.push_back({.path = "teams/teranga/routes/" + std::to_string(index),
                                   .revision = 7,
                                   .removed = false,
                                   .value = std::move(value)});
    }
    return {.subtrees = {std::move(snapshot)}, .nonce = 3};
}

} // namespace

TEST_CASE("an update in parts") {
    const auto update = large_update(1400);
    const auto packed = pack(update);
    REQUIRE(packed->size() > 5 * update_part_bytes);
    const instant now{};
    outgoing_update outgoing{9, packed, now};
    incoming_update incoming;

    SECTION("arrives as it was") {
        std::optional<settings_update> arrived;
        while (!arrived) {
            auto part = outgoing.next_part();
            REQUIRE(part);
            auto added = incoming.add(*part, now);
            REQUIRE(succeeded(added));
            arrived = value_of(std::move(added));
            outgoing.on_receipt(incoming.receipt(), now);
        }
        CHECK(outgoing.is_complete());
        CHECK(arrived->nonce == 3);
        REQUIRE(arrived->subtrees.size() == 1);
        REQUIRE(arrived->subtrees[0].leaves.size() == 1400);
        CHECK(arrived->subtrees[0].leaves[1399].value == update.subtrees[0].leaves[1399].value);
    }
    SECTION("has two parts on its way at most") {
        REQUIRE(outgoing.next_part());
        const auto second = outgoing.next_part();
        REQUIRE(second);
        CHECK_FALSE(outgoing.next_part());
        outgoing.on_receipt({.transfer = 8, .received = second->offset}, now);
        CHECK_FALSE(outgoing.next_part());
        outgoing.on_receipt({.transfer = 9, .received = second->offset}, now);
        CHECK(outgoing.next_part());
        CHECK_FALSE(outgoing.is_complete());
    }
    SECTION("is refused when a part is missing, repeated or larger than its total") {
        const auto first = *outgoing.next_part();
        const auto second = *outgoing.next_part();
        CHECK_FALSE(succeeded(incoming.add(second, now)));
        REQUIRE(succeeded(incoming.add(first, now)));
        auto too_long = second;
        too_long.total = second.offset + 1;
        CHECK_FALSE(succeeded(incoming.add(too_long, now)));
        REQUIRE(succeeded(incoming.add(second, now)));
        CHECK_FALSE(succeeded(incoming.add(second, now)));
    }
    SECTION("is refused when its bytes are not a packed update") {
        CHECK_FALSE(succeeded(unpack("no zlib stream")));
        CHECK_FALSE(succeeded(unpack(packed->substr(0, packed->size() / 2))));
    }
}

} // namespace chervilturn
