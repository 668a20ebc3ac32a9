// Concurrency limit that protects a backend server while it warms up after a start. The limit begins at the
// cold slots, grows with answers at normal latency up to all slots, and falls back at signs of a cold start.
#pragma once

#include "chervilturn/core/state_chart.hpp"
#include "chervilturn/core/time.hpp"

#include <cstdint>

namespace chervilturn {

/// @brief States of charts/backend_server.json.
enum class backend_state { cold, warming, warm, draining, unreachable };

/// @brief Events of charts/backend_server.json.
enum class backend_event { answered, limit_full, cold_sign, lost, reached, drain_started, drain_ended };

template<> struct enumeration_names<backend_state> {
    static constexpr std::array<std::string_view, 5> names{"cold", "warming", "warm", "draining",
                                                           "unreachable"};
};

template<> struct enumeration_names<backend_event> {
    static constexpr std::array<std::string_view, 7> names{"answered", "limit_full",    "cold_sign",  "lost",
                                                           "reached",  "drain_started", "drain_ended"};
};

using backend_chart = state_chart<backend_state, backend_event>;
using backend_machine = state_machine<backend_state, backend_event>;

/// @brief The chart of charts/backend_server.json, embedded in the build. The process aborts if it is
/// invalid.
[[nodiscard]] const backend_chart& default_backend_chart();

/// @brief Options of a warm-up limit.
struct warm_up_options {
    std::uint32_t slots = 1;            // limit of a warm backend server
    std::uint32_t cold_slots = 1;       // limit of a cold backend server
    std::uint32_t answers_per_slot = 8; // answers at normal latency before the limit grows by one
};

/// @brief Concurrency limit and state of one backend server. The state is cold at construction.
class warm_up_limit {
  public:
    explicit warm_up_limit(const warm_up_options& options);

    /// @brief Applies changed options. The limit stays within the new bounds; it rises only if the new cold
    /// slots are above it.
    void configure(const warm_up_options& options) noexcept;

    /// @brief Updates state, service times and limit after a complete answer.
    void on_answer(microseconds service_time) noexcept;

    /// @brief Marks the backend server as unreachable, after a refused connection.
    void on_lost() noexcept;

    /// @brief Marks an unreachable backend server as reachable and cold, after an answered probe.
    void on_reached() noexcept;

    /// @brief Makes the backend server cold again after signs of a restart: a new boot id, or most
    /// connections cut at the same time.
    void on_restarted() noexcept;

    /// @brief Starts or ends draining; the backend server is cold after the end.
    void on_drain(bool draining) noexcept;

    /// @brief Number of calls that may run at the same time; 0 while draining or unreachable.
    [[nodiscard]] std::uint32_t limit() const noexcept;

    [[nodiscard]] backend_state state() const noexcept { return this->machine.state(); }

    /// @brief Long-term smoothed service time; zero before the first answer. Slow periods hardly raise it.
    [[nodiscard]] microseconds normal_service_time() const noexcept;

    /// @brief Whether the backend server is in a slow period: its last few answers in a row all took several
    /// times the normal service time. A single slow answer does not count.
    [[nodiscard]] bool is_slow() const noexcept;

    /// @brief Smoothed service time of the last few answers, slow ones included; zero before the first
    /// answer.
    [[nodiscard]] microseconds recent_service_time() const noexcept;

  private:
    // Slows down the next growth if the backend server becomes cold again while warming.
    void note_setback() noexcept;
    void become_cold() noexcept;
    void update_service_times(double micros) noexcept;
    void grow() noexcept;

    warm_up_options options;
    backend_machine machine;
    std::uint32_t current_limit;      // between cold_slots and slots
    std::uint32_t normal_answers = 0; // since the limit last changed; towards the next slot
    std::uint32_t growth_backoff = 1; // factor on answers_per_slot; doubles with each setback while warming
    std::uint32_t slow_answers = 0;   // in a row, several times the normal service time
    std::uint32_t cold_answers = 0;   // in a row, slow enough to indicate a cold start
    double normal_micros = 0.0;       // smoothed; 0 before the first answer
    double recent_micros = 0.0;       // smoothed over few answers; 0 before the first
};

} // namespace chervilturn
