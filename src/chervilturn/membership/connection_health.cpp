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
    : options{initial_options}, machine{default_connection_chart()}, calls{.since = now}, subscription{
                                                                                              .since = now} {}

void connection_health::on_connected(instant now) noexcept {
    this->machine.apply(connection_event::connected);
    this->on_received(now);
}

void connection_health::on_received(instant now) noexcept {
    this->machine.apply(connection_event::heard);
    this->calls = {.since = now};
    this->subscription = {.since = now};
}

bool connection_health::is_overdue(const silence& observed, const keepalive_limits& limits,
                                   instant now) noexcept {
    return observed.ping_sent && elapsed(observed.since, now) >= limits.suspect_after;
}

bool connection_health::begin_ping(silence& observed, const keepalive_limits& limits, instant now) noexcept {
    const bool begins = !observed.ping_sent && elapsed(observed.since, now) >= limits.ping_after;
    observed.ping_sent = observed.ping_sent || begins;
    return begins;
}

connection_advice connection_health::advise(connection_demand demand, instant now) noexcept {
    if (this->machine.state() != connection_state::healthy) {
        return connection_advice::nothing;
    }
    const bool calls_wait = demand != connection_demand::subscription;
    const bool subscription_waits = demand != connection_demand::calls;
    if ((calls_wait && is_overdue(this->calls, this->options.with_calls, now)) ||
        (subscription_waits && is_overdue(this->subscription, this->options.with_subscription, now))) {
        this->machine.apply(connection_event::overdue);
        return connection_advice::open_replacement;
    }
    const bool pings_for_calls = calls_wait && begin_ping(this->calls, this->options.with_calls, now);
    const bool pings_for_subscription =
        subscription_waits && begin_ping(this->subscription, this->options.with_subscription, now);
    return pings_for_calls || pings_for_subscription ? connection_advice::ping : connection_advice::nothing;
}

} // namespace chervilturn
