// Ordering and interpretation of one request's log lines.
#include "chervilturn/observe/trace.hpp"

#include <algorithm>
#include <array>
#include <istream>
#include <set>
#include <tuple>

namespace chervilturn {

namespace {

using namespace std::chrono_literals;

constexpr auto look_back = 2s; // before the request: beliefs that may have decided it

// Lines about requests; all others speak of what a node believes.
constexpr std::array<std::string_view, 10> request_events{
    "attempt_sent",  "attempt_ended", "call_ended",   "caller_left",    "request_rejected",
    "call_admitted", "call_queued",   "call_refused", "call_cancelled", "backend_ended"};

[[nodiscard]] bool is_about_request(const log_line& line) {
    return std::find(request_events.begin(), request_events.end(), line.event) != request_events.end();
}

[[nodiscard]] std::string text_of(const log_line& line, std::string_view key) {
    return std::string{line.get(key)};
}

[[nodiscard]] std::string fields_of(const log_line& line) {
    std::string text;
    for (const auto& field : line.fields) {
        text += ' ' + field.key + '=' + field.value;
    }
    return text;
}

[[nodiscard]] std::string load_of(const log_line& line) {
    return text_of(line, "in_use") + " at work, " + text_of(line, "queued") + " waiting, limit " +
           text_of(line, "limit") + ", host at " + text_of(line, "slowdown_percent") + "% of its usual times";
}

[[nodiscard]] std::string why_no_further_attempt(const std::string& cause) {
    if (cause == "budget_spent") {
        return "; not tried again, since the retry budget was spent";
    }
    if (cause == "attempts_spent") {
        return "; not tried again, since the route allows no more attempts";
    }
    if (cause == "no_time") {
        return "; not tried again, since its time was over";
    }
    if (cause == "may_have_run") {
        return "; not tried again, since it may have run and must not run twice";
    }
    if (cause == "final_refusal") {
        return "; not tried again, since every other owner would refuse it too";
    }
    return {};
}

} // namespace

bool request_trace::concerns(const log_line& line) const {
    const auto request = line.get("request");
    return request == this->id || request.starts_with(this->id + '.');
}

void request_trace::read(std::istream& log) {
    for (std::string text; std::getline(log, text);) {
        auto line = parse_log_line(text);
        ++this->read_so_far;
        if (!line) {
            this->unreadable_lines += text.empty() ? 0 : 1;
        } else if (this->concerns(*line)) {
            this->lines.push_back({std::move(*line), this->read_so_far});
        } else if (line->event == "log_lines_left_out") {
            this->lines_left_out += std::strtoull(text_of(*line, "lines").c_str(), nullptr, 10);
        } else if (!is_about_request(*line)) {
            this->beliefs.push_back({std::move(*line), this->read_so_far});
        }
    }
}

// The lines of the request and, of the hosts involved, those on beliefs shortly before and meanwhile.
std::vector<const log_line*> request_trace::in_order() const {
    std::set<std::string_view> hosts;
    auto first = this->lines.front().line.time;
    auto last = first;
    std::vector<const position*> chosen;
    for (const auto& held : this->lines) {
        hosts.insert(held.line.host);
        first = std::min(first, held.line.time);
        last = std::max(last, held.line.time);
        chosen.push_back(&held);
    }
    for (const auto& held : this->beliefs) {
        if (hosts.contains(held.line.host) && held.line.time >= first - look_back && held.line.time <= last) {
            chosen.push_back(&held);
        }
    }
    std::sort(chosen.begin(), chosen.end(), [](const position* left, const position* right) {
        return std::tie(left->line.time, left->order) < std::tie(right->line.time, right->order);
    });
    std::vector<const log_line*> ordered;
    ordered.reserve(chosen.size());
    for (const auto* held : chosen) {
        ordered.push_back(&held->line);
    }
    return ordered;
}

const log_line* request_trace::last_of(const std::string& request, std::string_view event) const {
    const log_line* latest = nullptr;
    for (const auto& held : this->lines) {
        if (held.line.event == event && held.line.get("request") == request &&
            (latest == nullptr || held.line.time >= latest->time)) {
            latest = &held.line;
        }
    }
    return latest;
}

std::string request_trace::text() const {
    const auto ordered = this->in_order();
    auto start = this->lines.front().line.time;
    for (const auto& held : this->lines) {
        start = std::min(start, held.line.time);
    }
    std::string text;
    for (const auto* line : ordered) {
        const auto after = std::to_string((line->time - start).count());
        text += std::string(after.size() < 7 ? 7 - after.size() : 0, ' ') + after + " ms  " + line->host +
                "  " + (is_about_request(*line) ? "" : "(belief) ") + line->event + fields_of(*line) + '\n';
    }
    return text + "cause: " + this->cause() + '\n';
}

std::string request_trace::cause() const {
    return this->cause_of(this->id);
}

std::string request_trace::cause_of(const std::string& request) const {
    if (const auto* rejected = this->last_of(request, "request_rejected")) {
        return "the entry rejected it with status " + text_of(*rejected, "status") + ": " +
               text_of(*rejected, "because");
    }
    const auto* ended = this->last_of(request, "call_ended");
    if (ended == nullptr) {
        return "not known: no line tells how " + request +
               " ended; the log of its entry is missing or incomplete";
    }
    const auto outcome = ended->get("outcome");
    const auto why = text_of(*ended, "reason");
    const auto further = why_no_further_attempt(text_of(*ended, "because"));
    if (outcome == "completed") {
        const auto child = this->failed_child_of(request);
        if (ended->get("status") < "400") {
            return "it was served, after " + text_of(*ended, "took_us") + " us in " +
                   text_of(*ended, "attempts") + " attempts";
        }
        return "backend server " + text_of(*ended, "server") + " answered with status " +
               text_of(*ended, "status") +
               (child.empty() ? further : ", since its call " + child + " failed: " + this->cause_of(child));
    }
    if (outcome == "unknown") {
        return this->cause_of_unknown(request, *ended) + further;
    }
    const auto* refused = this->last_of(request, "call_refused");
    if (refused == nullptr) {
        return "it did not run (" + why + "), and no owner's log tells more" + further;
    }
    return refused->host + " refused it (" + text_of(*refused, "reason") + ')' +
           (refused->get("limit").empty() ? std::string{} : " with " + load_of(*refused)) + further;
}

std::string request_trace::cause_of_unknown(const std::string& request, const log_line& ended) const {
    const auto why = text_of(ended, "reason");
    if (why == "cancelled") {
        return "its caller left after " + text_of(ended, "took_us") + " us";
    }
    const auto* sent = this->last_of(request, "attempt_sent");
    if (sent == nullptr) {
        return "it may have run (" + why + "), and no line tells where it was sent";
    }
    const auto attempt = "attempt " + text_of(*sent, "attempt") + " at " + text_of(*sent, "server");
    const auto* worked = this->last_of(request, "backend_ended");
    const auto* admitted = this->last_of(request, "call_admitted");
    const auto* waited = this->last_of(request, "call_queued");
    if (worked != nullptr && worked->time >= sent->time && worked->get("outcome") == "completed") {
        return attempt + " was answered by the backend server with status " + text_of(*worked, "status") +
               ", too late for the entry (" + why + ')';
    }
    if (worked != nullptr && worked->time >= sent->time) {
        return attempt + " ended at the backend server with " + text_of(*worked, "reason") + " after " +
               text_of(*worked, "service_us") + " us";
    }
    if (admitted != nullptr && admitted->time >= sent->time) {
        return attempt + " was dispatched by " + admitted->host + " (" + load_of(*admitted) +
               ") and had no answer in time (" + why + ')';
    }
    if (waited != nullptr && waited->time >= sent->time) {
        return attempt + " waited at " + waited->host + " (" + load_of(*waited) + ") until its time was over";
    }
    return attempt + " got no answer (" + why +
           "), and no line shows that its owner took it: the way there or the owner itself failed";
}

// The first of the calls that a run made and that failed; empty when none did.
std::string request_trace::failed_child_of(const std::string& request) const {
    const log_line* first = nullptr;
    for (const auto& held : this->lines) {
        const auto child = held.line.get("request");
        const bool is_child =
            child.starts_with(request + '.') && child.find('.', request.size() + 1) == std::string_view::npos;
        const bool failed = held.line.event == "request_rejected" ||
                            (held.line.event == "call_ended" &&
                             (held.line.get("outcome") != "completed" || held.line.get("status") >= "400"));
        if (is_child && failed && (first == nullptr || held.line.time < first->time)) {
            first = &held.line;
        }
    }
    return first == nullptr ? std::string{} : text_of(*first, "request");
}

} // namespace chervilturn
