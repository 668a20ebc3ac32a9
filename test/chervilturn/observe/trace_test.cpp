// Parsing of log lines, and tracing of a request through the logs of many nodes.
#include "chervilturn/observe/trace.hpp"

#include "chervilturn/observe/log.hpp"

#include <catch2/catch.hpp>
#include <sstream>

namespace chervilturn {

namespace {

// A log line of a host with the given fields; the millisecond counts from a fixed time.
std::string log_text(int millisecond, const std::string& host, const std::string& fields) {
    char time[64];
    std::snprintf(time, sizeof(time), "time=2026-12-04T12:00:%02d.%03dZ level=INFO host=", millisecond / 1000,
                  millisecond % 1000);
    return time + host + ' ' + fields + '\n';
}

std::string cause_in(const std::string& log, const std::string& id) {
    request_trace trace{id};
    std::istringstream stream{log};
    trace.read(stream);
    REQUIRE(trace.found());
    return trace.cause();
}

const std::string attempt_line =
    log_text(0, "h1", "event=attempt_sent request=a attempt=1 server=i-7 report_age_us=422811");
const std::string load_fields = "in_use=5 queued=10 limit=6 slowdown_percent=400";

} // namespace

TEST_CASE("a log line is parsed into its fields") {
    const auto line =
        parse_log_line("time=2026-12-04T12:00:01.250Z level=WARN host=h1 event=entry_unreadable server=" +
                       escape_log_value("a \"b\" = \\ \x01") + " because=x");
    REQUIRE(line);
    CHECK(line->host == "h1");
    CHECK(line->event == "entry_unreadable");
    CHECK(line->get("server") == "a \"b\" = \\ \x01");
    CHECK(line->get("because") == "x");
    CHECK(line->get("other").empty());

    SECTION("incomplete lines and other text are not parsed") {
        for (const auto* text :
             {"", "Segmentation fault", "time=2026-12-04T12:00:01.250Z level=INFO host=h1",
              "time=yesterday level=INFO host=h1 event=x", "time=2026-12-04T12:00:01.250Z host=h1 event=\"x",
              "time=2026-13-44T12:00:01.250Z host=h1 event=x", "host=h1 event=x"}) {
            CAPTURE(text);
            CHECK_FALSE(parse_log_line(text));
        }
    }
}

TEST_CASE("a trace shows why a request failed") {
    SECTION("refused by the admission control of an owner") {
        const auto cause = cause_in(
            attempt_line +
                log_text(1, "h7", "event=call_refused request=a reason=deadline_too_near " + load_fields) +
                log_text(
                    2, "h1",
                    "event=call_ended request=a outcome=not-run reason=deadline_too_near because=no_time"),
            "a");
        CHECK(cause.find("h7 refused it (deadline_too_near) with 5 running, 10 queued, limit 6") == 0);
        CHECK(cause.find("too little time was left before its deadline") != std::string::npos);
    }
    SECTION("refused because of the rate that the backend server states") {
        const auto cause =
            cause_in(attempt_line +
                         log_text(1, "h7",
                                  "event=call_refused request=a reason=server_rate_limited stated_rate=5.0 "
                                  "rate_wait_us=400000 " +
                                      load_fields) +
                         log_text(2, "h1", "event=call_ended request=a outcome=not-run reason=queue_full"),
                     "a");
        CHECK(cause.find("(server_rate_limited)") != std::string::npos);
        CHECK(cause.find("stated limit 5.0 calls a second (room in 400000 us)") != std::string::npos);
    }
    SECTION("dispatched without an answer in time") {
        const auto cause =
            cause_in(attempt_line + log_text(1, "h7", "event=call_admitted request=a " + load_fields) +
                         log_text(900, "h1", "event=call_ended request=a outcome=unknown reason=timed_out"),
                     "a");
        CHECK(cause.find("attempt 1 at i-7 was dispatched by h7") == 0);
    }
    SECTION("incomplete answer of the backend server") {
        const auto cause =
            cause_in(attempt_line + log_text(1, "h7", "event=call_admitted request=a " + load_fields) +
                         log_text(40, "h7",
                                  "event=backend_ended request=a outcome=unknown "
                                  "reason=answer_incomplete service_us=39000") +
                         log_text(41, "h1",
                                  "event=call_ended request=a outcome=unknown "
                                  "reason=answer_incomplete because=may_have_run"),
                     "a");
        CHECK(cause.find("answer_incomplete after 39000 us; not retried because it may have run") !=
              std::string::npos);
    }
    SECTION("answered after the deadline") {
        const auto cause = cause_in(
            attempt_line + log_text(1, "h7", "event=call_admitted request=a " + load_fields) +
                log_text(900, "h1", "event=call_ended request=a outcome=unknown reason=timed_out") +
                log_text(930, "h7", "event=backend_ended request=a outcome=completed reason=none status=504"),
            "a");
        CHECK(cause ==
              "attempt 1 at i-7 was answered by the backend server with status 504, after the entry had "
              "stopped waiting (timed_out)");
    }
    SECTION("not received by any owner") {
        const auto cause = cause_in(
            attempt_line +
                log_text(900, "h1", "event=call_ended request=a outcome=unknown reason=connection_lost"),
            "a");
        CHECK(cause.find("no log line shows that its owner received it") != std::string::npos);
    }
    SECTION("failed because a call that it sent failed") {
        const auto cause = cause_in(
            attempt_line +
                log_text(10, "h7", "event=call_ended request=a.1 outcome=not-run reason=no_backend_server") +
                log_text(11, "h1", "event=call_ended request=a outcome=completed status=500 server=i-7"),
            "a");
        CHECK(cause.find("i-7 answered with status 500 because its call a.1 failed: it did not run") !=
              std::string::npos);
    }
    SECTION("rejected by the entry") {
        const auto cause = cause_in(
            log_text(0, "h1", "event=request_rejected request=a status=404 because=\"no route\""), "a");
        CHECK(cause == "the entry rejected it with status 404: no route");
    }
    SECTION("without the log of the entry") {
        const auto cause = cause_in(log_text(1, "h7", "event=call_admitted request=a " + load_fields), "a");
        CHECK(cause.find("not known") == 0);
    }
}

TEST_CASE("a trace shows steps in order, with other events of the hosts involved") {
    request_trace trace{"a"};
    std::istringstream owner_log{log_text(1, "h7", "event=call_refused request=a reason=backend_slow") +
                                 "broken off" + log_text(5, "h7", "event=call_admitted request=ab")};
    std::istringstream entry_log{
        log_text(2, "h1", "event=call_ended request=a outcome=not-run reason=backend_slow") + attempt_line +
        log_text(0, "h1", "event=link_failed peer=h7") + log_text(0, "h9", "event=link_failed peer=h8") +
        log_text(3, "h1", "event=log_lines_left_out lines=12 total=12")};
    trace.read(owner_log);
    trace.read(entry_log);
    CHECK(trace.unreadable() == 1);
    CHECK(trace.dropped_lines() == 12);
    const auto text = trace.text();
    CAPTURE(text);
    CHECK(text.find("attempt_sent") < text.find("call_refused"));
    CHECK(text.find("call_refused") < text.find("call_ended"));
    CHECK(text.find("(node) link_failed peer=h7") != std::string::npos);
    CHECK(text.find("peer=h8") == std::string::npos);
    CHECK(text.find("request=ab") == std::string::npos);

    request_trace other_trace{"b"};
    std::istringstream other_log{attempt_line};
    other_trace.read(other_log);
    CHECK_FALSE(other_trace.found());
}

} // namespace chervilturn
