// Growth and reset of the concurrency limit, and the smoothed service times.
#include "chervilturn/admission/warm_up.hpp"

#include <algorithm>
#include <cstdlib>

namespace chervilturn {

namespace {

// Multiples of the normal service time. A slow answer does not count for growth; a very slow one may mean
// that the backend server has become cold.
constexpr double slow_factor = 3.0;
constexpr double cold_factor = 8.0;
// Number of such answers in a row that count as a slow period or a cold start.
constexpr std::uint32_t streak_length = 3;
constexpr std::uint32_t max_growth_backoff = 64;
// Weights of an answer in the smoothed service times. A slower answer raises the normal time only a little,
// so that a slow period does not become normal.
constexpr double falling_weight = 0.1; // of a faster answer in the normal time
constexpr double recent_weight = 0.3;  // of any answer in the recent time
constexpr double rising_weight = 0.01; // of a slower answer in the normal time

} // namespace

const backend_chart& default_backend_chart() {
    static const auto parsed = backend_chart::parse(chart_text::backend_server);
    if (!succeeded(parsed)) {
        std::abort();
    }
    return value_of(parsed);
}

warm_up_limit::warm_up_limit(const warm_up_options& initial_options)
    : options{initial_options}, machine{default_backend_chart()},
      current_limit{std::min(initial_options.cold_slots, initial_options.slots)} {}

void warm_up_limit::configure(const warm_up_options& new_options) noexcept {
    this->options = new_options;
    this->current_limit = std::min(this->current_limit, new_options.slots);
    this->current_limit = std::max(this->current_limit, std::min(new_options.cold_slots, new_options.slots));
}

void warm_up_limit::on_answer(microseconds service_time) noexcept {
    const auto micros = static_cast<double>(service_time.count());
    this->machine.apply(backend_event::answered);
    const double normal = this->normal_micros;
    this->update_service_times(micros);
    const bool slow = normal > 0.0 && micros > normal * slow_factor;
    const bool cold = normal > 0.0 && micros > normal * cold_factor;
    this->slow_answers = slow ? this->slow_answers + 1 : 0;
    this->cold_answers = cold ? this->cold_answers + 1 : 0;
    if (this->cold_answers >= streak_length) {
        this->note_setback();
        this->become_cold();
    }
    if (!slow) {
        this->grow();
    }
}

void warm_up_limit::on_lost() noexcept {
    this->machine.apply(backend_event::lost);
    this->become_cold();
}

void warm_up_limit::on_reached() noexcept {
    this->machine.apply(backend_event::reached);
}

void warm_up_limit::on_restarted() noexcept {
    this->slow_answers = 0;
    this->become_cold();
}

void warm_up_limit::on_drain(bool draining) noexcept {
    if (draining) {
        this->machine.apply(backend_event::drain_started);
        return;
    }
    if (this->machine.apply(backend_event::drain_ended)) {
        this->become_cold();
    }
}

std::uint32_t warm_up_limit::limit() const noexcept {
    switch (this->machine.state()) {
    case backend_state::draining:
    case backend_state::unreachable:
        return 0;
    default:
        return this->current_limit;
    }
}

microseconds warm_up_limit::normal_service_time() const noexcept {
    return microseconds{static_cast<std::int64_t>(this->normal_micros)};
}

// Becoming cold while warming means that the limit grew faster than the backend server could warm up.
void warm_up_limit::note_setback() noexcept {
    if (this->machine.state() == backend_state::warming) {
        this->growth_backoff = std::min(this->growth_backoff * 2, max_growth_backoff);
    }
}

bool warm_up_limit::is_slow() const noexcept {
    return this->slow_answers >= streak_length;
}

microseconds warm_up_limit::recent_service_time() const noexcept {
    return microseconds{static_cast<std::int64_t>(this->recent_micros)};
}

void warm_up_limit::become_cold() noexcept {
    this->machine.apply(backend_event::cold_sign);
    this->current_limit = std::min(this->options.cold_slots, this->options.slots);
    this->normal_answers = 0;
    this->cold_answers = 0;
}

void warm_up_limit::update_service_times(double micros) noexcept {
    if (this->normal_micros == 0.0) {
        this->normal_micros = micros;
        this->recent_micros = micros;
        return;
    }
    this->recent_micros += recent_weight * (micros - this->recent_micros);
    const double weight = micros < this->normal_micros ? falling_weight : rising_weight;
    this->normal_micros += weight * (micros - this->normal_micros);
}

void warm_up_limit::grow() noexcept {
    const auto needed_answers = this->options.answers_per_slot * this->growth_backoff;
    if (this->current_limit < this->options.slots && ++this->normal_answers >= needed_answers) {
        ++this->current_limit;
        this->normal_answers = 0;
    }
    if (this->current_limit >= this->options.slots) {
        this->machine.apply(backend_event::limit_full);
        this->growth_backoff = 1;
    }
}

} // namespace chervilturn
