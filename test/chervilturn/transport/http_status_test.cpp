// Responses whose status no response may have: the client gets none of them as an answer, and waits for
// nothing behind them.
#include "chervilturn/transport/http.hpp"

#include "support/raw_peer.hpp"

#include <catch2/catch.hpp>
#include <optional>

namespace chervilturn {

namespace {

using namespace std::chrono_literals;
using test::raw_server;
using test::wait_for;

// A client whose request is answered with the given bytes.
struct answered_request {
    event_loop loop;
    raw_server server{this->loop};
    http_client client{this->loop, this->server.local_address(), {}};
    std::optional<http_result> outcome;

    explicit answered_request(const std::string& answer) {
        this->client.send({.method = "GET", .target = "/", .headers = {}, .body = {}}, 1h,
                          [this](http_result result) { this->outcome = std::move(result); });
        REQUIRE(wait_for(this->loop, [this] { return !this->server.received().empty(); }));
        this->server.write(answer);
        REQUIRE(wait_for(this->loop, [this] { return this->outcome.has_value(); }));
    }
};

} // namespace

// Guards against a backend server in trouble: callers waited for their deadline, or got its status as an
// answer.
TEST_CASE("a response with a status that does not exist is malformed") {
    const std::string status = GENERATE("000", "001", "099", "20", "101", "600", "999");
    answered_request request{"HTTP/1.1 " + status + " Trouble\r\nContent-Length: 2\r\n\r\nhi"};
    INFO(status);
    REQUIRE(std::holds_alternative<http_failure>(*request.outcome));
    CHECK(std::get<http_failure>(*request.outcome) == http_failure::malformed);
}

TEST_CASE("a response with any other status is one, and interim ones precede it") {
    const std::string status = GENERATE("200", "299", "404", "500", "599");
    answered_request request{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 " +
                             status + " Whatever\r\nContent-Length: 2\r\n\r\nhi"};
    REQUIRE(std::holds_alternative<http_response>(*request.outcome));
    CHECK(std::to_string(std::get<http_response>(*request.outcome).status) == status);
}

} // namespace chervilturn
