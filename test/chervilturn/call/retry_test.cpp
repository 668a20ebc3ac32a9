// Retries: only where they are safe, within a budget, and without multiplying through nested calls.
#include "chervilturn/call/retry.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

using namespace std::chrono_literals;

answer ended(outcome result, reason why) {
    return refuse({}, result, why);
}

// Attempts that reach the deepest level when every attempt fails but the budget is never short.
std::uint32_t attempts_at_depth(std::uint32_t levels, std::uint32_t extra) {
    if (levels == 0) {
        return 1;
    }
    retry_state plan{true, extra};
    retry_budget endless{{.earned_per_call = 1.0, .capacity = 1e9}};
    std::uint32_t total = 0;
    while (true) {
        total += attempts_at_depth(levels - 1, plan.extra_for_nested());
        plan.count_attempt();
        const auto next = plan.decide(ended(outcome::not_run, reason::queue_full), 1s, endless);
        if (next == retry_action::answer_caller) {
            return total;
        }
    }
}

} // namespace

TEST_CASE("a call is tried again only where that is safe") {
    retry_budget budget{{}};
    retry_state idempotent{true, 2};
    retry_state once{false, 2};

    SECTION("after a true not-run every call is") {
        CHECK(once.decide(ended(outcome::not_run, reason::queue_full), 1s, budget) == retry_action::retry);
    }
    SECTION("after an unknown end only an idempotent one is") {
        CHECK(idempotent.decide(ended(outcome::unknown, reason::connection_lost), 1s, budget) ==
              retry_action::retry);
        CHECK(once.decide(ended(outcome::unknown, reason::connection_lost), 1s, budget) ==
              retry_action::answer_caller);
    }
    SECTION("never after its deadline") {
        CHECK(idempotent.decide(ended(outcome::not_run, reason::queue_full), 0s, budget) ==
              retry_action::answer_caller);
    }
    SECTION("never where every owner would say the same") {
        CHECK(idempotent.decide(ended(outcome::not_run, reason::outside_home_regions), 1s, budget) ==
              retry_action::answer_caller);
    }
    SECTION("twice at most") {
        for (int attempt = 0; attempt < 2; ++attempt) {
            CHECK(idempotent.decide(ended(outcome::not_run, reason::queue_full), 1s, budget) ==
                  retry_action::retry);
        }
        CHECK(idempotent.decide(ended(outcome::not_run, reason::queue_full), 1s, budget) ==
              retry_action::answer_caller);
    }
}

TEST_CASE("the budget bounds extra attempts as a share of first ones") {
    retry_budget budget{{.earned_per_call = 0.1, .capacity = 10.0}};
    std::uint32_t extra = 0;
    for (int call = 0; call < 1000; ++call) {
        budget.count_first_attempt();
        extra += budget.take() ? 1 : 0;
        extra += budget.take() ? 1 : 0;
    }
    CHECK(extra <= 110);
    CHECK(extra >= 100);
}

TEST_CASE("seven nested levels do not multiply attempts") {
    CHECK(attempts_at_depth(1, default_extra_attempts) == 3);
    CHECK(attempts_at_depth(7, default_extra_attempts) == 4);
}

TEST_CASE("all nodes together stay within the fleet's bounds on repeats") {
    // A repeat of the outer service makes the same calls again, which count for the inner one.
    const std::size_t nodes = 24;
    const double ratio = 0.2;
    const double slack = 62.0;
    const double first_attempts = 1200.0; // in the window, of each service
    std::vector<retry_budget> outer(nodes, retry_budget{share_of_fleet(ratio, slack, nodes)});
    std::vector<retry_budget> inner(nodes, retry_budget{share_of_fleet(ratio, slack, nodes)});
    double repeats = 0.0;
    for (std::size_t call = 0; call < static_cast<std::size_t>(first_attempts); ++call) {
        const auto at = call % nodes;
        outer[at].count_first_attempt();
        inner[at].count_first_attempt();
        while (outer[at].take()) {
            ++repeats;
        }
        while (inner[at].take()) {
            ++repeats;
        }
    }
    CHECK(repeats > 0.5 * ratio * first_attempts);
    CHECK(repeats <= ratio * first_attempts + slack);
}

TEST_CASE("an owner's refusal costs a call nothing but a move") {
    retry_budget empty{{.earned_per_call = 0.0, .capacity = 0.0}};
    retry_state plan{false, 0, 2};
    const auto refused = ended(outcome::not_run, reason::queue_full);
    CHECK(plan.decide(refused, 1s, empty) == retry_action::retry);
    CHECK(plan.decide(refused, 1s, empty) == retry_action::retry);
    CHECK(plan.decide(refused, 1s, empty) == retry_action::answer_caller);

    SECTION("but one by the backend server itself is a repeat") {
        retry_state fresh{false, 2, 2};
        CHECK(reached_backend(ended(outcome::not_run, reason::backend_renamed)));
        CHECK(fresh.decide(ended(outcome::not_run, reason::backend_shed), 1s, empty) ==
              retry_action::answer_caller);
    }
}

TEST_CASE("an idempotent call that a backend server failed may go to another one") {
    retry_budget budget{{}};
    auto failed = ended(outcome::completed, reason::none);
    failed.status = 500;
    retry_state idempotent{true, 2};
    retry_state once{false, 2};
    CHECK(idempotent.decide(failed, 1s, budget) == retry_action::retry);
    CHECK(once.decide(failed, 1s, budget) == retry_action::answer_caller);
    failed.status = 404;
    CHECK(idempotent.decide(failed, 1s, budget) == retry_action::answer_caller);
}

} // namespace chervilturn
