// Attempts at an owner: duplicate messages are recognised, fences hold, and no attempt expires too early.
#include "chervilturn/admission/attempt_record.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

using namespace std::chrono_literals;

TEST_CASE("an attempt record keeps attempts past their deadline") {
    const instant now{1s};
    const attempt_id attempt{7, 1};
    attempt_record record{{.retention = 30s, .max_answer_bytes = 10}};
    REQUIRE(record.state_of(attempt) == attempt_state::absent);

    SECTION("a duplicate of an attempt message is recognised") {
        record.begin(attempt, now + 10s);
        CHECK(record.state_of(attempt) == attempt_state::in_progress);
        answer ended = refuse(attempt, outcome::completed, reason::none);
        ended.body = "small";
        record.finish(ended, now + 1s);
        REQUIRE(record.cached_answer(attempt));
        CHECK(record.cached_answer(attempt)->body == "small");

        SECTION("until the deadline and the retention have passed") {
            record.expire(now + 39s);
            CHECK(record.state_of(attempt) == attempt_state::ended);
            record.expire(now + 40s);
            CHECK(record.state_of(attempt) == attempt_state::absent);
        }
    }
    SECTION("a large answer is not cached, but its attempt is recorded as ended") {
        record.begin(attempt, now + 10s);
        answer ended = refuse(attempt, outcome::completed, reason::none);
        ended.body = "larger than ten bytes";
        record.finish(ended, now + 1s);
        CHECK(record.state_of(attempt) == attempt_state::ended);
        CHECK_FALSE(record.cached_answer(attempt));
    }
    SECTION("an attempt stays fenced when its message arrives later") {
        record.fence(attempt, now);
        CHECK(record.state_of(attempt) == attempt_state::fenced);
        record.begin(attempt, now + 10s);
        CHECK(record.state_of(attempt) == attempt_state::fenced);
    }
    SECTION("an attempt in progress is never fenced and never expires") {
        record.begin(attempt, now + 10s);
        record.fence(attempt, now);
        record.expire(now + 1h);
        CHECK(record.state_of(attempt) == attempt_state::in_progress);
    }
}

} // namespace chervilturn
