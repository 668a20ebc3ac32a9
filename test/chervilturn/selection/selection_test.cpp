// Selection: eligibility by binding and state, nearness, and policies over aged reports.
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
        team& made = this->settings.teams["t"];
        made.name = "t";
        service& passports = made.services["passports"];
        std::uint16_t port = 7000;
        for (const auto* place : {"capital-a", "capital-a", "capital-b", "coast-a"}) {
            passports.backend_servers.push_back({.name = place + std::to_string(port),
                                                 .node = {"10.0.0.1", ++port},
                                                 .data_centre = place,
                                                 .slots = 2});
            this->views.emplace_back(2);
        }
        this->owner = &made;
        this->target = &passports;
    }

    [[nodiscard]] std::vector<candidate> candidates(const region_set& regions,
                                                    const std::vector<std::size_t>& tried, instant now) {
        const eligibility_request request{.settings = &this->settings,
                                          .owner = this->owner,
                                          .target = this->target,
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
    answer made;
    made.result = outcome::completed;
    made.load = {.in_use = in_use, .queued = 0, .limit = limit};
    return made;
}

} // namespace

TEST_CASE("only eligible backend servers are candidates") {
    fixture f;
    const instant now{10s};
    CHECK(f.candidates({}, {}, now).size() == 4);
    SECTION("a binding to regions leaves those of the regions") {
        CHECK(f.candidates({"coast"}, {}, now).size() == 1);
        CHECK(f.candidates(common_regions({"coast"}, {"capital"}), {}, now).empty());
    }
    SECTION("a data centre taken out leaves none of its own") {
        f.settings.teams["fleet"].data_centres["capital-a"].in_service = false;
        CHECK(f.candidates({}, {}, now).size() == 2);
    }
    SECTION("a team takes a data centre out for itself") {
        f.settings.teams["t"].data_centres["coast-a"] = {
            .name = "coast-a", .region = "", .in_service = false};
        CHECK(f.candidates({}, {}, now).size() == 3);
    }
    SECTION("a leaving host is left out") {
        f.settings.hosts[{"10.0.0.1", 7003}] = {
            .name = "h", .peers = {"10.0.0.1", 7003}, .data_centre = "capital-b", .leaving = true};
        CHECK(f.candidates({}, {}, now).size() == 3);
    }
    SECTION("tried ones are passed over, unless nothing else remains") {
        CHECK(f.candidates({}, {0, 1}, now).size() == 2);
        CHECK(f.candidates({}, {0, 1, 2, 3}, now).size() == 4);
    }
    SECTION("a bad spell condemns no more than all but the last") {
        for (auto& view : f.views) {
            view.on_sent(now);
            view.on_no_answer(now);
        }
        CHECK(f.candidates({}, {}, now + 1ms).size() == 4);
        CHECK(f.candidates({"coast"}, {}, now + 1ms).size() == 1);
    }
}

TEST_CASE("the default policy prefers near servers with a free slot") {
    fixture f;
    random_source random{7};
    load_aware chosen;
    const instant now{10s};
    const auto pick = [&](instant when) {
        const auto candidates = f.candidates({}, {}, when);
        return candidates[chosen.pick(candidates, {}, random, when)].index;
    };
    for (int turn = 0; turn < 20; ++turn) {
        CHECK(pick(now) <= 1);
    }
    SECTION("then the same region") {
        for (int call = 0; call < 2; ++call) {
            f.views[0].on_sent(now);
            f.views[1].on_sent(now);
        }
        CHECK(pick(now) == 2);
        SECTION("then another region") {
            f.views[2].on_sent(now);
            f.views[2].on_sent(now);
            CHECK(pick(now) == 3);
        }
    }
    SECTION("a report that others keep a server busy counts while it is fresh") {
        for (std::size_t index : {0U, 1U}) {
            f.views[index].on_sent(now);
            f.views[index].on_answer(completed(2, 2), 1ms, now);
        }
        CHECK(pick(now) == 2);
        CHECK(pick(now + 1s) <= 1);
    }
    SECTION("a server ten times slower gets a small share") {
        for (std::size_t index : {0U, 1U}) {
            f.views[index].on_sent(now);
            f.views[index].on_answer(completed(0, 2), index == 0 ? 50ms : 5ms, now);
        }
        int slow = 0;
        for (int turn = 0; turn < 100; ++turn) {
            slow += pick(now) == 0 ? 1 : 0;
        }
        CHECK(slow <= 10);
    }
}

TEST_CASE("every policy picks a candidate that it was given") {
    fixture f;
    random_source random{3};
    const instant now{10s};
    const auto candidates = f.candidates({}, {}, now);
    for (const auto* name : {"uniform_random", "round_robin", "least_outstanding", "two_choices",
                             "load_aware", "expected_time"}) {
        auto made = make_policy(name);
        REQUIRE(made != nullptr);
        CHECK(made->name() == name);
        for (int turn = 0; turn < 50; ++turn) {
            CHECK(made->pick(candidates, {}, random, now) < candidates.size());
        }
    }
    CHECK(make_policy("best") == nullptr);
}

TEST_CASE("the expected time weighs way, pace, room and failures") {
    fixture f;
    random_source random{5};
    expected_time chosen;
    const instant now{10s};
    const call_estimate made{.service = 50ms, .until_soft_deadline = 150ms};
    const auto pick = [&](instant when) {
        const auto candidates = f.candidates({}, {}, when);
        return candidates[chosen.pick(candidates, made, random, when)].index;
    };
    const auto report = [&](std::size_t index, std::uint32_t slowdown) {
        f.views[index].on_sent(now);
        auto ended = completed(0, 2);
        ended.load.slowdown_percent = slowdown;
        ended.service_time = 50ms;
        f.views[index].on_answer(ended, 51ms, now);
    };
    SECTION("near servers are chosen while they keep their pace") {
        for (int turn = 0; turn < 20; ++turn) {
            CHECK(pick(now) <= 1);
        }
    }
    SECTION("another data centre is better than a slow host") {
        report(0, 400);
        report(1, 400);
        CHECK(pick(now) == 2);
        SECTION("and another region is better than only slow hosts, when time is short") {
            report(2, 400);
            CHECK(pick(now) == 3);
        }
        SECTION("until the report is old") {
            CHECK(pick(now + 2s) <= 1);
        }
    }
    SECTION("a server that sheds is avoided though it has room") {
        for (int call = 0; call < 6; ++call) {
            f.views[0].on_sent(now);
            f.views[0].on_answer(refuse({}, outcome::not_run, reason::backend_shed), 1ms, now);
        }
        for (int turn = 0; turn < 20; ++turn) {
            CHECK(pick(now + 30ms) == 1);
        }
    }
}

TEST_CASE("a traffic split keeps its weights") {
    random_source random{9};
    const std::vector<split_part> parts{{"a", 90}, {"b", 10}, {"c", 0}};
    std::map<std::string, int> drawn;
    for (int turn = 0; turn < 10'000; ++turn) {
        ++drawn[pick_split_part(parts, random).service];
    }
    CHECK(drawn["a"] > 8800);
    CHECK(drawn["a"] < 9200);
    CHECK(drawn["c"] == 0);
}

} // namespace chervilturn
