// Ageing of load reports and latencies.
#include "chervilturn/selection/load_view.hpp"

#include "chervilturn/call/retry.hpp"

#include <algorithm>
#include <cmath>

namespace chervilturn {

namespace {

constexpr double report_half_life_seconds = 0.05; // of other entries' calls in a report
constexpr double latency_half_life_seconds = 1.0; // of a slow spell
constexpr double sample_weight = 0.2;
constexpr double percent = 100.0;
constexpr double slowdown_half_life_seconds = 0.15; // hosts change their pace several times a second
constexpr double usual_pace = 1.3;                  // of a host that nothing is known of
constexpr double pace_half_life_seconds = 1.5;      // of a server's own slow spell
constexpr double slowest_pace = 10.0;
constexpr double way_rising_weight = 0.01;
constexpr double failure_half_life_seconds = 2.0;
constexpr double failure_weight = 0.25; // of one call in the share
constexpr microseconds busy_penalty = std::chrono::milliseconds{20};
constexpr microseconds closed_penalty = std::chrono::seconds{1};
constexpr microseconds silence_penalty = std::chrono::milliseconds{500};
constexpr std::uint32_t max_doublings = 4;

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

[[nodiscard]] double decay(double half_life_seconds, instant since, instant now) noexcept {
    return std::exp2(-std::max(0.0, to_seconds(now - since)) / half_life_seconds);
}

} // namespace

load_view::load_view(std::uint32_t configured_slots) noexcept : slots{configured_slots} {
    this->report.limit = configured_slots;
}

void load_view::on_sent(instant) noexcept {
    ++this->own;
}

void load_view::on_answer(const answer& ended, microseconds sample, instant now) noexcept {
    this->count_end();
    this->report = ended.load;
    this->own_at_report = this->own;
    this->reported_at = now;
    this->silences = 0;
    this->learn_way(sample - ended.service_time);
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

void load_view::on_no_answer(instant now) noexcept {
    this->count_end();
    this->penalty_until = now + silence_penalty * (1U << std::min(this->silences, max_doublings));
    ++this->silences;
}

void load_view::on_cancelled(microseconds waited, instant now) noexcept {
    this->count_end();
    if (waited > this->latency(now)) {
        this->learn_latency(waited, now);
    }
}

void load_view::count_end() noexcept {
    this->own -= std::min(1U, this->own);
}

double load_view::estimated_calls(instant now) const noexcept {
    const double reported_others =
        std::max(0.0, static_cast<double>(this->reported()) - static_cast<double>(this->own_at_report));
    return this->own + reported_others * decay(report_half_life_seconds, this->reported_at, now);
}

double load_view::limit(instant) const noexcept {
    return std::max(1.0, static_cast<double>(std::min(this->report.limit, this->slots)));
}

microseconds load_view::latency(instant now) const noexcept {
    const double aged = this->latency_micros * decay(latency_half_life_seconds, this->latency_at, now);
    return microseconds{static_cast<std::int64_t>(aged)};
}

double load_view::slowdown(instant now) const noexcept {
    const double told = static_cast<double>(this->report.slowdown_percent) / percent;
    const double fresh = decay(slowdown_half_life_seconds, this->reported_at, now);
    const double host = usual_pace + (told - usual_pace) * fresh;
    const double own = 1.0 + (this->own_pace - 1.0) * decay(pace_half_life_seconds, this->own_pace_at, now);
    return std::max(1.0, host) * own;
}

double load_view::failure_share(instant now) const noexcept {
    return this->failures * decay(failure_half_life_seconds, this->failures_at, now);
}

void load_view::learn_slowdown(microseconds service_time, microseconds usual, std::uint32_t slowdown_percent,
                               instant now) noexcept {
    if (usual <= microseconds::zero() || service_time <= microseconds::zero()) {
        return;
    }
    const double host = std::max(1.0, static_cast<double>(slowdown_percent) / percent);
    const double seen = static_cast<double>(service_time.count()) / static_cast<double>(usual.count()) / host;
    const double held = 1.0 + (this->own_pace - 1.0) * decay(pace_half_life_seconds, this->own_pace_at, now);
    this->own_pace = std::clamp(held + sample_weight * (seen - held), 1.0, slowest_pace);
    this->own_pace_at = now;
}

// Falls to the shortest way seen and rises slowly, since the time in the owner's queue is part of a sample.
void load_view::learn_way(microseconds sample) noexcept {
    const auto micros = std::max(1.0, static_cast<double>(sample.count()));
    if (this->way_micros == 0.0 || micros < this->way_micros) {
        this->way_micros = micros;
    } else {
        this->way_micros += way_rising_weight * (micros - this->way_micros);
    }
}

void load_view::learn_failure(bool failed, instant now) noexcept {
    const double held = this->failure_share(now);
    this->failures = held + failure_weight * ((failed ? 1.0 : 0.0) - held);
    this->failures_at = now;
}

void load_view::learn_latency(microseconds sample, instant now) noexcept {
    const auto micros = static_cast<double>(sample.count());
    const auto held = static_cast<double>(this->latency(now).count());
    this->latency_micros = micros > held ? micros : held + sample_weight * (micros - held);
    this->latency_at = now;
}

} // namespace chervilturn
