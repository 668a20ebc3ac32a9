// One call's life at the entry, without sockets: attempts, refusals, and what the caller is told in the end.
#include "chervilturn/node/entry_call.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

using namespace std::chrono_literals;

const address owner{"127.0.0.1", 7000};

struct started_call {
    instant start = monotonic_clock::now();
    retry_budget budget{{.earned_per_call = 0.1, .capacity = 10.0}};
    entry_call life;
    std::uint64_t sequence = 0;

    explicit started_call(bool idempotent, std::string key = {})
        : life{accepted(idempotent, std::move(key)), 4, this->start} {}

    static accepted_request accepted(bool idempotent, std::string key) {
        accepted_request request;
        request.original_call.idempotent = idempotent;
        request.original_call.key.text = std::move(key);
        request.original_call.remaining = 1s;
        request.target_latency = 400ms;
        request.extra_attempts = 1;
        return request;
    }

    // One attempt at a server that ends some time after the start of the call.
    retry_action attempt(const std::string& server, answer ended, microseconds after = 10ms) {
        this->life.pick(server, false, 50ms);
        ended.attempt = {.entry = 1, .sequence = ++this->sequence};
        static_cast<void>(this->life.begin_attempt(ended.attempt, owner, this->start));
        return this->life.end_attempt(ended, true, this->budget, this->start + after);
    }
};

answer refusal(reason why, microseconds retry_after = 0ms) {
    auto made = refuse({}, outcome::not_run, why);
    made.retry_after = retry_after;
    return made;
}

} // namespace

TEST_CASE("a call tells its caller no more than is certain") {
    started_call safe{true};

    SECTION("nothing was tried") {
        CHECK(safe.life.final_answer().result == outcome::not_run);
        CHECK(safe.life.final_answer().why == reason::no_backend_server);
    }
    SECTION("refused everywhere") {
        CHECK(safe.attempt("i-1", refusal(reason::queue_full)) == retry_action::retry);
        CHECK(safe.life.final_answer().result == outcome::not_run);
    }
    SECTION("refused after an attempt that may have run") {
        CHECK(safe.attempt("i-1", refuse({}, outcome::unknown, reason::connection_lost)) ==
              retry_action::retry);
        CHECK(safe.attempt("i-2", refusal(reason::queue_full)) == retry_action::retry);
        CHECK(safe.life.final_answer().result == outcome::unknown);
    }
    SECTION("out of time while an attempt is in progress") {
        safe.life.pick("i-1", false, 50ms);
        static_cast<void>(safe.life.begin_attempt({.entry = 1, .sequence = 1}, owner, safe.start));
        REQUIRE(safe.life.in_progress());
        safe.life.abandon_attempt();
        safe.life.end_with(outcome::unknown, reason::timed_out);
        CHECK_FALSE(safe.life.in_progress());
        CHECK(safe.life.final_answer().result == outcome::unknown);
        CHECK(safe.life.final_answer().why == reason::timed_out);
    }
    SECTION("an unsafe call that may have run goes no further") {
        started_call unsafe{false};
        CHECK(unsafe.attempt("i-1", refuse({}, outcome::unknown, reason::connection_lost)) ==
              retry_action::answer_caller);
        CHECK(unsafe.life.final_answer().result == outcome::unknown);
    }
    SECTION("a call with a key is not run only by the word of the key's home") {
        started_call keyed{false, "key"};
        CHECK(keyed.life.goes_to_key_home());
        static_cast<void>(keyed.attempt("i-1", refusal(reason::queue_full)));
        CHECK(keyed.life.final_answer().result == outcome::unknown);
        auto certain = refusal(reason::queue_full);
        certain.key_never_ran = true;
        static_cast<void>(keyed.attempt("i-1", certain));
        CHECK(keyed.life.final_answer().result == outcome::not_run);
    }
}

TEST_CASE("a call remembers what refusals taught it") {
    started_call safe{true};

    SECTION("the shortest time to come back") {
        static_cast<void>(safe.attempt("i-1", refusal(reason::queue_full, 300ms)));
        static_cast<void>(safe.attempt("i-2", refusal(reason::queue_full, 100ms)));
        static_cast<void>(safe.attempt("i-3", refusal(reason::queue_full)));
        CHECK(safe.life.retry_after() == 100ms);
    }
    SECTION("servers that refused for the moment may be asked again, others not") {
        static_cast<void>(safe.attempt("i-1", refusal(reason::would_be_late)));
        static_cast<void>(safe.attempt("i-2", refusal(reason::host_leaving)));
        CHECK(safe.life.history().refused == std::vector<std::string>{"i-1"});
        CHECK(safe.life.history().tried == std::vector<std::string>{"i-2"});
        safe.life.pick("i-1", true, 50ms);
        CHECK(safe.life.history().refused.empty());
        CHECK(safe.life.original_call().last_resort);
    }
}

TEST_CASE("a call is not tried again with less time left than its work takes") {
    started_call safe{true}; // usual time 50 ms
    CHECK(safe.attempt("i-1", refusal(reason::queue_full), 960ms) == retry_action::retry);
    CHECK(safe.attempt("i-2", refusal(reason::queue_full), 970ms) == retry_action::answer_caller);
    CHECK(safe.life.plan().cause() == retry_cause::no_time);
}

TEST_CASE("attempts are sent with the time that is left") {
    started_call safe{true};
    safe.life.pick("i-1", false, 50ms);
    const auto sent = safe.life.begin_attempt({.entry = 1, .sequence = 1}, owner, safe.start + 300ms);
    CHECK(sent.remaining == 700ms);
    CHECK(sent.until_soft_deadline == 100ms);
    CHECK(sent.baseline_service_time == 50ms);
    CHECK(safe.life.estimate(50ms, safe.start + 500ms).until_soft_deadline == 0ms);
}

} // namespace chervilturn
