// Tells a silent connection from a dead host: the connection is suspected first and a fresh one decides.
#pragma once

#include "chervilturn/core/state_chart.hpp"
#include "chervilturn/core/time.hpp"

#include <cstdint>

namespace chervilturn {

/// @brief States of charts/connection.json.
enum class connection_state { connecting, healthy, suspect, closed };

/// @brief Events of charts/connection.json.
enum class connection_event { connected, failed, overdue, heard, replaced };

template<> struct enumeration_names<connection_state> {
    static constexpr std::array<std::string_view, 4> names{"connecting", "healthy", "suspect", "closed"};
};

template<> struct enumeration_names<connection_event> {
    static constexpr std::array<std::string_view, 5> names{"connected", "failed", "overdue", "heard",
                                                           "replaced"};
};

using connection_chart = state_chart<connection_state, connection_event>;
using connection_machine = state_machine<connection_state, connection_event>;

/// @brief The chart embedded in the build.
[[nodiscard]] const connection_chart& default_connection_chart();

/// @brief How long a connection may be silent before something is done about it.
struct keepalive_limits {
    microseconds ping_after;
    microseconds suspect_after; // later than ping_after
};

/// @brief Construction of a connection's health.
struct connection_options {
    keepalive_limits with_calls{std::chrono::milliseconds{250}, std::chrono::milliseconds{500}};
    keepalive_limits with_subscription{std::chrono::seconds{2}, std::chrono::seconds{3}};
};

/// @brief What waits on a connection.
enum class connection_demand { subscription, calls };

/// @brief What the owner of a connection does next.
enum class connection_advice { nothing, ping, open_fresh };

/// @brief Health of one open connection. Asks for pings only while calls or a subscription wait on it.
class connection_health {
  public:
    connection_health(const connection_options& options, instant now);

    void on_connected(instant now) noexcept;
    void on_heard(instant now) noexcept;
    void on_failed() noexcept { this->machine.apply(connection_event::failed); }
    void on_replaced() noexcept { this->machine.apply(connection_event::replaced); }

    /// @brief Work was sent while nothing was outstanding: silence counts from now.
    void on_first_outstanding(instant now) noexcept;

    /// @brief Advice while something waits on the connection; to be asked on every tick.
    [[nodiscard]] connection_advice advise(connection_demand demand, instant now) noexcept;

    [[nodiscard]] connection_state state() const noexcept { return this->machine.state(); }

  private:
    connection_options options;
    connection_machine machine;
    instant silent_since;
    bool pinged = false; // since something was last heard
};

} // namespace chervilturn
