// Selection: eligibility by regions and state, preference for near servers, and policies on decayed load
// reports.
#include "chervilturn/selection/eligibility.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

using namespace std::chrono_literals;

struct fixture {
    model settings;
    const team* owner = nullptr;
    const service* target = nullptr;
    std::vector<load_view> views;

    fixture() {
        team& fleet = this->settings.teams["fleet"];
        for (const auto& [name, region] : std::map<std::string, std::string>{
                 {"capital-a", "capital"}, {"capital-b", "capital"}, {"coast-a", "coast"}}) {
            fleet.data_centres[name] = {.name = name, .region = region};
        }
        team& owning_team = this->settings.teams["t"];
        owning_team.name = "t";
        service& passports = owning_team.services["passports"];
        std::uint16_t port = 7000;
        for (const auto* data_centre_name : {"capital-a", "capital-a", "capital-b", "coast-a"}) {
            passports.backend_servers.push_back({.name = data_centre_name + std::to_string(port),
                                                 .node = {"10.0.0.1", ++port},
                                                 .data_centre = data_centre_name,
                                                 .slots = 2});
            this->views.emplace_back(2);
        }
        this->owner = &owning_team;
        this->target = &passports;
    }

    [[nodiscard]] std::vector<candidate> candidates(const region_set& regions,
                                                    const std::vector<std::size_t>& tried, instant now) {
        const eligibility_request request{.settings = &this->settings,
                                          .owning_team = this->owner,
                                          .target_service = this->target,
                                          .regions = regions,
                                          .entry_data_centre = "capital-a"};
        call_history history;
        for (const auto index : tried) {
            history.tried.push_back(this->target->backend_servers[index].name);
        }
        return eligible_candidates(
            request, history,
            [this](const backend_server& server) -> const load_view& {
                return this->views[static_cast<std::size_t>(server.node.port - 7001)];
            },
            now);
    }
};

answer completed(std::uint32_t in_use, std::uint32_t limit) {
    answer created;
    created.result = outcome::completed;
    created.load = {.in_use = in_use, .queued = 0, .limit = limit};
    return created;
}

} // namespace

TEST_CASE("only eligible backend servers are candidates") {
    fixture f;
    const instant now{10s};
    CHECK(f.candidates({}, {}, now).size() == 4);
    SECTION("a region set admits only servers in its regions") {
        CHECK(f.candidates({"coast"}, {}, now).size() == 1);
        CHECK(f.candidates(common_regions({"coast"}, {"capital"}), {}, now).empty());
    }
    SECTION("servers in a data centre that is out of service are excluded") {
        f.settings.teams["fleet"].data_centres["capital-a"].in_service = false;
        CHECK(f.candidates({}, {}, now).size() == 2);
    }
    SECTION("a team can take a data centre out of service for itself") {
        f.settings.teams["t"].data_centres["coast-a"] = {
            .name = "coast-a", .region = "", .in_service = false};
        CHECK(f.candidates({}, {}, now).size() == 3);
    }
    SECTION("servers on a leaving host are excluded") {
        f.settings.hosts[{"10.0.0.1", 7003}] = {
            .name = "h", .peers = {"10.0.0.1", 7003}, .data_centre = "capital-b", .leaving = true};
        CHECK(f.candidates({}, {}, now).size() == 3);
    }
    SECTION("tried servers are skipped unless no other remains") {
        CHECK(f.candidates({}, {0, 1}, now).size() == 2);
        CHECK(f.candidates({}, {0, 1, 2, 3}, now).size() == 4);
    }
    SECTION("servers in penalty stay candidates when no other remains") {
        for (auto& view : f.views) {
            view.on_sent(now);
            view.on_no_answer(now);
        }
        CHECK(f.candidates({}, {}, now + 1ms).size() == 4);
        CHECK(f.candidates({"coast"}, {}, now + 1ms).size() == 1);
    }
}

TEST_CASE("a backend server that says it is leaving is no candidate, even as the last one") {
    fixture f;
    const instant now{10s};
    const auto& servers = f.target->backend_servers;
    for (std::size_t index = 0; index < servers.size(); ++index) {
        f.views[index].on_leaving_reported(servers[index].name, true, now);
    }
    CHECK(f.candidates({}, {}, now).empty());

    SECTION("its owner's later report brings it back") {
        f.views[1].on_leaving_reported(servers[1].name, false, now + 1s);
        CHECK(f.candidates({}, {}, now + 1s).size() == 1);
    }
    SECTION("another backend server on the same host is a candidate") {
        CHECK_FALSE(f.views[1].is_leaving("i-new", now));
        f.views[1].on_leaving_reported("i-new", false, now + 1s);
        CHECK(f.views[1].is_leaving(servers[1].name, now + 1s));
    }
    SECTION("the owner is asked again after a while") {
        CHECK(f.candidates({}, {}, now + 9s).empty());
        CHECK(f.candidates({}, {}, now + 11s).size() == 4);
    }
}

TEST_CASE("the default policy prefers near servers with a free slot") {
    fixture f;
    random_source random{7};
    load_aware selection;
    const instant now{10s};
    const auto pick = [&](instant time) {
        const auto candidates = f.candidates({}, {}, time);
        return candidates[selection.pick(candidates, {}, random, time)].index;
    };
    for (int round = 0; round < 20; ++round) {
        CHECK(pick(now) <= 1);
    }
    SECTION("then servers in the same region") {
        for (int sent = 0; sent < 2; ++sent) {
            f.views[0].on_sent(now);
            f.views[1].on_sent(now);
        }
        CHECK(pick(now) == 2);
        SECTION("then servers in another region") {
            f.views[2].on_sent(now);
            f.views[2].on_sent(now);
            CHECK(pick(now) == 3);
        }
    }
    SECTION("a report of load from other entries counts while it is recent") {
        for (std::size_t index : {0U, 1U}) {
            f.views[index].on_sent(now);
            f.views[index].on_answer(completed(2, 2), 1ms, now);
        }
        CHECK(pick(now) == 2);
        CHECK(pick(now + 1s) <= 1);
    }
    SECTION("a server ten times slower gets a small share of calls") {
        for (std::size_t index : {0U, 1U}) {
            f.views[index].on_sent(now);
            f.views[index].on_answer(completed(0, 2), index == 0 ? 50ms : 5ms, now);
        }
        int slow_picks = 0;
        for (int round = 0; round < 100; ++round) {
            slow_picks += pick(now) == 0 ? 1 : 0;
        }
        CHECK(slow_picks <= 10);
    }
}

TEST_CASE("every policy picks one of the candidates") {
    fixture f;
    random_source random{3};
    const instant now{10s};
    const auto candidates = f.candidates({}, {}, now);
    for (const auto* name : {"uniform_random", "round_robin", "least_outstanding", "two_choices",
                             "load_aware", "expected_time"}) {
        auto created_policy = make_policy(name);
        REQUIRE(created_policy != nullptr);
        CHECK(created_policy->name() == name);
        for (int round = 0; round < 50; ++round) {
            CHECK(created_policy->pick(candidates, {}, random, now) < candidates.size());
        }
    }
    CHECK(make_policy("best") == nullptr);
}

TEST_CASE("expected_time weighs round trip, slowdown, free slots and failures") {
    fixture f;
    random_source random{5};
    expected_time selection;
    const instant now{10s};
    const call_estimate estimate{.service_time = 50ms, .until_soft_deadline = 150ms};
    const auto pick = [&](instant time) {
        const auto candidates = f.candidates({}, {}, time);
        return candidates[selection.pick(candidates, estimate, random, time)].index;
    };
    const auto report = [&](std::size_t index, std::uint32_t slowdown) {
        f.views[index].on_sent(now);
        auto reported = completed(0, 2);
        reported.load.slowdown_percent = slowdown;
        reported.service_time = 50ms;
        f.views[index].on_answer(reported, 51ms, now);
    };
    SECTION("near servers are preferred while they are not slow") {
        for (int round = 0; round < 20; ++round) {
            CHECK(pick(now) <= 1);
        }
    }
    SECTION("a server in another data centre is preferred to a slow host") {
        report(0, 400);
        report(1, 400);
        CHECK(pick(now) == 2);
        SECTION("a server in another region is preferred when all nearer hosts are slow and the deadline is "
                "short") {
            report(2, 400);
            CHECK(pick(now) == 3);
        }
        SECTION("an old report has no effect") {
            CHECK(pick(now + 2s) <= 1);
        }
    }
    SECTION("a server that sheds calls is avoided even with free slots") {
        for (int sent = 0; sent < 6; ++sent) {
            f.views[0].on_sent(now);
            f.views[0].on_answer(refuse({}, outcome::not_run, reason::backend_shed), 1ms, now);
        }
        for (int round = 0; round < 20; ++round) {
            CHECK(pick(now + 30ms) == 1);
        }
    }
}

TEST_CASE("a stated rate limit counts as capacity in the choice") {
    const instant now{10s};
    load_view limited{6};
    limited.on_sent(now);
    answer ended = refuse({1, 1}, outcome::not_run, reason::server_rate_limited);
    ended.load = {.limit = 6, .calls_per_second = 10.0, .rate_wait = 300ms};
    limited.on_answer(ended, 1ms, now);

    SECTION("the wait for room shrinks with time and grows with the calls sent since the report") {
        CHECK(limited.rate_wait(now) == 300ms);
        CHECK(limited.rate_wait(now + 100ms) == 200ms);
        limited.on_sent(now + 100ms);
        CHECK(limited.rate_wait(now + 100ms) == 300ms);
        CHECK(limited.rate_wait(now + 2s) == 0s);
    }
    SECTION("a server without a limit is chosen over one whose rate has no room") {
        load_view unlimited{6};
        unlimited.on_sent(now);
        answer served;
        served.result = outcome::completed;
        served.load = {.in_use = 5, .limit = 6};
        unlimited.on_answer(served, 1ms, now);
        expected_time selection;
        random_source random{1};
        const std::array<candidate, 2> candidates{
            candidate{0, distance::same_data_centre, &limited, false},
            candidate{1, distance::same_data_centre, &unlimited, false}};
        CHECK(selection.pick(candidates, {.service_time = 50ms}, random, now) == 1);
    }
    SECTION("the report of a server without a limit ends the wait") {
        limited.on_sent(now);
        ended.load = {.limit = 6};
        limited.on_answer(ended, 1ms, now);
        CHECK(limited.rate_wait(now) == 0s);
    }
}

TEST_CASE("a traffic split picks its parts in proportion to their weights") {
    random_source random{9};
    const std::vector<split_part> parts{{"a", 90}, {"b", 10}, {"c", 0}};
    std::map<std::string, int> picks;
    for (int round = 0; round < 10'000; ++round) {
        ++picks[pick_split_part(parts, random).service];
    }
    CHECK(picks["a"] > 8800);
    CHECK(picks["a"] < 9200);
    CHECK(picks["c"] == 0);
}

} // namespace chervilturn
