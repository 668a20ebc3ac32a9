// Idempotency keys: no key runs twice when its home changes, an owner restarts or messages are lost.
#include "chervilturn/admission/key_record.hpp"
#include "chervilturn/core/random.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace chervilturn {

namespace {

using namespace std::chrono_literals;

clock_reading at(microseconds since_start) {
    const wall_time epoch{std::chrono::milliseconds{1'700'000'000'000}};
    return {instant{1h} + since_start,
            epoch + std::chrono::duration_cast<std::chrono::milliseconds>(since_start)};
}

idempotency_key key_created(const std::string& text, microseconds since_start) {
    return {.text = text, .created = at(since_start).wall};
}

answer completed_answer() {
    answer whole_answer;
    whole_answer.result = outcome::completed;
    whole_answer.status = 200;
    whole_answer.body = "done";
    return whole_answer;
}

template<typename Decision> bool is(const key_decision& decision) {
    return std::holds_alternative<Decision>(decision);
}

} // namespace

TEST_CASE("a key runs once at its home") {
    key_record record{{}, at(0s)};
    const home_period since_start{
        .since = at(0s), .known_since = at(0s), .earlier_homes = {}, .other_owners = {}};
    const auto key = key_created("k", 10s);
    REQUIRE(is<key_unseen>(record.decide(key, since_start, at(11s))));
    record.begin(key, at(11s));

    SECTION("a duplicate joins the call in progress") {
        CHECK(is<key_in_progress>(record.decide(key, since_start, at(12s))));
    }
    SECTION("a duplicate after the end receives the cached answer") {
        record.finish(key, completed_answer());
        const auto decision = record.decide(key, since_start, at(12s));
        REQUIRE(is<key_answered>(decision));
        CHECK(std::get<key_answered>(decision).cached.body == "done");
    }
    SECTION("a duplicate after an unknown outcome is refused as unknown and not run") {
        record.finish(key, refuse({}, outcome::unknown, reason::timed_out));
        const auto decision = record.decide(key, since_start, at(12s));
        REQUIRE(is<key_refused>(decision));
        CHECK(std::get<key_refused>(decision).result == outcome::unknown);
    }
    SECTION("a key whose call did not run counts as unseen") {
        record.forget(key);
        CHECK(is<key_unseen>(record.decide(key, since_start, at(12s))));
    }
    SECTION("a key that has expired from the record is refused by its creation time") {
        record.finish(key, completed_answer());
        const auto decision = record.decide(key, since_start, at(11min));
        REQUIRE(is<key_refused>(decision));
        CHECK(std::get<key_refused>(decision).result == outcome::unknown);
    }
}

TEST_CASE("an owner with an empty record refuses keys that may be older than its start") {
    key_record record{{}, at(100s)};
    const home_period since_start{
        .since = at(100s), .known_since = at(100s), .earlier_homes = {}, .other_owners = {}};
    const auto outcome_of_key = [&](const idempotency_key& key, microseconds now) {
        const auto decision = record.decide(key, since_start, at(now));
        return is<key_unseen>(decision) ? std::string{"unseen"}
                                        : std::string{to_string(std::get<key_refused>(decision).result)};
    };
    CHECK(outcome_of_key(key_created("before", 99s), 103s) == "unknown");
    CHECK(outcome_of_key(key_created("within the clock skew", 101s), 103s) == "unknown");
    CHECK(outcome_of_key(key_created("after", 103s), 103s) == "unseen");
    CHECK(outcome_of_key(key_created("from the future", 110s), 103s) == "not-run");
    CHECK(outcome_of_key({.text = "undated"}, 103s) == "unknown");
    CHECK(outcome_of_key({.text = "undated"}, 161s) == "unseen");

    SECTION("the other owners must be asked about keys dated soon after the start") {
        const address other{"10.0.0.2", 7000};
        const home_period with_other_owners{
            .since = at(100s), .known_since = at(100s), .earlier_homes = {}, .other_owners = {other}};
        const auto early = record.decide(key_created("early", 110s), with_other_owners, at(110s));
        REQUIRE(is<key_unresolved>(early));
        CHECK(std::get<key_unresolved>(early).owners_to_ask == std::vector<address>{other});
        CHECK(is<key_unseen>(record.decide(key_created("later", 121s), with_other_owners, at(122s))));
    }
}

TEST_CASE("after a change of home a key is resolved with the earlier home") {
    const address earlier_home{"10.0.0.1", 7000};
    const address present_home{"10.0.0.2", 7000};
    key_record earlier_record{{}, at(0s)};
    key_record present_record{{}, at(0s)};
    const home_period home_from_start{
        .since = at(0s), .known_since = at(0s), .earlier_homes = {}, .other_owners = {}};
    const home_period period_after_move{.since = at(100s),
                                        .known_since = at(0s),
                                        .earlier_homes = {earlier_home},
                                        .other_owners = {earlier_home}};
    const auto key = key_created("k", 50s);

    SECTION("the earlier home is asked, fences the key and does not run it") {
        const auto unresolved = present_record.decide(key, period_after_move, at(101s));
        REQUIRE(is<key_unresolved>(unresolved));
        CHECK(std::get<key_unresolved>(unresolved).owners_to_ask == std::vector<address>{earlier_home});
        const auto report = earlier_record.report_and_fence(key, present_home, at(101s));
        CHECK(report.finding == key_finding::fenced);
        CHECK(is<key_unseen>(present_record.decide_after_inquiry(key, {report})));
        const auto at_earlier = earlier_record.decide(key, home_from_start, at(102s));
        REQUIRE(is<key_unresolved>(at_earlier));
        CHECK(std::get<key_unresolved>(at_earlier).owners_to_ask == std::vector<address>{present_home});
    }
    SECTION("a key that ran at the earlier home does not run again") {
        REQUIRE(is<key_unseen>(earlier_record.decide(key, home_from_start, at(51s))));
        earlier_record.begin(key, at(51s));
        SECTION("while the call runs the outcome is unknown") {
            const auto report = earlier_record.report_and_fence(key, present_home, at(101s));
            CHECK(is<key_refused>(present_record.decide_after_inquiry(key, {report})));
        }
        SECTION("after the call ended its answer is returned") {
            earlier_record.finish(key, completed_answer());
            const auto report = earlier_record.report_and_fence(key, present_home, at(101s));
            CHECK(is<key_answered>(present_record.decide_after_inquiry(key, {report})));
        }
    }
    SECTION("an unreachable earlier home leaves the outcome unknown, however long ago the home changed") {
        const std::vector<key_report> no_reply{key_report{}};
        CHECK(is<key_refused>(present_record.decide_after_inquiry(key, no_reply)));
        CHECK(is<key_refused>(present_record.decide_after_inquiry(key_created("m", 150s), no_reply)));
    }
    SECTION("an earlier home that restarted since reports the key as uncertain") {
        key_record restarted{{}, at(90s)};
        CHECK(restarted.report_and_fence(key, present_home, at(101s)).finding == key_finding::uncertain);
    }
}

TEST_CASE("the home of a key follows the candidates, and earlier homes are recorded") {
    home_history history;
    const home_candidate first{{"10.0.0.1", 7000}, "capital"};
    const home_candidate second{{"10.0.0.2", 7000}, "coast"};
    history.record_candidates({first}, {first}, at(0s));
    history.record_candidates({first, second}, {first, second}, at(100s));
    std::size_t moved_keys = 0;
    for (int number = 0; number < 100; ++number) {
        const auto key = "key-" + std::to_string(number);
        if (key_home({first, second}, {}, key) == second.node) {
            ++moved_keys;
            const auto period = history.period({}, key, second.node);
            CHECK(period.since.monotonic == at(100s).monotonic);
            CHECK(period.earlier_homes == std::vector<address>{first.node});
        } else {
            CHECK(history.period({}, key, first.node).earlier_homes.empty());
        }
    }
    CHECK(moved_keys > 25);
    CHECK(moved_keys < 75);
    SECTION("the other owners of a period are within the regions") {
        home_history new_history;
        new_history.record_candidates({first, second}, {first, second}, at(0s));
        CHECK(new_history.period({"coast"}, "key-1", second.node).other_owners.empty());
        CHECK(new_history.period({}, "key-1", second.node).other_owners == std::vector<address>{first.node});
    }
    SECTION("after changed home regions, earlier homes are unknown until the change is in force") {
        binding_history bindings;
        bindings.record_regions("t/workspaces/w", {"coast"}, at(0s));
        home_period period{.since = at(0s), .known_since = at(0s), .earlier_homes = {}, .other_owners = {}};
        bindings.raise_known_since(period, "t/workspaces/w");
        CHECK(period.known_since.monotonic == at(0s).monotonic);
        bindings.record_regions("t/workspaces/w", {"capital"}, at(100s));
        bindings.raise_known_since(period, "t/workspaces/w");
        CHECK(period.known_since.monotonic == at(119s).monotonic);
    }
    SECTION("the home of a key is a candidate within the regions") {
        CHECK(key_home({first, second}, {"coast"}, "key-1") == second.node);
        CHECK_FALSE(key_home({first, second}, {"hills"}, "key-1"));
    }
}

// A model of three owners that accept changed candidate sets at different times. Calls with a few keys arrive
// at owners that consider themselves the home of the key; owners restart, and messages between owners are
// lost.
TEST_CASE("no order of home changes, restarts and lost messages runs a dated key twice") {
    const auto seed = GENERATE(range<std::uint64_t>(1, 301));
    random_source random{seed};
    const std::vector<address> nodes{{"10.0.0.1", 1}, {"10.0.0.2", 1}, {"10.0.0.3", 1}};
    std::vector<home_candidate> all_owners;
    all_owners.reserve(nodes.size());
    for (const auto& node : nodes) {
        all_owners.push_back({node, "capital"});
    }
    struct owner_model {
        key_record record;
        home_history history;
        std::vector<home_candidate> view;
    };
    std::vector<owner_model> owners;
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        owners.push_back({key_record{{}, at(0s)}, {}, {}});
    }
    // Settings of this run: three candidate sets, one after another in force for 60 s each. The key retention
    // is longer than the run.
    std::vector<std::vector<home_candidate>> settings;
    for (int version = 0; version < 3; ++version) {
        std::vector<home_candidate> candidates;
        for (const auto& node : nodes) {
            if (random.index(3) > 0) {
                candidates.push_back({node, "capital"});
            }
        }
        settings.push_back(candidates.empty() ? std::vector<home_candidate>{{nodes[0], "capital"}}
                                              : candidates);
    }
    const auto version_at = [](microseconds now) { return std::min<std::size_t>(2, now / 60s); };
    std::map<std::string, int> runs;
    std::map<std::string, std::size_t> running; // index of the owner by key, for calls in progress
    microseconds now = 0s;
    while (now < 180s) {
        now += microseconds{static_cast<std::int64_t>(random.index(2'000'000))};
        for (auto& owner : owners) { // each owner accepts changed settings within 19 s
            const auto& candidates_in_force = settings[version_at(now)];
            const bool is_due = now - 60s * version_at(now) > 18s;
            if (owner.view != candidates_in_force && (is_due || random.index(4) == 0)) {
                owner.view = candidates_in_force;
                owner.history.record_candidates(owner.view, all_owners, at(now));
            }
        }
        const auto index = random.index(nodes.size());
        auto& owner = owners[index];
        if (random.index(25) == 0) {
            owner.record = key_record{{}, at(now)};
            owner.history.restart(at(now));
            std::erase_if(running, [index](const auto& run) { return run.second == index; });
            continue;
        }
        if (!running.empty() && random.index(3) == 0) {
            const auto [text, owner_index] = *running.begin();
            running.erase(running.begin());
            owners[owner_index].record.finish({.text = text}, completed_answer());
            continue;
        }
        const auto created = std::chrono::duration_cast<microseconds>(10s * random.index(18) + 5s);
        if (created > now) {
            continue;
        }
        const auto key = key_created("key-" + std::to_string(created.count()), created);
        if (owner.view.empty() || key_home(owner.view, {}, key.text) != nodes[index]) {
            continue;
        }
        const auto period = owner.history.period({}, key.text, nodes[index]);
        auto decision = owner.record.decide(key, period, at(now));
        if (const auto* unresolved = std::get_if<key_unresolved>(&decision)) {
            std::vector<key_report> reports;
            for (const auto& asked_owner : unresolved->owners_to_ask) {
                const auto owner_index = static_cast<std::size_t>(
                    std::find(nodes.begin(), nodes.end(), asked_owner) - nodes.begin());
                const bool lost = random.index(10) == 0;
                reports.push_back(
                    lost ? key_report{}
                         : owners[owner_index].record.report_and_fence(key, nodes[index], at(now)));
            }
            decision = owner.record.decide_after_inquiry(key, reports);
        }
        if (std::holds_alternative<key_unseen>(decision)) {
            owner.record.begin(key, at(now));
            running[key.text] = index;
            INFO("seed " << seed << ", key " << key.text << ", at " << now.count());
            CHECK(++runs[key.text] == 1);
        }
    }
}

} // namespace chervilturn
