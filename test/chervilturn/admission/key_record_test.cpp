// Idempotency keys: never two runs, whatever happens to homes, records and messages.
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
    answer made;
    made.result = outcome::completed;
    made.status = 200;
    made.body = "done";
    return made;
}

template<typename Wanted> bool is(const key_decision& decision) {
    return std::holds_alternative<Wanted>(decision);
}

} // namespace

TEST_CASE("a key runs once at its home") {
    key_record record{{}, at(0s)};
    const home_period since_start{.since = at(0s), .known_since = at(0s), .earlier = {}, .members = {}};
    const auto key = key_created("k", 10s);
    REQUIRE(is<key_unseen>(record.decide(key, since_start, at(11s))));
    record.begin(key, at(11s));

    SECTION("a repeat joins the run in progress") {
        CHECK(is<key_in_progress>(record.decide(key, since_start, at(12s))));
    }
    SECTION("a repeat after the end gets the kept answer") {
        record.finish(key, completed_answer());
        const auto decision = record.decide(key, since_start, at(12s));
        REQUIRE(is<key_answered>(decision));
        CHECK(std::get<key_answered>(decision).cached.body == "done");
    }
    SECTION("a repeat after an unknown end is unknown, never a second run") {
        record.finish(key, refuse({}, outcome::unknown, reason::timed_out));
        const auto decision = record.decide(key, since_start, at(12s));
        REQUIRE(is<key_refused>(decision));
        CHECK(std::get<key_refused>(decision).result == outcome::unknown);
    }
    SECTION("a call that did not run leaves the key fresh") {
        record.forget(key);
        CHECK(is<key_unseen>(record.decide(key, since_start, at(12s))));
    }
    SECTION("long after, when the record has dropped it, its date tells that it is old") {
        record.finish(key, completed_answer());
        const auto decision = record.decide(key, since_start, at(11min));
        REQUIRE(is<key_refused>(decision));
        CHECK(std::get<key_refused>(decision).result == outcome::unknown);
    }
}

TEST_CASE("an owner that restarted with an empty record does not guess") {
    key_record record{{}, at(100s)};
    const home_period since_start{.since = at(100s), .known_since = at(100s), .earlier = {}, .members = {}};
    const auto outcome_of_key = [&](const idempotency_key& key, microseconds now) {
        const auto decision = record.decide(key, since_start, at(now));
        return is<key_unseen>(decision) ? std::string{"fresh"}
                                        : std::string{to_string(std::get<key_refused>(decision).result)};
    };
    CHECK(outcome_of_key(key_created("before", 99s), 103s) == "unknown");
    CHECK(outcome_of_key(key_created("within the clock error", 101s), 103s) == "unknown");
    CHECK(outcome_of_key(key_created("after", 103s), 103s) == "fresh");
    CHECK(outcome_of_key(key_created("from the future", 110s), 103s) == "not-run");
    CHECK(outcome_of_key({.text = "undated"}, 103s) == "unknown");
    CHECK(outcome_of_key({.text = "undated"}, 161s) == "fresh");

    SECTION("and asks the other owners about keys dated soon after its start") {
        const address other{"10.0.0.2", 7000};
        const home_period with_members{
            .since = at(100s), .known_since = at(100s), .earlier = {}, .members = {other}};
        const auto early = record.decide(key_created("early", 110s), with_members, at(110s));
        REQUIRE(is<key_unresolved>(early));
        CHECK(std::get<key_unresolved>(early).earlier == std::vector<address>{other});
        CHECK(is<key_unseen>(record.decide(key_created("later", 121s), with_members, at(122s))));
    }
}

TEST_CASE("a key whose home moved is settled with the earlier home") {
    const address earlier_home{"10.0.0.1", 7000};
    const address present_home{"10.0.0.2", 7000};
    key_record earlier{{}, at(0s)};
    key_record present{{}, at(0s)};
    const home_period from_start{.since = at(0s), .known_since = at(0s), .earlier = {}, .members = {}};
    const home_period moved{
        .since = at(100s), .known_since = at(0s), .earlier = {earlier_home}, .members = {earlier_home}};
    const auto key = key_created("k", 50s);

    SECTION("it is asked for, and then the earlier home never runs it") {
        const auto wanted = present.decide(key, moved, at(101s));
        REQUIRE(is<key_unresolved>(wanted));
        CHECK(std::get<key_unresolved>(wanted).earlier == std::vector<address>{earlier_home});
        const auto report = earlier.report_and_fence(key, present_home, at(101s));
        CHECK(report.finding == key_finding::fenced);
        CHECK(is<key_unseen>(present.decide_after_asking(key, {report})));
        const auto at_earlier = earlier.decide(key, from_start, at(102s));
        REQUIRE(is<key_unresolved>(at_earlier));
        CHECK(std::get<key_unresolved>(at_earlier).earlier == std::vector<address>{present_home});
    }
    SECTION("the earlier home's answer serves the repeat") {
        REQUIRE(is<key_unseen>(earlier.decide(key, from_start, at(51s))));
        earlier.begin(key, at(51s));
        SECTION("while it runs nobody can know") {
            const auto report = earlier.report_and_fence(key, present_home, at(101s));
            CHECK(is<key_refused>(present.decide_after_asking(key, {report})));
        }
        SECTION("once it ended the answer is known") {
            earlier.finish(key, completed_answer());
            const auto report = earlier.report_and_fence(key, present_home, at(101s));
            CHECK(is<key_answered>(present.decide_after_asking(key, {report})));
        }
    }
    SECTION("an earlier home out of reach leaves the key unknown, however long ago the move was") {
        const std::vector<key_report> silence{key_report{}};
        CHECK(is<key_refused>(present.decide_after_asking(key, silence)));
        CHECK(is<key_refused>(present.decide_after_asking(key_created("m", 150s), silence)));
    }
    SECTION("an earlier home that restarted knows nothing, and says so") {
        key_record restarted{{}, at(90s)};
        CHECK(restarted.report_and_fence(key, present_home, at(101s)).finding == key_finding::uncertain);
    }
}

TEST_CASE("homes follow settings and remember") {
    home_history history;
    const home_candidate first{{"10.0.0.1", 7000}, "capital"};
    const home_candidate second{{"10.0.0.2", 7000}, "coast"};
    history.observe({first}, {first}, at(0s));
    history.observe({first, second}, {first, second}, at(100s));
    std::size_t moved = 0;
    for (int number = 0; number < 100; ++number) {
        const auto key = "key-" + std::to_string(number);
        if (key_home({first, second}, {}, key) == second.node) {
            ++moved;
            const auto period = history.period({}, key, second.node);
            CHECK(period.since.monotonic == at(100s).monotonic);
            CHECK(period.earlier == std::vector<address>{first.node});
        } else {
            CHECK(history.period({}, key, first.node).earlier.empty());
        }
    }
    CHECK(moved > 25);
    CHECK(moved < 75);
    SECTION("owners outside a binding are never asked") {
        home_history started;
        started.observe({first, second}, {first, second}, at(0s));
        CHECK(started.period({"coast"}, "key-1", second.node).members.empty());
        CHECK(started.period({}, "key-1", second.node).members == std::vector<address>{first.node});
    }
    SECTION("a changed binding makes older keys unknown") {
        binding_history bindings;
        bindings.observe("t/workspaces/w", {"coast"}, at(0s));
        home_period period{.since = at(0s), .known_since = at(0s), .earlier = {}, .members = {}};
        bindings.limit(period, "t/workspaces/w");
        CHECK(period.known_since.monotonic == at(0s).monotonic);
        bindings.observe("t/workspaces/w", {"capital"}, at(100s));
        bindings.limit(period, "t/workspaces/w");
        CHECK(period.known_since.monotonic == at(119s).monotonic);
    }
    SECTION("a binding to regions chooses among the admitted candidates only") {
        CHECK(key_home({first, second}, {"coast"}, "key-1") == second.node);
        CHECK_FALSE(key_home({first, second}, {"hills"}, "key-1"));
    }
}

// A model of three owners whose views of the home change at different times. Entries send repeats of a few
// keys to whichever owner they believe in; owners restart and messages between owners get lost.
TEST_CASE("no order of moves, restarts and lost messages runs a dated key twice") {
    const auto seed = GENERATE(range<std::uint64_t>(1, 301));
    random_source random{seed};
    const std::vector<address> nodes{{"10.0.0.1", 1}, {"10.0.0.2", 1}, {"10.0.0.3", 1}};
    std::vector<home_candidate> members;
    members.reserve(nodes.size());
    for (const auto& node : nodes) {
        members.push_back({node, "capital"});
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
    // Settings of this run: candidate sets in force from a moment on, one change in a retention at most.
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
    std::map<std::string, std::size_t> running; // key to owner, while a run is in progress
    microseconds now = 0s;
    while (now < 180s) {
        now += microseconds{static_cast<std::int64_t>(random.index(2'000'000))};
        for (auto& owner : owners) { // within 19 s each owner learns the settings in force
            const auto& target = settings[version_at(now)];
            const bool must = now - 60s * version_at(now) > 18s;
            if (owner.view != target && (must || random.index(4) == 0)) {
                owner.view = target;
                owner.history.observe(owner.view, members, at(now));
            }
        }
        const auto index = random.index(nodes.size());
        auto& owner = owners[index];
        if (random.index(25) == 0) {
            owner.record = key_record{{}, at(now)};
            owner.history.restart(at(now));
            std::erase_if(running, [index](const auto& held) { return held.second == index; });
            continue;
        }
        if (!running.empty() && random.index(3) == 0) {
            const auto [text, place] = *running.begin();
            running.erase(running.begin());
            owners[place].record.finish({.text = text}, completed_answer());
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
        if (const auto* wanted = std::get_if<key_unresolved>(&decision)) {
            std::vector<key_report> reports;
            for (const auto& earlier : wanted->earlier) {
                const auto place =
                    static_cast<std::size_t>(std::find(nodes.begin(), nodes.end(), earlier) - nodes.begin());
                const bool lost = random.index(10) == 0;
                reports.push_back(lost ? key_report{}
                                       : owners[place].record.report_and_fence(key, nodes[index], at(now)));
            }
            decision = owner.record.decide_after_asking(key, reports);
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
