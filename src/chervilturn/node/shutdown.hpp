// The states and events of the graceful shutdown of a node.
#pragma once

#include "chervilturn/core/state_chart.hpp"

namespace chervilturn {

/// @brief States of charts/shutdown.json.
enum class shutdown_state { serving, draining, stopped };

/// @brief Events of charts/shutdown.json.
enum class shutdown_event { stop_requested, work_finished, grace_expired };

template<> struct enumeration_names<shutdown_state> {
    static constexpr std::array<std::string_view, 3> names{"serving", "draining", "stopped"};
};

template<> struct enumeration_names<shutdown_event> {
    static constexpr std::array<std::string_view, 3> names{"stop_requested", "work_finished",
                                                           "grace_expired"};
};

using shutdown_chart = state_chart<shutdown_state, shutdown_event>;
using shutdown_machine = state_machine<shutdown_state, shutdown_event>;

/// @brief The state chart embedded in the build. Aborts the process when the chart is invalid.
[[nodiscard]] const shutdown_chart& default_shutdown_chart();

} // namespace chervilturn
