// Growth and collapse of the concurrency limit.
#include "chervilturn/admission/warm_up.hpp"

#include <algorithm>
#include <cstdlib>

namespace chervilturn {

namespace {

constexpr double slow_factor = 3.0;       // an answer this many times the normal stops growth
constexpr double cold_factor = 8.0;       // an answer this many times the normal hints at a cold start
constexpr std::uint32_t spell_length = 3; // answers in a row that make a slow spell or a cold start
constexpr std::uint32_t max_patience = 64;
constexpr double falling_weight = 0.1; // of a faster answer in the smoothed service time
constexpr double recent_weight = 0.3;  // of an answer in the recent service time
constexpr double rising_weight = 0.01; // of a slower one, so that a slow spell stays visible

} // namespace

const backend_chart& default_backend_chart() {
    static const auto parsed = backend_chart::parse(chart_text::backend_server);
    if (!succeeded(parsed)) {
        std::abort();
    }
    return value_of(parsed);
}

warm_up_limit::warm_up_limit(const warm_up_options& given)
    : options{given}, machine{default_backend_chart()}, allowed{std::min(given.cold_slots, given.slots)} {}

void warm_up_limit::configure(const warm_up_options& given) noexcept {
    this->options = given;
    this->allowed = std::min(this->allowed, given.slots);
    this->allowed = std::max(this->allowed, std::min(given.cold_slots, given.slots));
}

void warm_up_limit::on_answer(microseconds service_time) noexcept {
    const auto micros = static_cast<double>(service_time.count());
    this->machine.apply(backend_event::answered);
    const double normal = this->normal_micros;
    this->learn_normal(micros);
    const bool slow = normal > 0.0 && micros > normal * slow_factor;
    const bool cold = normal > 0.0 && micros > normal * cold_factor;
    this->slow_answers = slow ? this->slow_answers + 1 : 0;
    this->cold_answers = cold ? this->cold_answers + 1 : 0;
    if (this->cold_answers >= spell_length) {
        this->note_relapse();
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
        return this->allowed;
    }
}

microseconds warm_up_limit::normal_service_time() const noexcept {
    return microseconds{static_cast<std::int64_t>(this->normal_micros)};
}

// A backend server that collapses while it warms up was given too much too soon; the next try is slower.
void warm_up_limit::note_relapse() noexcept {
    if (this->machine.state() == backend_state::warming) {
        this->patience = std::min(this->patience * 2, max_patience);
    }
}

bool warm_up_limit::is_slow() const noexcept {
    return this->slow_answers >= spell_length;
}

microseconds warm_up_limit::recent_service_time() const noexcept {
    return microseconds{static_cast<std::int64_t>(this->recent_micros)};
}

void warm_up_limit::become_cold() noexcept {
    this->machine.apply(backend_event::cold_sign);
    this->allowed = std::min(this->options.cold_slots, this->options.slots);
    this->normal_answers = 0;
    this->cold_answers = 0;
}

void warm_up_limit::learn_normal(double micros) noexcept {
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
    const auto wanted = this->options.answers_per_slot * this->patience;
    if (this->allowed < this->options.slots && ++this->normal_answers >= wanted) {
        ++this->allowed;
        this->normal_answers = 0;
    }
    if (this->allowed >= this->options.slots) {
        this->machine.apply(backend_event::limit_full);
        this->patience = 1;
    }
}

} // namespace chervilturn
