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

} // namespace chervilturn
