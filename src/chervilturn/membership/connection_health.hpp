// Detects silent connections. A silent connection becomes suspect first; a replacement connection then shows
// whether only the connection or the whole host has failed.
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

/// @brief Returns the state chart of charts/connection.json as embedded in the build.
[[nodiscard]] const connection_chart& default_connection_chart();

/// @brief How long a connection may be silent before it is pinged and before it becomes suspect.
struct keepalive_limits {
    microseconds ping_after;
    microseconds suspect_after; // later than ping_after
};

/// @brief Keepalive limits of a connection by what is waiting on it.
struct connection_options {
    keepalive_limits with_calls{std::chrono::milliseconds{250}, std::chrono::milliseconds{500}};
    keepalive_limits with_subscription{std::chrono::seconds{2}, std::chrono::seconds{3}};
};

/// @brief What is waiting for messages on a connection.
enum class connection_demand { subscription, calls, calls_and_subscription };

/// @brief What the user of a connection should do next.
enum class connection_advice { nothing, ping, open_replacement };

/// @brief Health of one connection. advise() is called, and pings are sent, only while calls or a
/// subscription are waiting on it.
class connection_health {
  public:
    connection_health(const connection_options& options, instant now);

    void on_connected(instant now) noexcept;

    /// @brief A message or a part of one was received: the silence ends, and a suspect connection is healthy
    /// again.
    void on_received(instant now) noexcept;

    void on_failed() noexcept { this->machine.apply(connection_event::failed); }
    void on_replaced() noexcept { this->machine.apply(connection_event::replaced); }

    /// @brief A call was sent while none was outstanding: restarts the measurement of silence for calls. A
    /// subscription that waits on the connection keeps its own: frequent calls do not hide that the peer is
    /// silent.
    void on_first_outstanding(instant now) noexcept { this->calls = {.since = now}; }

    /// @brief A subscription or comparisons begin to wait: restarts the measurement of silence for them.
    void on_first_subscribed(instant now) noexcept { this->subscription = {.since = now}; }

    /// @brief How long nothing was received while a subscription waited.
    [[nodiscard]] microseconds subscription_silence(instant now) const noexcept {
        return elapsed(this->subscription.since, now);
    }

    /// @brief Returns what to do about the silence so far. Must be called on every tick while something is
    /// waiting on the connection. Each ping and each replacement is requested once.
    [[nodiscard]] connection_advice advise(connection_demand demand, instant now) noexcept;

    [[nodiscard]] connection_state state() const noexcept { return this->machine.state(); }

  private:
    struct silence {
        instant since;
        bool ping_sent = false; // since then
    };

    // Whether the silence is so long that the connection becomes suspect, or so long that it is pinged.
    [[nodiscard]] static bool is_overdue(const silence& observed, const keepalive_limits& limits,
                                         instant now) noexcept;
    [[nodiscard]] static bool begin_ping(silence& observed, const keepalive_limits& limits,
                                         instant now) noexcept;

    connection_options options;
    connection_machine machine;
    silence calls;        // for outstanding calls
    silence subscription; // for a subscription or comparisons
};

} // namespace chervilturn
