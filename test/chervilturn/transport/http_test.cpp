// HTTP server against raw client sockets, and HTTP client against a raw server, over the loopback.
#include "chervilturn/transport/http.hpp"

#include "support/raw_peer.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

using namespace std::chrono_literals;
using test::raw_client;
using test::raw_server;
using test::wait_for;

// A running server that records its requests without responding.
struct server_fixture {
    event_loop loop;
    std::vector<std::shared_ptr<http_exchange>> exchanges;
    address server_address = test::free_address();
    std::unique_ptr<http_server> server;

    server_fixture() {
        auto listening =
            http_server::listen(loop, server_address, {}, [this](std::shared_ptr<http_exchange> exchange) {
                this->exchanges.push_back(std::move(exchange));
            });
        REQUIRE(succeeded(listening));
        this->server = value_of(std::move(listening));
    }
};

} // namespace

TEST_CASE("a server is notified when the client closes the connection") {
    server_fixture fixture;
    auto client_socket = std::make_unique<raw_client>(fixture.loop, fixture.server_address);
    client_socket->write("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(wait_for(fixture.loop, [&] { return fixture.exchanges.size() == 1; }));
    bool abandoned = false;
    fixture.exchanges.front()->on_abandoned([&abandoned] { abandoned = true; });
    SECTION("while the request is being processed") {
        client_socket.reset();
        CHECK(wait_for(fixture.loop, [&] { return abandoned; }));
    }
    SECTION("but not when the client pipelines its next request") {
        client_socket->write("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
        fixture.exchanges.front()->respond({.status = 200, .headers = {}, .body = "first"});
        REQUIRE(wait_for(fixture.loop, [&] { return fixture.exchanges.size() == 2; }));
        CHECK_FALSE(abandoned);
        CHECK(fixture.exchanges.back()->request().target == "/next");
    }
}

TEST_CASE("a malformed request is answered with 400 and a closed connection") {
    server_fixture fixture;
    raw_client client_socket{fixture.loop, fixture.server_address};
    client_socket.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 30\r\n\r\n"
                        "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(wait_for(fixture.loop, [&] { return client_socket.ended(); }));
    CHECK(client_socket.received().starts_with("HTTP/1.1 400 "));
    CHECK(fixture.exchanges.empty());
}

// Guards against a process that runs out of memory since servers send bodies without end on many connections.
TEST_CASE("the bodies that a client receives stay within the budget of the process") {
    constexpr std::size_t connection_count = 8;
    constexpr std::size_t max_body = 256UL * 1024;
    constexpr std::size_t short_body = 8UL * 1024;
    event_loop loop;
    byte_budget budget{{.limit = 2 * max_body, .headroom = max_body}};
    raw_server server{loop};
    http_client client{loop, server.local_address(), {.max_body_bytes = max_body, .bodies = &budget}};
    std::vector<std::unique_ptr<raw_client>> connections;
    std::vector<http_result> outcomes;
    const auto send = [&] {
        client.send({.method = "GET", .target = "/", .headers = {}, .body = {}}, 30s,
                    [&outcomes](http_result result) { outcomes.push_back(std::move(result)); });
        REQUIRE(wait_for(loop, [&] { return !server.received().empty(); }));
        connections.push_back(server.take_connection());
    };
    const auto all_ended = [&] {
        CHECK(budget.used() <= budget.limit());
        return outcomes.size() == connection_count;
    };
    for (std::size_t number = 0; number < connection_count; ++number) {
        send();
    }
    SECTION("bodies without end are given up one after another, and none blocks a short response") {
        for (const auto& connection : connections) {
            connection->write("HTTP/1.1 200 OK\r\n\r\n" + std::string(4 * max_body, 'x'));
        }
        REQUIRE(wait_for(loop, [&] { return budget.waiting() > 0; }));
        send();
        connections.back()->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(short_body) +
                                  "\r\n\r\n" + std::string(short_body, 'y'));
        const auto is_response = [](const http_result& outcome) {
            return std::holds_alternative<http_response>(outcome);
        };
        REQUIRE(wait_for(
            loop, [&] { return std::any_of(outcomes.begin(), outcomes.end(), is_response); }, 30s));
        REQUIRE(wait_for(
            loop,
            [&] {
                CHECK(budget.used() <= budget.limit());
                return outcomes.size() == connection_count + 1;
            },
            30s));
        CHECK(std::count_if(outcomes.begin(), outcomes.end(), is_response) == 1);
    }
    SECTION("long bodies that end arrive whole, as earlier ones leave") {
        for (const auto& connection : connections) {
            connection->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(max_body) + "\r\n\r\n" +
                              std::string(max_body, 'x'));
        }
        REQUIRE(wait_for(
            loop,
            [&] {
                for (auto& outcome : outcomes) {
                    auto& response = std::get<http_response>(outcome);
                    CHECK(response.body.size() == max_body);
                    response.held.reset(); // it has left the process
                }
                return all_ended();
            },
            30s));
    }
    SECTION("a connection that waits ends with its time-out") {
        for (const auto& connection : connections) {
            connection->write("HTTP/1.1 200 OK\r\n\r\n" + std::string(max_body / 2, 'x'));
        }
        REQUIRE(wait_for(loop, [&] { return budget.waiting() > 0; }));
        client.send({.method = "GET", .target = "/", .headers = {}, .body = {}}, 100ms,
                    [&outcomes](http_result result) { outcomes.push_back(std::move(result)); });
        REQUIRE(wait_for(loop, [&] { return !outcomes.empty(); }));
        CHECK(std::get<http_failure>(outcomes.front()) == http_failure::timed_out);
    }
    outcomes.clear();
}

TEST_CASE("a client accepts only the response to its own request") {
    event_loop loop;
    raw_server server{loop};
    http_client client{loop, server.local_address(), {}};
    std::optional<http_result> outcome;
    const auto send = [&](const std::string& id = "1") {
        static_cast<void>(client.send({.method = "GET", .target = "/", .headers = {}, .body = {}},
                                      {.timeout = 5s,
                                       .match =
                                           [id](const http_response& response) {
                                               const auto marked = find_header(response.headers, "id");
                                               return marked.empty() ? response_match::unmarked
                                                      : marked == id ? response_match::own
                                                                     : response_match::other;
                                           },
                                       .id = id},
                                      [&outcome](http_result result) { outcome = std::move(result); }));
    };
    const std::string own_response = "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 2\r\n\r\nok";

    SECTION("and discards a late response to an earlier request") {
        send();
        REQUIRE(wait_for(loop, [&] { return !server.received().empty(); }));
        server.write("HTTP/1.1 200 OK\r\nid: 0\r\nContent-Length: 5\r\n\r\nother" + own_response);
        REQUIRE(wait_for(loop, [&] { return outcome.has_value(); }));
        CHECK(std::get<http_response>(*outcome).body == "ok");
    }
    SECTION("and does not reuse a connection with extra bytes after the response") {
        send();
        REQUIRE(wait_for(loop, [&] { return !server.received().empty(); }));
        server.write(own_response + "HTTP/1.1 200 OK\r\n");
        REQUIRE(wait_for(loop, [&] { return outcome.has_value(); }));
        outcome.reset();
        send();
        REQUIRE(wait_for(loop, [&] { return server.accepted() == 2; }));
    }
    SECTION("and does not reuse a connection whose server announces that it keeps none idle") {
        send();
        REQUIRE(wait_for(loop, [&] { return !server.received().empty(); }));
        server.write("HTTP/1.1 200 OK\r\nid: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok");
        REQUIRE(wait_for(loop, [&] { return outcome.has_value(); }));
        outcome.reset();
        send("2");
        REQUIRE(wait_for(loop, [&] { return server.accepted() == 2; }));
    }
    SECTION("a refusal without a mark is not taken for the answer to the next request") {
        const std::string refusal = "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";
        send();
        REQUIRE(wait_for(loop, [&] { return !server.received().empty(); }));
        server.write(refusal);
        REQUIRE(wait_for(loop, [&] { return outcome.has_value(); }));
        outcome.reset();
        send("2");
        REQUIRE(wait_for(loop, [&] { return server.accepted() == 2; }));
    }
    SECTION("a request that comes again is not sent on the connection that carried its refusal") {
        send();
        REQUIRE(wait_for(loop, [&] { return !server.received().empty(); }));
        server.write("HTTP/1.1 503 Unavailable\r\nid: 1\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(wait_for(loop, [&] { return outcome.has_value(); }));
        outcome.reset();
        send();
        REQUIRE(wait_for(loop, [&] { return server.accepted() == 2; }));
    }
    SECTION("a request with another id is sent on a connection whose responses are marked") {
        send();
        REQUIRE(wait_for(loop, [&] { return !server.received().empty(); }));
        server.write(own_response);
        REQUIRE(wait_for(loop, [&] { return outcome.has_value(); }));
        outcome.reset();
        const auto bytes_before = server.received().size();
        send("2");
        REQUIRE(wait_for(loop, [&] { return server.received().size() > bytes_before; }));
        CHECK(server.accepted() == 1);
    }
    SECTION("an answer whose head or body ends early is no answer") {
        const std::string cut_answer =
            GENERATE("HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nid: 1",
                     "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 2\r\n",
                     "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 2\r\n\r",
                     "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 2\r\n\r\no",
                     "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n");
        send();
        REQUIRE(wait_for(loop, [&] { return !server.received().empty(); }));
        server.write(cut_answer);
        REQUIRE(wait_for(loop, [&] { return server.all_sent(); }));
        server.end();
        REQUIRE(wait_for(loop, [&] { return outcome.has_value(); }));
        CHECK(std::get<http_failure>(*outcome) == http_failure::cut);
    }
    SECTION("a reset cuts off a response without length, an orderly end completes it") {
        send();
        REQUIRE(wait_for(loop, [&] { return !server.received().empty(); }));
        server.write("HTTP/1.1 200 OK\r\nid: 1\r\n\r\npart");
        const bool reset = GENERATE(true, false);
        REQUIRE(wait_for(loop, [&] { return server.all_sent(); }));
        reset ? server.reset() : server.end();
        REQUIRE(wait_for(loop, [&] { return outcome.has_value(); }));
        CHECK(std::holds_alternative<http_failure>(*outcome) == reset);
    }
    SECTION("interim responses without end fail the request") {
        send();
        REQUIRE(wait_for(loop, [&] { return !server.received().empty(); }));
        for (int count = 0; count < 40; ++count) {
            server.write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        REQUIRE(wait_for(loop, [&] { return outcome.has_value(); }));
        CHECK(std::get<http_failure>(*outcome) == http_failure::malformed);
    }
    SECTION("responses to other requests without end fail the request") {
        send();
        REQUIRE(wait_for(loop, [&] { return !server.received().empty(); }));
        for (int count = 0; count < 40; ++count) {
            server.write("HTTP/1.1 200 OK\r\nid: 0\r\nContent-Length: 0\r\n\r\n");
        }
        REQUIRE(wait_for(loop, [&] { return outcome.has_value(); }));
        CHECK(std::get<http_failure>(*outcome) == http_failure::malformed);
    }
    SECTION("a request that was never sent fails with refused") {
        const auto closed_address = test::free_address();
        http_client unconnected_client{loop, closed_address, {}};
        static_cast<void>(
            unconnected_client.send({.method = "GET", .target = "/", .headers = {}, .body = {}}, 5s,
                                    [&outcome](http_result result) { outcome = std::move(result); }));
        REQUIRE(wait_for(loop, [&] { return outcome.has_value(); }));
        CHECK(std::get<http_failure>(*outcome) == http_failure::refused);
    }
}

} // namespace chervilturn
