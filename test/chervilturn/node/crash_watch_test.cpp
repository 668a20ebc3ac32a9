// Which signs of a backend server's end an owner takes for a crash.
#include "chervilturn/node/crash_watch.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

struct watched_server {
    event_loop loop;
    node_mailboxes mailboxes{loop};
    node_context context;
    owner_state state{this->context.settings};
    crash_watch watch{this->context, this->state};
    std::size_t suspects = 0;

    watched_server() {
        this->context.mailboxes = &this->mailboxes;
        this->mailboxes.crash_reports.on_message([this](crash_reports_message&& received) {
            if (const auto* crash = std::get_if<backend_crashed>(&received)) {
                this->suspects += crash->running.size();
            }
        });
    }

    // Number of suspects reported when the server is found to have ended.
    [[nodiscard]] std::size_t suspects_at_end() {
        this->watch.on_server_ended("i-1");
        timer last{this->loop, [this] { this->loop.stop(); }};
        last.start_once(std::chrono::milliseconds{1});
        this->loop.run();
        return this->suspects;
    }
};

} // namespace

TEST_CASE("calls that lost their connection are suspects until the server is known to have lived on") {
    watched_server server;

    SECTION("without probes that name the process, an answer to a later call shows it") {
        server.watch.on_call_cut({});
        server.watch.on_completed({}, microseconds::zero());
        CHECK(server.suspects_at_end() == 0);
    }
    SECTION("a server that is back before the next probe and answers has crashed") {
        server.watch.on_probed(now_monotonic());
        server.watch.on_call_cut({});
        server.watch.on_completed({}, microseconds::zero());
        CHECK(server.suspects_at_end() == 1);
    }
    SECTION("a later probe that reaches the same process shows it") {
        server.watch.on_probed(now_monotonic());
        server.watch.on_call_cut({});
        server.watch.on_probed(now_monotonic() + microseconds{1});
        CHECK(server.suspects_at_end() == 0);
    }
}

} // namespace chervilturn
