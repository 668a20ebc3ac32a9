// What an owner lets through to the backend server beside it, by what it believes of settings and names.
#include "chervilturn/node/owner_state.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

const address here{"127.0.0.1", 7000};

// Settings that list one backend server at this owner and one at another.
std::shared_ptr<const model> settings_with(const std::string& name) {
    auto settings = std::make_shared<model>();
    service target;
    target.backend_servers.push_back(
        {.name = "i-far", .node = {"127.0.0.2", 7000}, .data_centre = "north-a"});
    target.backend_servers.push_back({.name = name, .node = here, .data_centre = "north-a"});
    team owner;
    owner.services.emplace("s1", target);
    settings->teams.emplace("platform", owner);
    return settings;
}

struct owner_beside_a_server {
    node_settings node;
    owner_state beliefs{this->node};
    call asked;

    owner_beside_a_server() {
        this->node.reachable_at = here;
        this->node.data_centre = "north-a";
        this->asked.team = "platform";
        this->asked.service = "s1";
        this->beliefs.accept(settings_with("i-1"));
        this->beliefs.confirm();
    }

    [[nodiscard]] std::string server() const {
        const auto resolved = this->beliefs.resolve(this->asked);
        return resolved.server == nullptr ? "none" : resolved.server->name;
    }
};

} // namespace

TEST_CASE("an owner sends only to the name that its backend server bears") {
    owner_beside_a_server o;
    CHECK(o.server() == "i-1"); // nothing was told yet

    SECTION("which it told") {
        CHECK(o.beliefs.set_server_name("i-1"));
        CHECK(o.server() == "i-1");
        CHECK_FALSE(o.beliefs.set_server_name("i-1"));
    }
    SECTION("not to a former one, while settings do not know the new one") {
        CHECK(o.beliefs.set_server_name("i-2"));
        CHECK(o.server() == "none");
        CHECK(o.beliefs.refusal_reason(o.asked) == reason::not_the_owner);

        SECTION("until they do") {
            o.beliefs.accept(settings_with("i-2"));
            CHECK(o.server() == "i-2");
        }
    }
    SECTION("not to one that it refused to bear") {
        o.beliefs.reject_server_name("i-1");
        CHECK(o.beliefs.refusal_reason(o.asked) == reason::not_the_owner);

        SECTION("until it tells it itself") {
            CHECK(o.beliefs.set_server_name("i-1"));
            CHECK(o.server() == "i-1");
        }
    }
}

TEST_CASE("an owner in doubt or about to stop takes nothing") {
    owner_beside_a_server o;
    const auto before = o.beliefs.refusal_reason(o.asked);
    o.beliefs.mark_stale();
    CHECK(o.beliefs.refusal_reason(o.asked) == reason::settings_unconfirmed);
    o.beliefs.confirm();
    CHECK(o.beliefs.refusal_reason(o.asked) == before);
    o.beliefs.begin_shutdown();
    CHECK(o.beliefs.refusal_reason(o.asked) == reason::shutting_down);
}

} // namespace chervilturn
