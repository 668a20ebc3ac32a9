// Concurrency limit below the slots of a backend server. It grows only with answers at normal latency.
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

/// @brief The chart embedded in the build; the process ends at its start when the file is invalid.
[[nodiscard]] const backend_chart& default_backend_chart();

/// @brief Construction of a warm-up limit.
struct warm_up_options {
    std::uint32_t slots = 1;
    std::uint32_t cold_slots = 1;
    std::uint32_t answers_per_slot = 8;
};

/// @brief The limit and the state of one backend server. Starts cold.
class warm_up_limit {
  public:
    explicit warm_up_limit(const warm_up_options& options);

    /// @brief Takes new settings; the limit never rises by this alone.
    void configure(const warm_up_options& options) noexcept;

    /// @brief Learns from a complete answer that took a service time.
    void on_answer(microseconds service_time) noexcept;

    /// @brief A connection was refused, or all connections were reset.
    void on_lost() noexcept;

    /// @brief A probe or an answer got through to a backend server that was lost.
    void on_reached() noexcept;

    /// @brief A new boot mark: the backend server restarted without notice.
    void on_restarted() noexcept;

    void on_drain(bool draining) noexcept;

    /// @brief Calls that may run at once; 0 while draining or unreachable.
    [[nodiscard]] std::uint32_t limit() const noexcept;

    [[nodiscard]] backend_state state() const noexcept { return this->machine.state(); }

    /// @brief Smoothed service time at normal latency; zero before the first answer.
    [[nodiscard]] microseconds normal_service_time() const noexcept;

    /// @brief Whether the latest answers all took several times the normal. One long call is no spell.
    [[nodiscard]] bool is_slow() const noexcept;

    /// @brief Service time of the latest answers, slow spells included; zero before the first answer.
    [[nodiscard]] microseconds recent_service_time() const noexcept;

  private:
    void note_relapse() noexcept;
    void become_cold() noexcept;
    void learn_normal(double micros) noexcept;
    void grow() noexcept;

    warm_up_options options;
    backend_machine machine;
    std::uint32_t allowed;            // between cold_slots and slots
    std::uint32_t normal_answers = 0; // since the limit last changed
    std::uint32_t patience = 1;       // factor on answers_per_slot; doubles with each relapse while warming
    std::uint32_t slow_answers = 0;   // in a row, slower than normal several times over
    std::uint32_t cold_answers = 0;   // in a row, slow enough for a cold start
    double normal_micros = 0.0;       // smoothed; 0 before the first answer
    double recent_micros = 0.0;       // smoothed over few answers; 0 before the first
};

} // namespace chervilturn
