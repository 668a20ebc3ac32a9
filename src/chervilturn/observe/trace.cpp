// Orders the log lines of one request and derives from them how it ended.
#include "chervilturn/observe/trace.hpp"

#include <algorithm>
#include <array>
#include <istream>
#include <set>
#include <tuple>

namespace chervilturn {

namespace {

using namespace std::chrono_literals;

// Node events up to this long before the request are shown, because they may have influenced it.
constexpr auto event_lookback = 2s;

// Events of requests. All other events are about the node itself, such as changed settings or a lost link.
constexpr std::array<std::string_view, 10> request_events{
    "attempt_sent",  "attempt_ended", "call_ended",   "caller_left",    "request_rejected",
    "call_admitted", "call_queued",   "call_refused", "call_cancelled", "backend_ended"};

[[nodiscard]] bool is_request_event(const log_line& line) {
    return std::find(request_events.begin(), request_events.end(), line.event) != request_events.end();
}

[[nodiscard]] std::string field_value(const log_line& line, std::string_view key) {
    return std::string{line.get(key)};
}

[[nodiscard]] std::string fields_text(const log_line& line) {
    std::string text;
    for (const auto& field : line.fields) {
        text += ' ' + field.key + '=' + field.value;
    }
    return text;
}

[[nodiscard]] std::string load_text(const log_line& line) {
    const auto rate = field_value(line, "stated_rate");
    const auto rate_text = rate.empty() || rate == "none"
                               ? std::string{}
                               : ", stated limit " + rate + " calls a second (room in " +
                                     field_value(line, "rate_wait_us") + " us)";
    return field_value(line, "in_use") + " running, " + field_value(line, "queued") + " queued, limit " +
           field_value(line, "limit") + ", service times at " + field_value(line, "slowdown_percent") +
           "% of the baseline" + rate_text;
}

[[nodiscard]] std::string no_retry_text(const std::string& cause) {
    if (cause == "budget_spent") {
        return "; not retried because the retry budget was spent";
    }
    if (cause == "attempts_spent") {
        return "; not retried because the route allows no more attempts";
    }
    if (cause == "no_time") {
        return "; not retried because too little time was left before its deadline";
    }
    if (cause == "may_have_run") {
        return "; not retried because it may have run and must not run twice";
    }
    if (cause == "final_refusal") {
        return "; not retried because every other owner would refuse it too";
    }
    return {};
}

} // namespace

bool request_trace::matches(const log_line& line) const {
    const auto request = line.get("request");
    return request == this->request_id || request.starts_with(this->request_id + '.');
}

void request_trace::read(std::istream& log) {
    for (std::string text; std::getline(log, text);) {
        auto line = parse_log_line(text);
        ++this->lines_read;
        if (!line) {
            this->unreadable_lines += text.empty() ? 0 : 1;
        } else if (this->matches(*line)) {
            this->lines.push_back({std::move(*line), this->lines_read});
        } else if (line->event == "log_lines_left_out") {
            this->dropped_total += std::strtoull(field_value(*line, "lines").c_str(), nullptr, 10);
        } else if (!is_request_event(*line)) {
            this->node_events.push_back({std::move(*line), this->lines_read});
        }
    }
}

// All lines of the request, and the node events that the hosts involved logged during the request or
// shortly before it.
std::vector<const log_line*> request_trace::ordered_lines() const {
    std::set<std::string_view> hosts;
    auto first_time = this->lines.front().line.time;
    auto last_time = first_time;
    std::vector<const numbered_line*> selected;
    for (const auto& item : this->lines) {
        hosts.insert(item.line.host);
        first_time = std::min(first_time, item.line.time);
        last_time = std::max(last_time, item.line.time);
        selected.push_back(&item);
    }
    for (const auto& item : this->node_events) {
        if (hosts.contains(item.line.host) && item.line.time >= first_time - event_lookback &&
            item.line.time <= last_time) {
            selected.push_back(&item);
        }
    }
    std::sort(selected.begin(), selected.end(), [](const numbered_line* left, const numbered_line* right) {
        return std::tie(left->line.time, left->number) < std::tie(right->line.time, right->number);
    });
    std::vector<const log_line*> ordered;
    ordered.reserve(selected.size());
    for (const auto* item : selected) {
        ordered.push_back(&item->line);
    }
    return ordered;
}

const log_line* request_trace::last_event(const std::string& request, std::string_view event) const {
    const log_line* last = nullptr;
    for (const auto& item : this->lines) {
        if (item.line.event == event && item.line.get("request") == request &&
            (last == nullptr || item.line.time >= last->time)) {
            last = &item.line;
        }
    }
    return last;
}

std::string request_trace::text() const {
    const auto ordered = this->ordered_lines();
    auto start = this->lines.front().line.time;
    for (const auto& item : this->lines) {
        start = std::min(start, item.line.time);
    }
    std::string text;
    for (const auto* line : ordered) {
        const auto offset_ms = std::to_string((line->time - start).count());
        text += std::string(offset_ms.size() < 7 ? 7 - offset_ms.size() : 0, ' ') + offset_ms + " ms  " +
                line->host + "  " + (is_request_event(*line) ? "" : "(node) ") + line->event +
                fields_text(*line) + '\n';
    }
    return text + "cause: " + this->cause() + '\n';
}

std::string request_trace::cause() const {
    return this->cause_of(this->request_id);
}

std::string request_trace::cause_of(const std::string& request) const {
    if (const auto* rejection = this->last_event(request, "request_rejected")) {
        return "the entry rejected it with status " + field_value(*rejection, "status") + ": " +
               field_value(*rejection, "because");
    }
    const auto* call_ended = this->last_event(request, "call_ended");
    if (call_ended == nullptr) {
        return "not known: no log line shows how " + request +
               " ended; the log of its entry is missing or incomplete";
    }
    const auto outcome = call_ended->get("outcome");
    const auto reason = field_value(*call_ended, "reason");
    const auto no_retry_note = no_retry_text(field_value(*call_ended, "because"));
    if (outcome == "completed") {
        const auto child = this->first_failed_child(request);
        if (call_ended->get("status") < "400") {
            return "it was answered after " + field_value(*call_ended, "took_us") + " us and " +
                   field_value(*call_ended, "attempts") + " attempts";
        }
        return "backend server " + field_value(*call_ended, "server") + " answered with status " +
               field_value(*call_ended, "status") +
               (child.empty() ? no_retry_note
                              : " because its call " + child + " failed: " + this->cause_of(child));
    }
    if (outcome == "unknown") {
        return this->cause_of_unknown(request, *call_ended) + no_retry_note;
    }
    const auto* refusal = this->last_event(request, "call_refused");
    if (refusal == nullptr) {
        return "it did not run (" + reason + "), and no owner logged a refusal" + no_retry_note;
    }
    return refusal->host + " refused it (" + field_value(*refusal, "reason") + ')' +
           (refusal->get("limit").empty() ? std::string{} : " with " + load_text(*refusal)) + no_retry_note;
}

std::string request_trace::cause_of_unknown(const std::string& request, const log_line& call_ended) const {
    const auto reason = field_value(call_ended, "reason");
    if (reason == "cancelled") {
        return "its caller disconnected after " + field_value(call_ended, "took_us") + " us";
    }
    const auto* attempt_sent = this->last_event(request, "attempt_sent");
    if (attempt_sent == nullptr) {
        return "it may have run (" + reason + "), and no log line shows where it was sent";
    }
    const auto attempt =
        "attempt " + field_value(*attempt_sent, "attempt") + " at " + field_value(*attempt_sent, "server");
    const auto* backend_ended = this->last_event(request, "backend_ended");
    const auto* call_admitted = this->last_event(request, "call_admitted");
    const auto* call_queued = this->last_event(request, "call_queued");
    if (backend_ended != nullptr && backend_ended->time >= attempt_sent->time &&
        backend_ended->get("outcome") == "completed") {
        return attempt + " was answered by the backend server with status " +
               field_value(*backend_ended, "status") + ", after the entry had stopped waiting (" + reason +
               ')';
    }
    if (backend_ended != nullptr && backend_ended->time >= attempt_sent->time) {
        return attempt + " failed at the backend server with " + field_value(*backend_ended, "reason") +
               " after " + field_value(*backend_ended, "service_us") + " us";
    }
    if (call_admitted != nullptr && call_admitted->time >= attempt_sent->time) {
        return attempt + " was dispatched by " + call_admitted->host + " (" + load_text(*call_admitted) +
               ") and got no answer in time (" + reason + ')';
    }
    if (call_queued != nullptr && call_queued->time >= attempt_sent->time) {
        return attempt + " was queued at " + call_queued->host + " (" + load_text(*call_queued) +
               ") until its deadline";
    }
    return attempt + " got no answer (" + reason +
           "), and no log line shows that its owner received it: the connection or the owner failed";
}

// The id of the first direct child of the request that failed; empty when none failed.
std::string request_trace::first_failed_child(const std::string& request) const {
    const log_line* first = nullptr;
    for (const auto& item : this->lines) {
        const auto child = item.line.get("request");
        const bool is_child =
            child.starts_with(request + '.') && child.find('.', request.size() + 1) == std::string_view::npos;
        const bool failed = item.line.event == "request_rejected" ||
                            (item.line.event == "call_ended" &&
                             (item.line.get("outcome") != "completed" || item.line.get("status") >= "400"));
        if (is_child && failed && (first == nullptr || item.line.time < first->time)) {
            first = &item.line;
        }
    }
    return first == nullptr ? std::string{} : field_value(*first, "request");
}

} // namespace chervilturn
