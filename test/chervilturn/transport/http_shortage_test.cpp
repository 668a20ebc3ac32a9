// A server with little memory, and clients that don't end their requests, don't take their responses or do
// nothing.
#include "chervilturn/transport/http.hpp"

#include "support/raw_peer.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

using namespace std::chrono_literals;
using test::raw_client;
using test::wait_for;

constexpr std::size_t body_bytes = 1UL << 20U;
constexpr std::size_t budget_bytes = 4 * body_bytes;

// A server that keeps every request until the test responds.
struct short_of_bytes {
    event_loop loop;
    byte_budget bodies{{.limit = budget_bytes, .headroom = body_bytes}};
    address server_address = test::free_address();
    std::vector<std::shared_ptr<http_exchange>> exchanges;
    std::unique_ptr<http_server> server;
    std::vector<std::unique_ptr<raw_client>> clients;

    explicit short_of_bytes(std::size_t max_connections = 0, microseconds idle_timeout = 1h) {
        auto listening = http_server::listen(this->loop, this->server_address,
                                             {.max_body_bytes = body_bytes,
                                              .header_timeout = 1h,
                                              .idle_timeout = idle_timeout,
                                              .bodies = &this->bodies,
                                              .max_connections = max_connections},
                                             [this](std::shared_ptr<http_exchange> exchange) {
                                                 this->exchanges.push_back(std::move(exchange));
                                             });
        REQUIRE(succeeded(listening));
        this->server = value_of(std::move(listening));
    }

    raw_client& add_client() {
        this->clients.push_back(std::make_unique<raw_client>(this->loop, this->server_address));
        return *this->clients.back();
    }

    // A client that sends a body up to some bytes before its end.
    raw_client& send_body(std::size_t missing_bytes) {
        auto& client = this->add_client();
        client.write("POST /up HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body_bytes) +
                     "\r\n\r\n" + std::string(body_bytes - missing_bytes, 'x'));
        return client;
    }

    raw_client& send_short() {
        auto& client = this->add_client();
        client.write("GET /short HTTP/1.1\r\nHost: h\r\n\r\n");
        return client;
    }

    [[nodiscard]] bool wait_for_requests(std::size_t count) {
        return wait_for(this->loop, [this, count] { return this->exchanges.size() >= count; });
    }

    [[nodiscard]] bool receives(const raw_client& client, const std::string& text) {
        return wait_for(this->loop, [&] { return client.received().starts_with(text); });
    }
};

} // namespace

TEST_CASE("bodies that stop before their end make way for others") {
    short_of_bytes fixture;
    std::vector<raw_client*> stalled;
    stalled.reserve(4);
    for (int number = 0; number < 4; ++number) {
        stalled.push_back(&fixture.send_body(10));
    }
    REQUIRE(wait_for(fixture.loop, [&] { return fixture.bodies.waiting() > 0; }));

    SECTION("a short request does not wait") {
        fixture.send_short();
        CHECK(fixture.wait_for_requests(1));
    }
    SECTION("a whole body finds room, and what was held up is refused before it ran") {
        fixture.send_body(0);
        REQUIRE(fixture.wait_for_requests(1));
        CHECK(fixture.exchanges.front()->request().body.size() == body_bytes);
        CHECK(fixture.receives(*stalled.front(), "HTTP/1.1 408 "));
    }
    CHECK(fixture.bodies.used() <= fixture.bodies.limit());
}

TEST_CASE("bodies of requests that are being processed are not ended, and others wait for them") {
    short_of_bytes fixture;
    for (int number = 0; number < 5; ++number) {
        fixture.send_body(0);
    }
    REQUIRE(wait_for(fixture.loop, [&] { return fixture.bodies.waiting() > 0; }));
    const auto held = fixture.exchanges.size();
    CHECK(held < 5);
    CHECK(wait_for(fixture.loop, [&fixture] {
        if (!fixture.exchanges.empty()) {
            fixture.exchanges.front()->respond({.status = 200, .headers = {}, .body = "done"});
            fixture.exchanges.erase(fixture.exchanges.begin());
        }
        return std::all_of(fixture.clients.begin(), fixture.clients.end(), [](const auto& client) {
            return client->received().starts_with("HTTP/1.1 200 ");
        });
    }));
}

TEST_CASE("responses that nobody takes are dropped while others need their bytes") {
    short_of_bytes fixture;
    const auto respond = [&fixture] {
        auto& client = fixture.send_short();
        client.pause_reading();
        REQUIRE(fixture.wait_for_requests(1));
        auto held = std::make_shared<byte_share>(fixture.bodies, 2 * body_bytes);
        fixture.exchanges.front()->respond({.status = 200,
                                            .headers = {},
                                            .body = std::string(2 * body_bytes, 'x'),
                                            .held = std::move(held)});
        fixture.exchanges.clear();
    };
    for (int number = 0; number < 6; ++number) {
        respond();
    }
    CHECK(wait_for(fixture.loop, [&] { return fixture.bodies.used() <= fixture.bodies.limit(); }));
    fixture.send_short();
    CHECK(fixture.wait_for_requests(1));
}

TEST_CASE("a connection ends when its client takes nothing for the idle time") {
    short_of_bytes fixture{0, 300ms};
    auto& client = fixture.send_short();
    client.pause_reading();
    REQUIRE(fixture.wait_for_requests(1));
    const bool last = GENERATE(false, true);
    if (last) {
        client.write("no request\r\n\r\n");
    }
    fixture.exchanges.front()->respond(
        {.status = 200, .headers = {}, .body = std::string(16 * body_bytes, 'x'), .held = nullptr});
    fixture.exchanges.clear();
    CHECK(wait_for(fixture.loop, [&] { return fixture.server->connection_count() == 0; }));
}

TEST_CASE("beyond the most connections the one that has been idle for the longest time ends") {
    constexpr std::size_t most = 4;
    short_of_bytes fixture{most};
    for (std::size_t number = 0; number < most; ++number) {
        fixture.add_client();
        REQUIRE(wait_for(fixture.loop, [&] { return fixture.server->connection_count() == number + 1; }));
    }
    fixture.send_short();
    REQUIRE(fixture.wait_for_requests(1));
    CHECK(wait_for(fixture.loop, [&] { return fixture.clients.front()->ended(); }));
    CHECK(fixture.server->connection_count() == most);
    CHECK_FALSE(fixture.clients.at(1)->ended());

    SECTION("while none is idle, a further one waits") {
        for (std::size_t number = 1; number < most; ++number) {
            fixture.clients.at(number)->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        }
        REQUIRE(fixture.wait_for_requests(most));
        fixture.send_short();
        fixture.send_short();
        REQUIRE(wait_for(fixture.loop, [&] { return fixture.server->connection_count() > most; }));
        fixture.exchanges.front()->respond(
            {.status = 200, .headers = {{"connection", "close"}}, .body = "done"});
        fixture.clients.at(most)->reset();
        fixture.clients.at(1)->reset();
        CHECK(fixture.wait_for_requests(most + 2));
    }
}

} // namespace chervilturn
