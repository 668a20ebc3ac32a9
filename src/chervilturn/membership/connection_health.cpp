// Detection of silent connections.
#include "chervilturn/membership/connection_health.hpp"

#include <cstdlib>

namespace chervilturn {

const connection_chart& default_connection_chart() {
    static const auto chart = connection_chart::parse(chart_text::connection);
    if (!succeeded(chart)) {
        std::abort();
    }
    return value_of(chart);
}

connection_health::connection_health(const connection_options& initial_options, instant now)
    : options{initial_options}, machine{default_connection_chart()}, last_activity{now} {}

void connection_health::on_connected(instant now) noexcept {
    this->machine.apply(connection_event::connected);
    this->on_received(now);
}

void connection_health::on_received(instant now) noexcept {
    this->machine.apply(connection_event::heard);
    this->last_activity = now;
    this->ping_sent = false;
}

void connection_health::on_first_outstanding(instant now) noexcept {
    this->last_activity = now;
    this->ping_sent = false;
}

connection_advice connection_health::advise(connection_demand demand, instant now) noexcept {
    if (this->machine.state() != connection_state::healthy) {
        return connection_advice::nothing;
    }
    const auto& limits =
        demand == connection_demand::calls ? this->options.with_calls : this->options.with_subscription;
    const auto silent_for = elapsed(this->last_activity, now);
    if (silent_for >= limits.suspect_after && this->ping_sent) {
        this->machine.apply(connection_event::overdue);
        return connection_advice::open_replacement;
    }
    if (silent_for >= limits.ping_after && !this->ping_sent) {
        this->ping_sent = true;
        return connection_advice::ping;
    }
    return connection_advice::nothing;
}

} // namespace chervilturn
