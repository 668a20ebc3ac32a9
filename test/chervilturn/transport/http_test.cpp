// HTTP client and server against each other and against raw sockets, over the loopback.
#include "chervilturn/transport/http.hpp"

#include "support/raw_peer.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

using namespace std::chrono_literals;
using test::raw_client;
using test::raw_server;

constexpr auto patience = 10s;

// Runs the loop until a condition holds; false when it does not in time.
template<typename Condition> bool wait_for(event_loop& loop, Condition condition) {
    const auto limit = monotonic_clock::now() + patience;
    while (!condition()) {
        if (monotonic_clock::now() > limit) {
            return false;
        }
        timer step{loop, [&loop] { loop.stop(); }};
        step.start_once(1ms);
        loop.run();
    }
    return true;
}

struct serving {
    event_loop loop;
    std::vector<std::shared_ptr<http_exchange>> received;
    address where = test::free_address();
    std::unique_ptr<http_server> server;

    serving() {
        auto made = http_server::listen(loop, where, {}, [this](std::shared_ptr<http_exchange> exchange) {
            this->received.push_back(std::move(exchange));
        });
        REQUIRE(succeeded(made));
        this->server = value_of(std::move(made));
    }
};

} // namespace

TEST_CASE("a server hears that its caller has left") {
    serving s;
    auto caller = std::make_unique<raw_client>(s.loop, s.where);
    caller->write("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(wait_for(s.loop, [&] { return s.received.size() == 1; }));
    bool left = false;
    s.received.front()->on_abandoned([&left] { left = true; });
    SECTION("while the request is at work") {
        caller.reset();
        CHECK(wait_for(s.loop, [&] { return left; }));
    }
    SECTION("but not when it merely sends its next request early") {
        caller->write("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
        s.received.front()->respond({.status = 200, .headers = {}, .body = "first"});
        REQUIRE(wait_for(s.loop, [&] { return s.received.size() == 2; }));
        CHECK_FALSE(left);
        CHECK(s.received.back()->request().target == "/next");
    }
}

TEST_CASE("a malformed request is answered with 400 and a closed connection") {
    serving s;
    raw_client caller{s.loop, s.where};
    caller.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 30\r\n\r\n"
                 "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(wait_for(s.loop, [&] { return caller.ended(); }));
    CHECK(caller.received().starts_with("HTTP/1.1 400 "));
    CHECK(s.received.empty());
}

TEST_CASE("a client takes only the response to its own request") {
    event_loop loop;
    raw_server server{loop};
    http_client client{loop, server.where(), {}};
    std::optional<http_result> outcome;
    const auto send = [&] {
        static_cast<void>(client.send(
            {.method = "GET", .target = "/", .headers = {}, .body = {}},
            {.timeout = 5s,
             .belongs =
                 [](const http_response& response) { return find_header(response.headers, "id") == "1"; }},
            [&outcome](http_result result) { outcome = std::move(result); }));
    };
    const std::string mine = "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 2\r\n\r\nok";

    SECTION("and drops a late one that came before it") {
        send();
        REQUIRE(wait_for(loop, [&] { return !server.received().empty(); }));
        server.write("HTTP/1.1 200 OK\r\nid: 0\r\nContent-Length: 5\r\n\r\nother" + mine);
        REQUIRE(wait_for(loop, [&] { return outcome.has_value(); }));
        CHECK(std::get<http_response>(*outcome).body == "ok");
    }
    SECTION("and never reuses a connection that carried bytes behind the response") {
        send();
        REQUIRE(wait_for(loop, [&] { return !server.received().empty(); }));
        server.write(mine + "HTTP/1.1 200 OK\r\n");
        REQUIRE(wait_for(loop, [&] { return outcome.has_value(); }));
        outcome.reset();
        send();
        REQUIRE(wait_for(loop, [&] { return server.accepted() == 2; }));
    }
    SECTION("and takes a reset for a cut, an orderly end without length for whole") {
        send();
        REQUIRE(wait_for(loop, [&] { return !server.received().empty(); }));
        server.write("HTTP/1.1 200 OK\r\nid: 1\r\n\r\npart");
        const bool reset = GENERATE(true, false);
        REQUIRE(wait_for(loop, [&] { return server.written(); }));
        reset ? server.reset() : server.end();
        REQUIRE(wait_for(loop, [&] { return outcome.has_value(); }));
        CHECK(std::holds_alternative<http_failure>(*outcome) == reset);
    }
    SECTION("and tells a request that never left from one that may have run") {
        const auto gone = test::free_address();
        http_client nowhere{loop, gone, {}};
        static_cast<void>(nowhere.send({.method = "GET", .target = "/", .headers = {}, .body = {}}, 5s,
                                       [&outcome](http_result result) { outcome = std::move(result); }));
        REQUIRE(wait_for(loop, [&] { return outcome.has_value(); }));
        CHECK(std::get<http_failure>(*outcome) == http_failure::refused);
    }
}

} // namespace chervilturn
