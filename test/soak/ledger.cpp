// The checks of a soak.
#include "ledger.hpp"

#include <algorithm>
#include <array>

namespace chervilturn::soak {

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_multiple_choices = 300; // first status that is no success
constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_unavailable = 503;
constexpr std::size_t few_requests = 5;        // of callers that left, which may still arrive
constexpr std::size_t few_late_answers = 8;    // below that a share says nothing
constexpr std::size_t few_wrong_times = 20;    // handed more time than is left
constexpr std::size_t few_over_attempts = 3;   // requests on more backend servers than allowed
constexpr double share_of_wrong_times = 0.2;   // of all arrivals
constexpr double share_of_late_answers = 0.25; // of requests that reach their time-out
constexpr double share_of_left_work = 0.25;    // of runs whose caller left
constexpr auto window_step = std::chrono::seconds{1};
constexpr int slowed_host_factor = 8; // on the bound for going back to older settings
constexpr std::array<std::uint16_t, 4> statuses_of_refusal{503, 429, 408, 421};

[[nodiscard]] bool is_success(std::uint16_t status) {
    return status >= status_ok && status < status_multiple_choices;
}

[[nodiscard]] bool is_refusal(std::uint16_t status) {
    return std::find(statuses_of_refusal.begin(), statuses_of_refusal.end(), status) !=
           statuses_of_refusal.end();
}

} // namespace

const char* to_string(promise checked) noexcept {
    static constexpr std::array<const char*, promise_count> names{
        "run_once",         "true_refusal",   "whole_answer",     "known_request", "allowed_service",
        "home_regions",     "leaving_server", "evacuated_centre", "cold_rate",     "settings_in_time",
        "settings_forward", "retry_budget",   "max_attempts",     "time_left",     "caller_left",
        "answer_in_time",   "planned_stop",   "keeps_running",    "served_again"};
    return names.at(static_cast<std::size_t>(checked));
}

void ledger::report(promise broken_one, std::string detail) {
    this->broken.push_back({broken_one, std::move(detail)});
}

// Counts an observation that a check judges; always true, so that it can stand in a condition.
bool ledger::judge(promise checked) {
    ++this->judgements.at(static_cast<std::size_t>(checked));
    return true;
}

void ledger::on_disturbed(const std::string& host, instant at) {
    this->disturbances[host].push_back({at, std::nullopt});
}

void ledger::on_undisturbed(const std::string& host, instant at) {
    auto& spans = this->disturbances[host];
    const auto open = std::find_if(spans.begin(), spans.end(), [](const span& held) { return !held.until; });
    if (open != spans.end()) {
        open->until = at;
    }
}

bool ledger::calm(const std::string& host, instant from, instant until) const {
    const auto known = this->disturbances.find(host);
    return known == this->disturbances.end() ||
           std::none_of(known->second.begin(), known->second.end(), [&](const span& held) {
               return held.from <= until && (!held.until || *held.until + this->limits.contact >= from);
           });
}

bool ledger::calm_around(const std::string& first, const std::string& second, instant from,
                         instant until) const {
    return this->calm(first, from, until) && this->calm(second, from, until) && this->calm("", from, until);
}

void ledger::on_sent(test::sent_request request) {
    const auto id = request.id;
    auto& call = this->calls[id];
    const auto parent = this->calls.find(request.parent);
    call.repeated_work =
        parent != this->calls.end() && (parent->second.repeated_work || parent->second.arrivals.size() > 1);
    call.sent = std::move(request);
}

void ledger::on_arrival(test::arrival seen) {
    const auto found = this->calls.find(seen.id);
    this->judge(promise::known_request);
    if (found == this->calls.end()) {
        this->report(promise::known_request, seen.id + " was sent by nobody, and reached " + seen.server);
        return;
    }
    auto& call = found->second;
    call.arrivals.push_back(seen.at);
    if (seen.target != call.sent.target || seen.origin != call.sent.origin) {
        this->report(promise::known_request, seen.id + " was changed: " + seen.origin + ' ' + seen.target);
    }
    if (!seen.misdirected) {
        this->check_place(call, seen);
        this->check_cold(seen);
    }
    if (seen.time_left) {
        ++this->with_time_left;
        const auto left = call.sent.time_left - elapsed(call.sent.at, seen.at);
        this->too_much_time += *seen.time_left > left + this->limits.late ? 1 : 0;
    } else {
        ++this->too_much_time;
    }
    if (seen.runs) {
        ++call.runs;
        call.servers.insert(seen.server);
        this->check_run(call, seen);
    }
}

void ledger::check_run(const call_record& call, const test::arrival& seen) {
    if (call.sent.unsafe && this->judge(promise::run_once) && call.runs > 1) {
        this->report(promise::run_once, seen.id + " runs again, at " + seen.server);
    }
    if (call.sent.unsafe && call.ended && is_refusal(call.ended->status)) {
        this->report(promise::true_refusal, seen.id + " runs at " + seen.server + " after status " +
                                                std::to_string(call.ended->status));
    }
    this->judge(promise::allowed_service);
    const auto allowed_here = this->allowed.find(call.sent.route);
    if (allowed_here == this->allowed.end() || !allowed_here->second.contains(seen.service)) {
        this->report(promise::allowed_service,
                     seen.id + " of route " + call.sent.route + " runs at " + seen.service);
    }
}

void ledger::check_place(const call_record& call, const test::arrival& seen) {
    if (!call.sent.homes.empty() && this->judge(promise::home_regions) &&
        !call.sent.homes.contains(seen.region)) {
        this->report(promise::home_regions, seen.id + " reached region " + seen.region);
    }
    const auto left = this->leaving.find(seen.server);
    if (left != this->leaving.end() && this->judge(promise::leaving_server) &&
        seen.at > left->second + this->limits.drain &&
        this->calm_around(call.sent.entry, seen.host, call.sent.at, seen.at)) {
        this->report(promise::leaving_server, seen.id + " reached " + seen.server + ' ' +
                                                  std::to_string(to_seconds(seen.at - left->second)) +
                                                  " s after it was to leave");
    }
    const auto out = this->evacuated.find(seen.data_centre);
    if (out != this->evacuated.end() && this->judge(promise::evacuated_centre) &&
        seen.at > out->second + this->limits.evacuation &&
        this->calm_around(call.sent.entry, seen.host, call.sent.at, seen.at)) {
        this->report(promise::evacuated_centre,
                     seen.id + " reached " + seen.server + " in " + seen.data_centre);
    }
}

void ledger::check_cold(const test::arrival& seen) {
    const auto until = this->cold.find(seen.server);
    if (until == this->cold.end() || seen.at >= until->second) {
        return;
    }
    this->judge(promise::cold_rate);
    auto& recent = this->cold_arrivals[seen.server];
    recent.push_back(seen.at);
    std::erase_if(recent, [&seen](instant at) { return seen.at - at >= std::chrono::seconds{1}; });
    const double bound = this->limits.cold_per_second * this->limits.cold_overshoot + this->limits.cold_slack;
    if (static_cast<double>(recent.size()) > bound) {
        this->report(promise::cold_rate, seen.server + " got " + std::to_string(recent.size()) +
                                             " requests in a second while cold");
    }
}

void ledger::on_work_ended(const std::string& id, instant at) {
    const auto found = this->calls.find(id);
    if (found != this->calls.end()) {
        found->second.work_ended = at;
    }
}

void ledger::on_ended(const test::ended_request& seen) {
    const auto found = this->calls.find(seen.id);
    if (found == this->calls.end()) {
        return;
    }
    auto& call = found->second;
    call.ended = seen;
    call.gave_up = seen.gave_up;
    call.gave_up_at = seen.at;
    this->check_answer(call);
    this->check_version(call);
    if (seen.unreadable) {
        this->report(promise::whole_answer, seen.id + " got bytes that are no answer");
    }
    this->check_stop(call);
}

void ledger::check_answer(const call_record& call) {
    const auto& seen = *call.ended;
    if (is_success(seen.status)) {
        ++this->successes;
        this->judge(promise::whole_answer);
        if (!seen.success_whole) {
            this->report(promise::whole_answer, seen.id + " got a success that is not its whole answer");
        }
    }
    if (is_refusal(seen.status) && call.sent.unsafe && this->judge(promise::true_refusal) && call.runs > 0) {
        this->report(promise::true_refusal, seen.id + " ran and was answered " + std::to_string(seen.status));
    }
}

// Routes that come and go with versions show which one a node handles a request by.
void ledger::check_version(const call_record& call) {
    const auto& sent = call.sent;
    const auto& seen = *call.ended;
    if (sent.probes == 0 || seen.status == 0 ||
        (seen.status == status_unavailable && call.arrivals.empty())) {
        return; // tells nothing: a refusal may come before the route is looked up
    }
    const bool routed = seen.status != status_not_found;
    const bool drop_sent = this->versions.contains(sent.dropped_in);
    std::uint32_t in_force = 0;
    for (const auto& [version, at] : this->versions) {
        if (at + this->limits.settings < sent.at) {
            in_force = version;
        }
    }
    const auto about = seen.id + " for version " + std::to_string(sent.probes) + " at " + sent.entry +
                       " got status " + std::to_string(seen.status);
    if (in_force > 0 && this->calm_around(sent.entry, sent.entry, sent.at, seen.at) &&
        this->judge(promise::settings_in_time)) {
        if ((routed && in_force >= sent.dropped_in) || (!routed && in_force >= sent.probes && !drop_sent)) {
            this->report(promise::settings_in_time,
                         about + " while version " + std::to_string(in_force) + " should be in force");
        }
    }
    auto& newest = this->newest_seen[sent.entry + '#' + std::to_string(sent.entry_lifetime)];
    const bool slowed = !this->calm(sent.entry, sent.at, seen.at);
    const auto slack = this->limits.downgrade * (slowed ? slowed_host_factor : 1);
    std::uint32_t known = 0;
    for (const auto& [version, at] : newest) {
        known = at + slack < sent.at ? version : known;
    }
    this->judge(promise::settings_forward);
    if ((routed && known >= sent.dropped_in) || (!routed && known >= sent.probes && !drop_sent)) {
        this->report(promise::settings_forward,
                     about + " after version " + std::to_string(known) + " was seen there");
    }
    if (routed) {
        newest.try_emplace(sent.probes, seen.at);
    }
}

// Around a planned stop nothing that was read whole may end without an answer.
void ledger::check_stop(const call_record& call) {
    const auto& sent = call.sent;
    const auto& seen = *call.ended;
    const auto known = this->stops.find(sent.entry);
    if (known == this->stops.end() || seen.gave_up || !this->calm_around(sent.entry, "", sent.at, seen.at)) {
        return;
    }
    for (const auto stop : known->second) {
        if (sent.at < stop - this->limits.contact || sent.at > stop + this->limits.grace) {
            continue;
        }
        this->judge(promise::planned_stop);
        if (seen.broken_off && (!call.arrivals.empty() || seen.at > sent.at + this->limits.loss_slack)) {
            this->report(promise::planned_stop, seen.id + " was broken off at " + sent.entry + ' ' +
                                                    std::to_string(to_seconds(seen.at - stop)) +
                                                    " s after its stop");
        }
    }
}

void ledger::on_process_ended(const std::string& broken_how) {
    this->judge(promise::keeps_running);
    if (!broken_how.empty()) {
        this->report(promise::keeps_running, broken_how);
    }
}

void ledger::finish() {
    this->check_attempts();
    this->check_budget();
    this->check_times();
    this->check_served();
}

void ledger::check_attempts() {
    std::size_t over = 0;
    for (const auto& [id, call] : this->calls) {
        this->judge(promise::max_attempts);
        over += call.sent.parent.empty() && call.servers.size() > this->limits.max_attempts ? 1 : 0;
    }
    if (over > few_over_attempts) {
        this->report(promise::max_attempts,
                     std::to_string(over) + " requests reached more backend servers than allowed");
    }
}

// Repeats in each window against the requests of that window, the one before it and the one between.
void ledger::check_budget() {
    struct timed {
        instant at;
        bool repeat;
    };
    std::map<std::string, std::vector<timed>> arrivals;
    std::map<std::string, std::vector<instant>> requests;
    instant first = instant::max();
    instant last = instant::min();
    for (const auto& [id, call] : this->calls) {
        if (call.sent.parent.empty()) {
            requests[call.sent.service].push_back(call.sent.at);
        }
        first = std::min(first, call.sent.at);
        last = std::max(last, call.sent.at);
        for (std::size_t index = 0; index < call.arrivals.size(); ++index) {
            arrivals[call.sent.service].push_back({call.arrivals[index], index > 0 || call.repeated_work});
        }
    }
    const auto window = this->limits.budget_window;
    for (const auto& [name, seen] : arrivals) {
        const auto& asked_for = requests[name];
        const auto asked = [&](instant from) {
            return static_cast<double>(std::count_if(asked_for.begin(), asked_for.end(), [&](instant at) {
                return at >= from && at < from + window;
            }));
        };
        for (auto from = first; from < last; from += window_step) {
            const auto repeats = std::count_if(seen.begin(), seen.end(), [&](const timed& one) {
                return one.repeat && one.at >= from && one.at < from + window;
            });
            const double base = std::max({asked(from), asked(from - window), asked(from - window / 2)});
            const double bound = this->limits.budget_ratio * base + this->limits.retry_slack;
            this->judge(promise::retry_budget);
            if (static_cast<double>(repeats) > bound) {
                this->report(promise::retry_budget, name + " got " + std::to_string(repeats) +
                                                        " repeats in a window that allows " +
                                                        std::to_string(bound));
                return;
            }
        }
    }
}

void ledger::check_times() {
    this->judgements.at(static_cast<std::size_t>(promise::time_left)) = this->with_time_left;
    if (this->too_much_time > few_wrong_times &&
        static_cast<double>(this->too_much_time) >
            share_of_wrong_times * static_cast<double>(this->with_time_left)) {
        this->report(promise::time_left,
                     std::to_string(this->too_much_time) + " arrivals were handed more time than was left");
    }
    std::size_t left = 0;
    std::size_t work_after = 0;
    std::size_t arrived_after = 0;
    std::size_t at_time_out = 0;
    std::size_t late = 0;
    for (const auto& [id, call] : this->calls) {
        const auto end = call.ended ? call.ended->at : call.sent.at + call.sent.time_left;
        if (!this->calm_around(call.sent.entry, call.sent.entry, call.sent.at, end + this->limits.late)) {
            continue;
        }
        if (call.gave_up && !call.arrivals.empty()) {
            ++left;
            const auto bound = call.gave_up_at + this->limits.late;
            work_after += call.work_ended && *call.work_ended > bound ? 1 : 0;
            arrived_after += call.arrivals.back() > bound ? 1 : 0;
        }
        const auto expiry = call.sent.at + call.sent.time_left;
        if (!call.gave_up && call.ended && call.ended->at >= expiry) {
            ++at_time_out;
            late += call.ended->at > expiry + this->limits.late ? 1 : 0;
        }
    }
    this->judgements.at(static_cast<std::size_t>(promise::caller_left)) = left;
    this->judgements.at(static_cast<std::size_t>(promise::answer_in_time)) = at_time_out;
    if (arrived_after > few_requests ||
        (left > few_late_answers &&
         static_cast<double>(work_after) > share_of_left_work * static_cast<double>(left))) {
        this->report(promise::caller_left, std::to_string(work_after) + " of " + std::to_string(left) +
                                               " runs went on after their callers had left, " +
                                               std::to_string(arrived_after) + " began");
    }
    if (late >= few_late_answers &&
        static_cast<double>(late) > share_of_late_answers * static_cast<double>(at_time_out)) {
        this->report(promise::answer_in_time, std::to_string(late) + " of " + std::to_string(at_time_out) +
                                                  " requests had no answer after their time-out");
    }
}

void ledger::check_served() {
    std::map<std::string, std::pair<std::size_t, std::size_t>> by_route; // served, sent
    for (const auto& [id, call] : this->calls) {
        if (!call.sent.settled || !call.sent.parent.empty() || call.sent.probes > 0 || call.gave_up) {
            continue;
        }
        auto& [served_here, sent_here] = by_route[call.sent.route];
        ++sent_here;
        served_here += call.ended && is_success(call.ended->status) ? 1 : 0;
        this->judge(promise::served_again);
    }
    for (const auto& [route, counted] : by_route) {
        if (static_cast<double>(counted.first) <
            this->limits.served_share * static_cast<double>(counted.second)) {
            this->report(promise::served_again, "route " + route + ": " + std::to_string(counted.first) +
                                                    " of " + std::to_string(counted.second) +
                                                    " requests served after the last fault");
        }
    }
}

} // namespace chervilturn::soak
