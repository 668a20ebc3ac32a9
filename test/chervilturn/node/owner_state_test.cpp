// Which calls an owner may run, by its settings and the name that its backend server reported.
#include "chervilturn/node/owner_state.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

const address self{"127.0.0.1", 7000};

// Settings that list one backend server at this owner and one at another.
std::shared_ptr<const model> settings_with(const std::string& name) {
    auto settings = std::make_shared<model>();
    service target;
    target.backend_servers.push_back(
        {.name = "i-far", .node = {"127.0.0.2", 7000}, .data_centre = "north-a"});
    target.backend_servers.push_back({.name = name, .node = self, .data_centre = "north-a"});
    team owner;
    owner.services.emplace("s1", target);
    settings->teams.emplace("platform", owner);
    return settings;
}

struct owner_fixture {
    node_settings node;
    owner_state state{this->node};
    call received;

    owner_fixture() {
        this->node.reachable_at = self;
        this->node.data_centre = "north-a";
        this->received.team = "platform";
        this->received.service = "s1";
        this->state.accept(settings_with("i-1"));
        this->state.confirm();
        this->state.set_probed(true);
    }

    [[nodiscard]] std::string server() const {
        const auto resolved = this->state.resolve(this->received);
        return resolved.server == nullptr ? "none" : resolved.server->name;
    }
};

} // namespace

TEST_CASE("an owner runs calls only for the name that its backend server reports") {
    owner_fixture fixture;
    CHECK(fixture.server() == "i-1"); // the backend server has not reported its name yet

    SECTION("it uses the reported name") {
        CHECK(fixture.state.set_server_name("i-1"));
        CHECK(fixture.server() == "i-1");
        CHECK_FALSE(fixture.state.set_server_name("i-1"));
    }
    SECTION("it refuses calls while settings do not list the reported name") {
        CHECK(fixture.state.set_server_name("i-2"));
        CHECK(fixture.server() == "none");
        CHECK(fixture.state.refusal_reason(fixture.received) == reason::not_the_owner);

        SECTION("it accepts calls once settings list the reported name") {
            fixture.state.accept(settings_with("i-2"));
            CHECK(fixture.server() == "i-2");
        }
    }
    SECTION("it refuses calls for a name that the backend server rejected") {
        fixture.state.reject_server_name("i-1");
        CHECK(fixture.state.refusal_reason(fixture.received) == reason::not_the_owner);

        SECTION("it accepts calls once the backend server reports that name") {
            CHECK(fixture.state.set_server_name("i-1"));
            CHECK(fixture.server() == "i-1");
        }
    }
}

TEST_CASE("an owner with stale settings or in shutdown refuses every call") {
    owner_fixture fixture;
    const auto before = fixture.state.refusal_reason(fixture.received);
    fixture.state.mark_stale();
    CHECK(fixture.state.refusal_reason(fixture.received) == reason::settings_unconfirmed);
    fixture.state.confirm();
    CHECK(fixture.state.refusal_reason(fixture.received) == before);
    fixture.state.begin_shutdown();
    CHECK(fixture.state.refusal_reason(fixture.received) == reason::shutting_down);
}

TEST_CASE("an owner runs no call before its first probe has a result") {
    owner_fixture fixture;
    fixture.state.set_probed(false);
    CHECK(fixture.state.refusal_reason(fixture.received) == reason::backend_unreachable);
    fixture.state.set_probed(true);
    CHECK(fixture.state.refusal_reason(fixture.received) == reason::none);
}

} // namespace chervilturn
