// Advice on silent connections.
#include "chervilturn/membership/connection_health.hpp"

#include <cstdlib>

namespace chervilturn {

const connection_chart& default_connection_chart() {
    static const auto parsed = connection_chart::parse(chart_text::connection);
    if (!succeeded(parsed)) {
        std::abort();
    }
    return value_of(parsed);
}

connection_health::connection_health(const connection_options& given, instant now)
    : options{given}, machine{default_connection_chart()}, silent_since{now} {}

void connection_health::on_connected(instant now) noexcept {
    this->machine.apply(connection_event::connected);
    this->on_heard(now);
}

void connection_health::on_heard(instant now) noexcept {
    this->machine.apply(connection_event::heard);
    this->silent_since = now;
    this->pinged = false;
}

void connection_health::on_first_outstanding(instant now) noexcept {
    this->silent_since = now;
    this->pinged = false;
}

connection_advice connection_health::advise(connection_demand demand, instant now) noexcept {
    if (this->machine.state() != connection_state::healthy) {
        return connection_advice::nothing;
    }
    const auto& limits =
        demand == connection_demand::calls ? this->options.with_calls : this->options.with_subscription;
    const auto silence = elapsed(this->silent_since, now);
    if (silence >= limits.suspect_after && this->pinged) {
        this->machine.apply(connection_event::overdue);
        return connection_advice::open_fresh;
    }
    if (silence >= limits.ping_after && !this->pinged) {
        this->pinged = true;
        return connection_advice::ping;
    }
    return connection_advice::nothing;
}

} // namespace chervilturn
