// Bytes from a peer that are no frames end the connection at a bound.
#include "chervilturn/transport/codec.hpp"
#include "chervilturn/transport/peer_connection.hpp"
#include "support/raw_peer.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

using namespace test;

namespace {

// A frame's length prefix, least significant byte first.
std::string prefix_of(std::uint32_t length) {
    std::string text;
    for (unsigned shift = 0; shift < 32; shift += 8) {
        text += static_cast<char>(length >> shift);
    }
    return text;
}

} // namespace

TEST_CASE("a peer that sends no frames is disconnected before its bytes pile up") {
    event_loop loop;
    const auto listen_address = free_address();
    std::shared_ptr<peer_connection> accepted;
    std::optional<close_cause> closed;
    std::size_t received = 0;
    std::size_t progressed = 0;
    auto listener =
        peer_listener::listen(loop, listen_address, [&](std::shared_ptr<peer_connection> connection) {
            accepted = std::move(connection);
            accepted->set_handlers({.opened = {},
                                    .received = [&received](message&&, const frame_arrival&) { ++received; },
                                    .progressed = [&progressed] { ++progressed; },
                                    .closed = [&closed](close_cause cause) { closed = cause; }});
        });
    REQUIRE(succeeded(listener));
    raw_client peer{loop, listen_address};
    const auto greeting = encode(hello{.host = "h", .data_centre = "d", .peer_address = listen_address});

    SECTION("a first frame larger than a hello, without end") {
        peer.write(prefix_of(60'000'000));
        REQUIRE(wait_for(loop, [&] { return closed.has_value(); }));
        CHECK(*closed == close_cause::malformed_frame);
    }
    SECTION("bytes that are no frame, after a hello") {
        peer.write({greeting.begin(), greeting.end()});
        REQUIRE(wait_for(loop, [&] { return received == 1; }));
        peer.write(std::string(4096, 'x'));
        REQUIRE(wait_for(loop, [&] { return closed.has_value(); }));
        CHECK(*closed == close_cause::malformed_frame);
    }
    SECTION("a frame that arrives slowly shows progress before it is complete") {
        answer large = refuse({1, 2}, outcome::completed, reason::none);
        large.body = std::string(100'000, 'x');
        const auto frame = encode(large);
        peer.write({greeting.begin(), greeting.end()});
        REQUIRE(wait_for(loop, [&] { return received == 1; }));
        CHECK(progressed == 0);
        peer.write(frame.substr(0, 20));
        REQUIRE(wait_for(loop, [&] { return progressed == 1; }));
        peer.write(frame.substr(20, 20));
        REQUIRE(wait_for(loop, [&] { return progressed == 2; }));
        CHECK(received == 1);
        peer.write(frame.substr(40));
        REQUIRE(wait_for(loop, [&] { return received == 2; }));
    }
    SECTION("a large frame after a hello is received") {
        answer large = refuse({1, 2}, outcome::completed, reason::none);
        large.body = std::string(100'000, 'x');
        const auto frame = encode(large);
        peer.write({greeting.begin(), greeting.end()});
        peer.write({frame.begin(), frame.end()});
        REQUIRE(wait_for(loop, [&] { return received == 2; }));
        CHECK_FALSE(closed.has_value());
    }
}

} // namespace chervilturn
