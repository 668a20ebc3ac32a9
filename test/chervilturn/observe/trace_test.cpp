// Reading log lines back and tracing a request through the logs of many nodes.
#include "chervilturn/observe/trace.hpp"

#include "chervilturn/observe/log.hpp"

#include <catch2/catch.hpp>
#include <sstream>

namespace chervilturn {

namespace {

std::string at(int millisecond, const std::string& host, const std::string& rest) {
    char time[64];
    std::snprintf(time, sizeof(time), "time=2026-12-04T12:00:%02d.%03dZ level=INFO host=", millisecond / 1000,
                  millisecond % 1000);
    return time + host + ' ' + rest + '\n';
}

std::string cause_in(const std::string& log, const std::string& id) {
    request_trace traced{id};
    std::istringstream stream{log};
    traced.read(stream);
    REQUIRE(traced.found());
    return traced.cause();
}

const std::string sent =
    at(0, "h1", "event=attempt_sent request=a attempt=1 server=i-7 report_age_us=422811");
const std::string door = "in_use=5 queued=10 limit=6 slowdown_percent=400";

} // namespace

TEST_CASE("log lines are read back") {
    const auto line =
        parse_log_line("time=2026-12-04T12:00:01.250Z level=WARN host=h1 event=entry_unreadable server=" +
                       escape_log_value("a \"b\" = \\ \x01") + " because=x");
    REQUIRE(line);
    CHECK(line->host == "h1");
    CHECK(line->event == "entry_unreadable");
    CHECK(line->get("server") == "a \"b\" = \\ \x01");
    CHECK(line->get("because") == "x");
    CHECK(line->get("other").empty());

    SECTION("and what is cut or foreign is not") {
        for (const auto* text :
             {"", "Segmentation fault", "time=2026-12-04T12:00:01.250Z level=INFO host=h1",
              "time=yesterday level=INFO host=h1 event=x", "time=2026-12-04T12:00:01.250Z host=h1 event=\"x",
              "time=2026-13-44T12:00:01.250Z host=h1 event=x", "host=h1 event=x"}) {
            CAPTURE(text);
            CHECK_FALSE(parse_log_line(text));
        }
    }
}

TEST_CASE("a trace tells why a request failed") {
    SECTION("refused by a door") {
        const auto cause = cause_in(
            sent + at(1, "h7", "event=call_refused request=a reason=deadline_too_near " + door) +
                at(2, "h1",
                   "event=call_ended request=a outcome=not-run reason=deadline_too_near because=no_time"),
            "a");
        CHECK(cause.find("h7 refused it (deadline_too_near) with 5 at work, 10 waiting, limit 6") == 0);
        CHECK(cause.find("its time was over") != std::string::npos);
    }
    SECTION("dispatched, and no answer") {
        const auto cause =
            cause_in(sent + at(1, "h7", "event=call_admitted request=a " + door) +
                         at(900, "h1", "event=call_ended request=a outcome=unknown reason=timed_out"),
                     "a");
        CHECK(cause.find("attempt 1 at i-7 was dispatched by h7") == 0);
    }
    SECTION("answered wrongly by the backend server") {
        const auto cause = cause_in(sent + at(1, "h7", "event=call_admitted request=a " + door) +
                                        at(40, "h7",
                                           "event=backend_ended request=a outcome=unknown "
                                           "reason=answer_incomplete service_us=39000") +
                                        at(41, "h1",
                                           "event=call_ended request=a outcome=unknown "
                                           "reason=answer_incomplete because=may_have_run"),
                                    "a");
        CHECK(cause.find("answer_incomplete after 39000 us; not tried again, since it may have run") !=
              std::string::npos);
    }
    SECTION("answered too late") {
        const auto cause = cause_in(
            sent + at(1, "h7", "event=call_admitted request=a " + door) +
                at(900, "h1", "event=call_ended request=a outcome=unknown reason=timed_out") +
                at(930, "h7", "event=backend_ended request=a outcome=completed reason=none status=504"),
            "a");
        CHECK(cause ==
              "attempt 1 at i-7 was answered by the backend server with status 504, too late for the "
              "entry (timed_out)");
    }
    SECTION("never seen by an owner") {
        const auto cause = cause_in(
            sent + at(900, "h1", "event=call_ended request=a outcome=unknown reason=connection_lost"), "a");
        CHECK(cause.find("no line shows that its owner took it") != std::string::npos);
    }
    SECTION("failed by a call of its own") {
        const auto cause = cause_in(
            sent + at(10, "h7", "event=call_ended request=a.1 outcome=not-run reason=no_backend_server") +
                at(11, "h1", "event=call_ended request=a outcome=completed status=500 server=i-7"),
            "a");
        CHECK(cause.find("i-7 answered with status 500, since its call a.1 failed: it did not run") !=
              std::string::npos);
    }
    SECTION("rejected by the entry") {
        const auto cause =
            cause_in(at(0, "h1", "event=request_rejected request=a status=404 because=\"no route\""), "a");
        CHECK(cause == "the entry rejected it with status 404: no route");
    }
    SECTION("with the log of the entry missing") {
        const auto cause = cause_in(at(1, "h7", "event=call_admitted request=a " + door), "a");
        CHECK(cause.find("not known") == 0);
    }
}

TEST_CASE("a trace shows steps in order, with what the hosts involved noticed") {
    request_trace traced{"a"};
    std::istringstream owner{at(1, "h7", "event=call_refused request=a reason=backend_slow") + "broken off" +
                             at(5, "h7", "event=call_admitted request=ab")};
    std::istringstream entry{at(2, "h1", "event=call_ended request=a outcome=not-run reason=backend_slow") +
                             sent + at(0, "h1", "event=link_failed peer=h7") +
                             at(0, "h9", "event=link_failed peer=h8") +
                             at(3, "h1", "event=log_lines_left_out lines=12 total=12")};
    traced.read(owner);
    traced.read(entry);
    CHECK(traced.unreadable() == 1);
    CHECK(traced.dropped_lines() == 12);
    const auto text = traced.text();
    CAPTURE(text);
    CHECK(text.find("attempt_sent") < text.find("call_refused"));
    CHECK(text.find("call_refused") < text.find("call_ended"));
    CHECK(text.find("(belief) link_failed peer=h7") != std::string::npos);
    CHECK(text.find("peer=h8") == std::string::npos);
    CHECK(text.find("request=ab") == std::string::npos);

    request_trace unknown{"b"};
    std::istringstream again{sent};
    unknown.read(again);
    CHECK_FALSE(unknown.found());
}

} // namespace chervilturn
