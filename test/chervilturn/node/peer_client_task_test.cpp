// What a node asks of its peers over connections that are being opened.
#include "chervilturn/node/peer_client_task.hpp"

#include "support/raw_peer.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

TEST_CASE("a subscription that ends while its connection is opened does not stay at the peer") {
    event_loop loop;
    node_mailboxes mailboxes{loop};
    mailboxes.crash_reports.on_message([](crash_reports_message&&) {});
    mailboxes.control.on_message([](control_message&&) {});
    metrics stats;
    node_context context;
    context.loop = &loop;
    context.stats = &stats;
    context.mailboxes = &mailboxes;
    context.incarnation = 1;
    context.settings.reachable_at = test::free_address();
    const auto peer = test::free_address();
    std::vector<subscription> received;
    std::shared_ptr<peer_connection> accepted;
    const auto listener = peer_listener::listen(loop, peer, [&](std::shared_ptr<peer_connection> connection) {
        accepted = std::move(connection);
        accepted->set_handlers({.opened = [] {},
                                .received =
                                    [&received](message&& item, const frame_arrival&) {
                                        if (const auto* request = std::get_if<subscription>(&item)) {
                                            received.push_back(*request);
                                        }
                                    },
                                .progressed = [] {},
                                .closed = [](close_cause) {}});
        // The client sends nothing else before this.
        accepted->send(hello{.host = "h", .data_centre = "a", .incarnation = 2, .peer_address = peer});
    });
    REQUIRE(succeeded(listener));
    const peer_client_task client{context};
    mailboxes.peer_client.post(send_subscription{peer, {.revisions = {}, .follow = true}});
    mailboxes.peer_client.post(end_subscription{peer, {}});
    REQUIRE(test::wait_for(loop, [&received] { return !received.empty(); }));
    static_cast<void>(test::wait_for(loop, [&received] { return received.back().ends; }));
    CHECK(received.back().ends);
}

namespace {

// A peer client and one owner that records what it receives.
struct upload_fixture {
    event_loop loop;
    node_mailboxes mailboxes{loop};
    metrics stats;
    node_context context;
    address owner = test::free_address();
    std::vector<call> calls;
    std::vector<call_body> bodies;
    std::size_t received_bytes = 0;
    std::shared_ptr<peer_connection> accepted;
    std::unique_ptr<peer_listener> listener;
    std::unique_ptr<peer_client_task> client;

    explicit upload_fixture(bool owner_requests_bodies) {
        this->mailboxes.crash_reports.on_message([](crash_reports_message&&) {});
        this->mailboxes.control.on_message([](control_message&&) {});
        this->mailboxes.entry.on_message([](entry_message&&) {});
        this->context.loop = &this->loop;
        this->context.stats = &this->stats;
        this->context.mailboxes = &this->mailboxes;
        this->context.incarnation = 1;
        this->context.settings.reachable_at = test::free_address();
        auto listening = peer_listener::listen(
            this->loop, this->owner,
            [this, owner_requests_bodies](std::shared_ptr<peer_connection> connection) {
                this->accepted = std::move(connection);
                this->accepted->set_handlers({.opened = [] {},
                                              .received =
                                                  [this](message&& item, const frame_arrival& arrival) {
                                                      this->record(std::move(item), arrival);
                                                  },
                                              .progressed = [] {},
                                              .closed = [](close_cause) {}});
                this->accepted->send(hello{.host = "h",
                                           .data_centre = "a",
                                           .incarnation = 2,
                                           .peer_address = this->owner,
                                           .requests_bodies = owner_requests_bodies});
            });
        REQUIRE(succeeded(listening));
        this->listener = value_of(std::move(listening));
        this->client = std::make_unique<peer_client_task>(this->context);
    }

    // Bytes sent to the owner's data centre, whose region is not configured.
    [[nodiscard]] std::uint64_t sent(traffic_kind kind) const {
        return this->stats.counters().sent_to_peers.bytes(kind, traffic_reach::unknown);
    }

    void record(message&& item, const frame_arrival& arrival) {
        this->received_bytes += arrival.bytes;
        if (auto* received = std::get_if<call>(&item)) {
            this->calls.push_back(std::move(*received));
        } else if (auto* body = std::get_if<call_body>(&item)) {
            this->bodies.push_back(std::move(*body));
        }
    }

    void send(std::uint64_t sequence, std::size_t body_bytes) {
        call upload;
        upload.attempt = {1, sequence};
        upload.method = "POST";
        upload.remaining = std::chrono::seconds{5};
        upload.body = std::string(body_bytes, 'x');
        this->mailboxes.peer_client.post(send_attempt{this->owner, std::move(upload)});
        REQUIRE(test::wait_for(this->loop, [this, sequence] { return this->calls.size() == sequence; }));
    }
};

constexpr std::size_t large_body = 100'000; // bytes

} // namespace

TEST_CASE("a large body goes only to an owner that has room for its call") {
    upload_fixture fixture{true};
    fixture.send(1, large_body);
    CHECK(fixture.calls.front().body.empty());
    CHECK(fixture.calls.front().withheld_bytes == large_body);

    SECTION("a refused offer costs none of its bytes") {
        fixture.accepted->send(refuse({1, 1}, outcome::not_run, reason::would_be_late));
        fixture.send(2, large_body);
        CHECK(fixture.bodies.empty());
        CHECK(fixture.received_bytes < 2000);
        CHECK(fixture.sent(traffic_kind::body) == 0);
        SECTION("also when the owner asks for it afterwards") {
            fixture.accepted->send(body_request{{1, 1}});
            fixture.send(3, 1);
            CHECK(fixture.bodies.empty());
        }
    }
    SECTION("the body is sent on request, once") {
        fixture.accepted->send(body_request{{1, 1}});
        fixture.accepted->send(body_request{{1, 1}});
        REQUIRE(test::wait_for(fixture.loop, [&] { return !fixture.bodies.empty(); }));
        fixture.send(2, 1);
        REQUIRE(fixture.bodies.size() == 1);
        CHECK(fixture.bodies.front().attempt == attempt_id{1, 1});
        CHECK(fixture.bodies.front().bytes == std::string(large_body, 'x'));
        CHECK(fixture.sent(traffic_kind::body) >= large_body);
        CHECK(fixture.sent(traffic_kind::body) < 2 * large_body);
        CHECK(fixture.sent(traffic_kind::offer) < 2000);
    }
    SECTION("a cancelled call sends no body") {
        fixture.mailboxes.peer_client.post(cancel_attempt{fixture.owner, {1, 1}});
        fixture.accepted->send(body_request{{1, 1}});
        fixture.send(2, 1);
        CHECK(fixture.bodies.empty());
    }
}

TEST_CASE("a short body goes with its call, and so does any body to an owner of an older version") {
    const bool owner_requests_bodies = GENERATE(true, false);
    upload_fixture fixture{owner_requests_bodies};
    const std::size_t bytes = owner_requests_bodies ? 1000 : large_body;
    fixture.send(1, bytes);
    CHECK(fixture.calls.front().body.size() == bytes);
    CHECK(fixture.calls.front().withheld_bytes == 0);
}

} // namespace chervilturn
