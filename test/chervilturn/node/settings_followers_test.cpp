// What a node sends to the peers that follow its settings, and when it stops.
#include "chervilturn/node/settings_followers.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

const address peer{"127.0.0.2", 7000};
constexpr std::uint64_t connection = 1;

// A node with followers; counts the leaves sent to them.
struct followed_node {
    event_loop loop;
    node_mailboxes mailboxes{loop};
    metrics stats;
    node_context context;
    settings_tree tree;
    std::unique_ptr<settings_followers> followers;
    std::size_t leaves_sent = 0;

    followed_node() {
        this->context.loop = &this->loop;
        this->context.stats = &this->stats;
        this->context.mailboxes = &this->mailboxes;
        this->mailboxes.peer_server.on_message([this](peer_server_message&& received) {
            if (const auto* sent = std::get_if<send_update>(&received)) {
                this->leaves_sent += leaf_count(sent->update);
            }
        });
        this->followers = std::make_unique<settings_followers>(this->context, this->tree);
    }

    void accept(const std::string& name, revision_number revision,
                const std::vector<address>& equal_peers = {}) {
        REQUIRE(this->tree.offer({.subtree = "t",
                                  .revision = revision,
                                  .leaves = {{.path = "teams/t/services/" + name,
                                              .revision = revision,
                                              .removed = false,
                                              .value = "{}"}}}) == offer_outcome::accepted);
        this->followers->push(equal_peers);
        this->deliver();
    }

    void receive(subscription request) {
        request.revisions = this->tree.digest();
        this->followers->on_subscribed({connection, peer, std::move(request)});
        this->deliver();
    }

    // Runs the loop until the messages in the mailboxes are handled.
    void deliver() {
        timer last{this->loop, [this] { this->loop.stop(); }};
        last.start_once(std::chrono::milliseconds{1});
        this->loop.run();
    }
};

} // namespace

TEST_CASE("a follower gets every change until it ends its subscription") {
    followed_node node;
    node.accept("a", 1);
    node.receive({.revisions = {}, .follow = true});
    node.accept("b", 2);
    CHECK(node.leaves_sent == 1);

    SECTION("a change that comes after one with a higher revision is sent too") {
        node.accept("late", 2);
        CHECK(node.leaves_sent == 2);
    }
    // Guards against sending a large change again to a node that read it itself while its parent could not.
    SECTION("a change that it has already is not sent, the next one is") {
        node.accept("c", 3, {peer});
        CHECK(node.leaves_sent == 1);
        node.accept("d", 4);
        CHECK(node.leaves_sent == 2);
    }
    SECTION("a request that does not follow leaves the subscription as it is") {
        node.receive({.revisions = {}, .follow = false});
        node.accept("c", 3);
        CHECK(node.leaves_sent == 2);
    }
    SECTION("nothing is sent after the end") {
        node.receive({.revisions = {}, .ends = true});
        node.accept("c", 3);
        CHECK(node.leaves_sent == 1);
        CHECK(node.followers->size() == 0);
    }
}

} // namespace chervilturn
