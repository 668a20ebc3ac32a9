// Decay and smoothing of load reports, latencies and failures.
#include "chervilturn/selection/load_view.hpp"

#include "chervilturn/call/retry.hpp"

#include <algorithm>
#include <cmath>

namespace chervilturn {

namespace {

constexpr double report_half_life_seconds = 0.05; // weight of other entries' calls in a report
constexpr double latency_half_life_seconds = 1.0; // so that a slow server is tried again
constexpr double sample_weight = 0.2;             // in the smoothed latency and the server's own slowdown
constexpr double percent = 100.0;
constexpr double min_stated_rate = 1.0; // calls per second, so that calls of this entry are weighted finitely
constexpr double host_slowdown_half_life_seconds = 0.15; // a host's slowdown changes several times a second
constexpr double default_slowdown = 1.3;                 // of a host without a recent report
constexpr double own_slowdown_half_life_seconds = 1.5;   // slow period of one server
constexpr double max_own_slowdown = 10.0;
constexpr double round_trip_rising_weight = 0.01;
constexpr double failure_half_life_seconds = 2.0;
constexpr double failure_weight = 0.25; // weight of one call in the failure share
constexpr microseconds busy_penalty = std::chrono::milliseconds{20};       // full, or too late for one call
constexpr microseconds closed_penalty = std::chrono::seconds{1};           // takes no calls, or is slow
constexpr microseconds no_answer_penalty = std::chrono::milliseconds{500}; // doubles with each further loss
constexpr microseconds leaving_validity = std::chrono::seconds{10};        // of an owner's report
constexpr std::uint32_t max_penalty_doublings = 4;

[[nodiscard]] microseconds penalty_for(reason why) noexcept {
    switch (why) {
    case reason::shutting_down:
    case reason::data_centre_out:
    case reason::host_leaving:
    case reason::not_the_owner:
    case reason::backend_renamed:
    case reason::settings_unconfirmed:
    case reason::backend_unreachable:
    case reason::backend_draining:
    case reason::backend_slow:
        return closed_penalty;
    case reason::queue_full:
    case reason::backend_shed:
    case reason::deadline_too_near:
        return busy_penalty;
    default:
        return microseconds::zero();
    }
}

[[nodiscard]] double decay(double half_life_seconds, instant recorded_at, instant now) noexcept {
    return std::exp2(-std::max(0.0, to_seconds(now - recorded_at)) / half_life_seconds);
}

} // namespace

load_view::load_view(std::uint32_t configured_slots) noexcept : slots{configured_slots} {
    this->report.limit = configured_slots;
}

void load_view::on_sent(instant) noexcept {
    ++this->own_calls;
    ++this->sent_since_report;
}

void load_view::on_answer(const answer& ended, microseconds sample, instant now) noexcept {
    this->count_end();
    this->report = ended.load;
    this->own_calls_at_report = this->own_calls;
    this->sent_since_report = 0;
    this->reported_at = now;
    this->unanswered = 0;
    this->learn_round_trip(sample - ended.service_time);
    const bool shed = ended.why == reason::backend_shed;
    const bool ran = ended.result != outcome::not_run;
    if (ran || shed) {
        const bool failed = shed || ended.result == outcome::unknown || is_backend_failure(ended);
        this->learn_failure(failed, now);
    }
    if (ended.result == outcome::completed) {
        this->learn_latency(sample, now);
        return;
    }
    this->penalty_until = now + penalty_for(ended.why);
}

void load_view::on_leaving_reported(const std::string& server, bool leaving, instant now) {
    if (leaving) {
        this->leaving_server = server;
    }
    if (leaving || server == this->leaving_server) {
        this->leaving_until = leaving ? now + leaving_validity : instant{};
    }
}

void load_view::on_no_answer(instant now) noexcept {
    this->count_end();
    this->penalty_until = now + no_answer_penalty * (1U << std::min(this->unanswered, max_penalty_doublings));
    ++this->unanswered;
}

void load_view::on_cancelled(microseconds waited, instant now) noexcept {
    this->count_end();
    if (waited > this->latency(now)) {
        this->learn_latency(waited, now);
    }
}

void load_view::count_end() noexcept {
    this->own_calls -= std::min(1U, this->own_calls);
}

double load_view::estimated_calls(instant now) const noexcept {
    const double reported_others = std::max(0.0, static_cast<double>(this->reported_calls()) -
                                                     static_cast<double>(this->own_calls_at_report));
    return this->own_calls + reported_others * decay(report_half_life_seconds, this->reported_at, now);
}

double load_view::limit(instant) const noexcept {
    return std::max(1.0, static_cast<double>(std::min(this->report.limit, this->slots)));
}

microseconds load_view::rate_wait(instant now) const noexcept {
    auto wait = this->report.rate_wait - elapsed(this->reported_at, now);
    if (this->report.calls_per_second) {
        const double rate = std::max(min_stated_rate, *this->report.calls_per_second);
        wait += std::chrono::duration_cast<microseconds>(
            std::chrono::duration<double>{this->sent_since_report / rate});
    }
    return std::max(microseconds::zero(), wait);
}

microseconds load_view::latency(instant now) const noexcept {
    const double decayed_micros =
        this->latency_micros * decay(latency_half_life_seconds, this->latency_at, now);
    return microseconds{static_cast<std::int64_t>(decayed_micros)};
}

double load_view::slowdown(instant now) const noexcept {
    const double reported_slowdown = static_cast<double>(this->report.slowdown_percent) / percent;
    const double report_weight = decay(host_slowdown_half_life_seconds, this->reported_at, now);
    const double host = default_slowdown + (reported_slowdown - default_slowdown) * report_weight;
    const double server =
        1.0 + (this->own_slowdown - 1.0) * decay(own_slowdown_half_life_seconds, this->own_slowdown_at, now);
    return std::max(1.0, host) * server;
}

double load_view::failure_share(instant now) const noexcept {
    return this->failure_average * decay(failure_half_life_seconds, this->failures_at, now);
}

void load_view::learn_slowdown(microseconds service_time, microseconds baseline,
                               std::uint32_t slowdown_percent, instant now) noexcept {
    if (baseline <= microseconds::zero() || service_time <= microseconds::zero()) {
        return;
    }
    const double host = std::max(1.0, static_cast<double>(slowdown_percent) / percent);
    const double sampled_slowdown =
        static_cast<double>(service_time.count()) / static_cast<double>(baseline.count()) / host;
    const double previous =
        1.0 + (this->own_slowdown - 1.0) * decay(own_slowdown_half_life_seconds, this->own_slowdown_at, now);
    this->own_slowdown =
        std::clamp(previous + sample_weight * (sampled_slowdown - previous), 1.0, max_own_slowdown);
    this->own_slowdown_at = now;
}

// Falls to the shortest sample at once and rises slowly, because samples include the time in the owner's
// queue.
void load_view::learn_round_trip(microseconds sample) noexcept {
    const auto micros = std::max(1.0, static_cast<double>(sample.count()));
    if (this->measured_round_trip == 0.0 || micros < this->measured_round_trip) {
        this->measured_round_trip = micros;
    } else {
        this->measured_round_trip += round_trip_rising_weight * (micros - this->measured_round_trip);
    }
}

void load_view::learn_failure(bool failed, instant now) noexcept {
    const double previous = this->failure_share(now);
    this->failure_average = previous + failure_weight * ((failed ? 1.0 : 0.0) - previous);
    this->failures_at = now;
}

void load_view::learn_latency(microseconds sample, instant now) noexcept {
    const auto micros = static_cast<double>(sample.count());
    const auto previous = static_cast<double>(this->latency(now).count());
    this->latency_micros = micros > previous ? micros : previous + sample_weight * (micros - previous);
    this->latency_at = now;
}

} // namespace chervilturn
