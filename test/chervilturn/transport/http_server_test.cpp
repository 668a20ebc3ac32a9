// Requests that a client sends behind one another, as the client sees them: raw sockets against a server.
#include "chervilturn/transport/http.hpp"

#include "chervilturn/core/random.hpp"
#include "support/raw_peer.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

using namespace std::chrono_literals;
using test::raw_client;
using test::wait_for;

// A server that keeps every request until the test responds. Requests with method GET may overlap.
struct pipelining_fixture {
    event_loop loop;
    std::vector<std::shared_ptr<http_exchange>> exchanges;
    std::size_t abandoned = 0;
    address server_address = test::free_address();
    std::unique_ptr<http_server> server;
    std::unique_ptr<raw_client> client;

    explicit pipelining_fixture(const http_server_options& options = {}) {
        auto listening = http_server::listen(
            loop, server_address, options,
            [this](std::shared_ptr<http_exchange> exchange) {
                exchange->on_abandoned([this] { ++this->abandoned; });
                this->exchanges.push_back(std::move(exchange));
            },
            [](const http_request& request) { return request.method == "GET"; });
        REQUIRE(succeeded(listening));
        this->server = value_of(std::move(listening));
        this->client = std::make_unique<raw_client>(loop, server_address);
    }

    void get(const std::string& target) const {
        this->client->write("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
    }

    void post(const std::string& target) const {
        this->client->write("POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi");
    }

    [[nodiscard]] bool wait_for_requests(std::size_t count) {
        return wait_for(this->loop, [this, count] { return this->exchanges.size() >= count; });
    }

    // Responds to the request with this target, with the target as body.
    void respond(const std::string& target) {
        const auto found =
            std::find_if(this->exchanges.begin(), this->exchanges.end(),
                         [&](const auto& exchange) { return exchange->request().target == target; });
        REQUIRE(found != this->exchanges.end());
        (*found)->respond({.status = 200, .headers = {}, .body = target});
    }

    // Waits until the response with this body has arrived.
    [[nodiscard]] bool wait_for_response(const std::string& body) {
        return wait_for(this->loop, [this, &body] {
            return this->client->received().find("\r\n\r\n" + body) != std::string::npos;
        });
    }

    [[nodiscard]] bool wait_for_end() {
        return wait_for(this->loop, [this] { return this->client->ended(); });
    }

    [[nodiscard]] std::size_t count_received(const std::string& text) const {
        std::size_t count = 0;
        const auto& received = this->client->received();
        for (auto at = received.find(text); at != std::string::npos; at = received.find(text, at + 1)) {
            ++count;
        }
        return count;
    }
};

} // namespace

TEST_CASE("a server reads on while a request is processed") {
    pipelining_fixture fixture;
    fixture.get("/slow");
    fixture.get("/quick");
    REQUIRE(fixture.wait_for_requests(2));

    SECTION("and sends the responses in the order of the requests") {
        fixture.respond("/quick");
        fixture.respond("/slow");
        REQUIRE(fixture.wait_for_response("/quick"));
        const auto& received = fixture.client->received();
        CHECK(received.find("\r\n\r\n/slow") < received.find("\r\n\r\n/quick"));
        CHECK(fixture.count_received("HTTP/1.1 200") == 2);
    }
    SECTION("a request that may not overlap waits for the responses before it, and its time runs") {
        fixture.post("/write");
        fixture.get("/behind");
        fixture.respond("/quick");
        REQUIRE(fixture.exchanges.size() == 2);
        const auto before_response = monotonic_clock::now();
        fixture.respond("/slow");
        REQUIRE(fixture.wait_for_requests(3));
        CHECK(fixture.exchanges.back()->request().target == "/write");
        CHECK(fixture.exchanges.back()->request().body == "hi");
        CHECK(fixture.exchanges.back()->arrived() <= monotonic_clock::now());
        CHECK(fixture.exchanges.back()->arrived() >= fixture.exchanges.front()->arrived());
        CHECK(before_response >= fixture.exchanges.front()->arrived());
        fixture.respond("/write");
        REQUIRE(fixture.wait_for_requests(4));
        CHECK(fixture.exchanges.back()->request().target == "/behind");
    }
    SECTION("a client that leaves abandons all that it has under way") {
        fixture.post("/write");
        fixture.client.reset();
        REQUIRE(wait_for(fixture.loop, [&] { return fixture.abandoned == 2; }));
        CHECK(fixture.exchanges.size() == 2);
    }
    SECTION("a client that ends its sending direction has left") {
        fixture.client->end();
        REQUIRE(wait_for(fixture.loop, [&] { return fixture.abandoned == 2; }));
    }
    SECTION("a malformed request behind good ones is rejected after their responses") {
        fixture.client->write("GET /bad HTTP/1.1\r\nContent-Length : 3\r\n\r\n");
        fixture.get("/hidden");
        fixture.respond("/quick");
        fixture.respond("/slow");
        REQUIRE(fixture.wait_for_end());
        CHECK(fixture.count_received("HTTP/1.1 200") == 2);
        CHECK(fixture.count_received("HTTP/1.1 400") == 1);
        CHECK(fixture.client->received().find("HTTP/1.1 400") >
              fixture.client->received().find("\r\n\r\n/quick"));
        CHECK(fixture.exchanges.size() == 2);
    }
    SECTION("a request that asks to close the connection is the last one") {
        fixture.client->write("GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        fixture.get("/unread");
        REQUIRE(fixture.wait_for_requests(3));
        fixture.respond("/slow");
        fixture.respond("/quick");
        fixture.respond("/last");
        REQUIRE(fixture.wait_for_end());
        CHECK(fixture.count_received("HTTP/1.1 200") == 3);
        CHECK(fixture.exchanges.size() == 3);
    }
    SECTION("when the server closes its connections") {
        fixture.post("/write");
        REQUIRE(fixture.wait_for_requests(2));
        fixture.server->close_after_responses();
        SECTION("the last request in progress has its response and the notice; what is behind never starts") {
            fixture.get("/later");
            fixture.respond("/slow");
            REQUIRE(fixture.wait_for_response("/slow"));
            CHECK(fixture.count_received("connection: close") == 0);
            fixture.respond("/quick");
            REQUIRE(fixture.wait_for_end());
            CHECK(fixture.count_received("HTTP/1.1 200") == 2);
            CHECK(fixture.count_received("connection: close") == 1);
            CHECK(fixture.exchanges.size() == 2);
        }
    }
}

TEST_CASE("an idle connection of a closing server has one more response") {
    pipelining_fixture fixture;
    fixture.get("/first");
    REQUIRE(fixture.wait_for_requests(1));
    fixture.respond("/first");
    REQUIRE(fixture.wait_for_response("/first"));
    fixture.server->close_after_responses();
    fixture.get("/second");
    fixture.get("/unread");
    REQUIRE(fixture.wait_for_requests(2));
    fixture.respond("/second");
    REQUIRE(fixture.wait_for_end());
    CHECK(fixture.count_received("connection: close") == 1);
    CHECK(fixture.exchanges.size() == 2);
}

TEST_CASE("a request that stays incomplete behind others times out in its turn") {
    pipelining_fixture fixture{{.header_timeout = 1ms}};
    fixture.get("/slow");
    REQUIRE(fixture.wait_for_requests(1));
    fixture.client->write("POST /half HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf");
    SECTION("after the responses before it") {
        CHECK_FALSE(wait_for(
            fixture.loop, [&] { return !fixture.client->received().empty(); }, 600ms));
        fixture.respond("/slow");
        REQUIRE(fixture.wait_for_end());
        CHECK(fixture.client->received().find("\r\n\r\n/slow") <
              fixture.client->received().find("HTTP/1.1 408"));
        CHECK(fixture.exchanges.size() == 1);
    }
}

TEST_CASE("100 Continue is sent after the responses to earlier requests") {
    pipelining_fixture fixture;
    fixture.get("/slow");
    REQUIRE(fixture.wait_for_requests(1));
    fixture.client->write(
        "POST /upload HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    CHECK_FALSE(wait_for(
        fixture.loop, [&] { return !fixture.client->received().empty(); }, 50ms));
    fixture.respond("/slow");
    REQUIRE(wait_for(fixture.loop, [&] { return fixture.count_received("HTTP/1.1 100 Continue") == 1; }));
    CHECK(fixture.client->received().find("\r\n\r\n/slow") < fixture.client->received().find("HTTP/1.1 100"));
    fixture.client->write("hi");
    REQUIRE(fixture.wait_for_requests(2));
}

TEST_CASE("a connection reads no further request beyond its limits") {
    pipelining_fixture fixture{{.pipeline = {.max_requests = 2}}};
    fixture.get("/1");
    fixture.get("/2");
    fixture.get("/3");
    REQUIRE(fixture.wait_for_requests(2));
    SECTION("until a response has left") {
        fixture.respond("/1");
        REQUIRE(fixture.wait_for_requests(3));
    }
    SECTION("and notices nevertheless that the client has left") {
        fixture.client->write(std::string(100'000, 'x'));
        REQUIRE(wait_for(fixture.loop, [&] { return fixture.client->all_sent(); }));
        fixture.client.reset();
        REQUIRE(wait_for(fixture.loop, [&] { return fixture.abandoned == 2; }));
    }
}

// Guards against requests that are refused by limits which no longer hold, on a connection that was open
// before.
TEST_CASE("changed limits hold for the next request of an open connection") {
    constexpr http_server_options narrow{.max_header_bytes = 256, .max_body_bytes = 10};
    constexpr http_server_options wide{.max_header_bytes = 4096, .max_body_bytes = 1000};
    const std::string body(500, 'b');
    const auto upload = [&body](const std::string& target) {
        return "PUT " + target + " HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x') +
               "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    pipelining_fixture fixture{narrow};
    fixture.post("/first");
    REQUIRE(fixture.wait_for_requests(1));
    fixture.respond("/first");
    REQUIRE(fixture.wait_for_response("/first"));

    SECTION("wider ones let a larger request in") {
        fixture.server->configure(wide);
        fixture.client->write(upload("/second"));
        REQUIRE(fixture.wait_for_requests(2));
        CHECK(fixture.exchanges.back()->request().body == body);
    }
    SECTION("also behind requests that wait for their responses") {
        fixture.get("/waiting");
        REQUIRE(fixture.wait_for_requests(2));
        fixture.server->configure(wide);
        fixture.client->write(upload("/second"));
        fixture.respond("/waiting");
        REQUIRE(fixture.wait_for_requests(3));
        CHECK(fixture.exchanges.back()->request().body == body);
    }
    SECTION("narrower ones leave a request that is being read its own, and refuse the next") {
        fixture.server->configure(wide);
        auto text = upload("/second");
        text.insert(text.find("X: "), "Expect: 100-continue\r\n");
        const auto body_at = text.size() - body.size();
        fixture.client->write(text.substr(0, body_at));
        REQUIRE(wait_for(fixture.loop, [&] {
            return fixture.client->received().find("100 Continue") != std::string::npos;
        }));
        fixture.server->configure(narrow);
        fixture.client->write(text.substr(body_at));
        REQUIRE(fixture.wait_for_requests(2));
        fixture.respond("/second");
        REQUIRE(fixture.wait_for_response("/second"));
        fixture.client->write(upload("/third"));
        REQUIRE(fixture.wait_for_end());
        CHECK(fixture.client->received().find("HTTP/1.1 431") != std::string::npos);
    }
}

TEST_CASE("many requests at once, each answered immediately, do not nest") {
    event_loop loop;
    const auto server_address = test::free_address();
    std::size_t depth = 0;
    std::size_t deepest = 0;
    std::size_t requests = 0;
    auto listening =
        http_server::listen(loop, server_address, {}, [&](const std::shared_ptr<http_exchange>& exchange) {
            deepest = std::max(deepest, ++depth);
            ++requests;
            exchange->respond({.status = 503, .headers = {}, .body = {}});
            --depth;
        });
    REQUIRE(succeeded(listening));
    raw_client client{loop, server_address};
    constexpr std::size_t request_count = 500;
    std::string stream;
    for (std::size_t index = 0; index < request_count; ++index) {
        stream += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    client.write(stream);
    REQUIRE(wait_for(loop, [&] { return requests == request_count; }));
    CHECK(deepest == 1);
}

namespace {

// The bodies of all responses with status 200 in a stream of responses, in order. Each body is a request's
// target.
[[nodiscard]] std::vector<std::string> bodies_in(const std::string& stream) {
    std::vector<std::string> bodies;
    constexpr std::string_view body_start = "\r\n\r\n/";
    for (auto at = stream.find(body_start); at != std::string::npos; at = stream.find(body_start, at + 1)) {
        const auto start = at + body_start.size() - 1;
        bodies.push_back(
            stream.substr(start, std::min(stream.find("HTTP/1.1", start), stream.size()) - start));
    }
    return bodies;
}

// Plays one random connection: requests in random pieces, good and at last perhaps a bad one, responses in
// any order, and perhaps a close by either side. Returns what went wrong, empty if nothing did.
[[nodiscard]] std::string play_connection(std::uint64_t seed) {
    random_source random{seed};
    pipelining_fixture fixture{{.pipeline = {.max_requests = 1 + random.index(6)}}};
    const auto request_count = 1 + random.index(8);
    std::string stream;
    for (std::size_t number = 0; number < request_count; ++number) {
        const auto target = "/" + std::to_string(number);
        stream += random.index(3) > 0
                      ? "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n"
                      : "POST " + target + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
                            "2\r\nhi\r\n0\r\n\r\n";
    }
    const bool ends_badly = random.index(3) == 0;
    stream += ends_badly ? "GET /bad HTTP/1.1\r\nHost : h\r\n\r\n" : "";
    const bool client_leaves = random.index(4) == 0;
    const bool server_closes = random.index(4) == 0;
    std::size_t answered = 0;
    std::vector<bool> is_answered(request_count, false);
    std::size_t checked = 0;
    std::string fault;
    const auto check_starts = [&] {
        for (; checked < fixture.exchanges.size(); ++checked) {
            const auto& request = fixture.exchanges[checked]->request();
            if (request.target != "/" + std::to_string(checked)) {
                fault = request.target + " started out of order";
            }
            const bool all_answered =
                std::all_of(is_answered.begin(), is_answered.begin() + static_cast<std::ptrdiff_t>(checked),
                            [](bool done) { return done; });
            if (request.method == "POST" && (request.body != "hi" || !all_answered)) {
                fault = request.target + " started changed or too soon";
            }
        }
    };
    const auto respond_to_one = [&] {
        std::vector<std::size_t> open;
        for (std::size_t index = 0; index < fixture.exchanges.size(); ++index) {
            if (!is_answered[index]) {
                open.push_back(index);
            }
        }
        if (!open.empty()) {
            const auto chosen = open[random.index(open.size())];
            is_answered[chosen] = true; // before the response, which may start the next request
            ++answered;
            fixture.respond("/" + std::to_string(chosen));
        }
    };
    std::size_t sent = 0;
    const auto closing_step = random.index(20);
    for (std::size_t step = 0; step < 20 || sent < stream.size(); ++step) {
        const auto length = std::min(stream.size() - sent, random.index(60));
        fixture.client->write(stream.substr(sent, length));
        sent += length;
        static_cast<void>(wait_for(
            fixture.loop, [] { return false; }, 0us));
        check_starts();
        if (random.index(2) == 0) {
            respond_to_one();
        }
        if (step == closing_step && client_leaves) {
            fixture.client->reset();
            break;
        }
        if (step == closing_step && server_closes) {
            fixture.server->close_after_responses();
        }
    }
    if (client_leaves) {
        const auto expected = fixture.exchanges.size() - answered;
        return wait_for(fixture.loop, [&] { return fixture.abandoned >= expected; }) ? fault
                                                                                     : "not all abandoned";
    }
    const auto is_over = [&] {
        check_starts();
        respond_to_one();
        return fixture.client->ended() || (!ends_badly && !server_closes &&
                                           bodies_in(fixture.client->received()).size() == request_count);
    };
    if (server_closes) { // ends after a last request at the latest
        fixture.client->write(stream.substr(sent) + "GET /last HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    is_answered.push_back(false);
    if (!wait_for(fixture.loop, is_over)) {
        return "the connection neither ended nor brought all responses";
    }
    const auto bodies = bodies_in(fixture.client->received());
    for (std::size_t index = 0; index < bodies.size(); ++index) {
        if (bodies[index] != fixture.exchanges[index]->request().target) {
            return "response " + bodies[index] + " in place of that to " +
                   fixture.exchanges[index]->request().target;
        }
    }
    return bodies.size() == fixture.exchanges.size() ? fault : "a started request has no response";
}

} // namespace

TEST_CASE("random connections carry every response to its own request") {
    constexpr std::uint64_t connections = 150;
    for (std::uint64_t seed = 1; seed <= connections; ++seed) {
        const auto fault = play_connection(seed);
        if (!fault.empty()) {
            FAIL("seed " << seed << ": " << fault);
        }
    }
}

} // namespace chervilturn
