// State charts read from JSON files and interpreted at run time.
#pragma once

#include "chervilturn/core/result.hpp"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilturn {

/// @brief Why a chart file was refused.
struct chart_error {
    std::string message;
};

namespace internal {

struct named_transition {
    std::string from;
    std::string event;
    std::string to;
};

struct named_chart {
    std::string initial;
    std::vector<named_transition> transitions;
};

[[nodiscard]] result<named_chart, chart_error> read_chart(std::string_view text);

} // namespace internal

/// @brief Specialised for each enumeration that a chart uses: its names in order of value.
template<typename Enumeration> struct enumeration_names;

/// @brief The name of a value of a chart's enumeration.
template<typename Enumeration> [[nodiscard]] constexpr std::string_view name_of(Enumeration value) noexcept {
    return enumeration_names<Enumeration>::names[static_cast<std::size_t>(value)];
}

/// @brief The value that carries a name.
template<typename Enumeration>
[[nodiscard]] constexpr std::optional<Enumeration> value_named(std::string_view name) noexcept {
    constexpr auto& names = enumeration_names<Enumeration>::names;
    for (std::size_t index = 0; index < names.size(); ++index) {
        if (names[index] == name) {
            return static_cast<Enumeration>(index);
        }
    }
    return std::nullopt;
}

/// @brief One allowed step of a chart.
template<typename State, typename Event> struct chart_transition {
    State from;
    Event event;
    State to;
};

/// @brief An immutable chart; state machines share it.
template<typename State, typename Event> class state_chart {
  public:
    using transition = chart_transition<State, Event>;

    /// @brief Reads a chart from JSON with comments; unknown names are errors.
    [[nodiscard]] static result<state_chart, chart_error> parse(std::string_view text) {
        auto read = internal::read_chart(text);
        if (!succeeded(read)) {
            return error_of(read);
        }
        const auto& named = value_of(read);
        const auto initial = value_named<State>(named.initial);
        if (!initial) {
            return chart_error{"unknown initial state \"" + named.initial + "\""};
        }
        state_chart chart{*initial};
        for (const auto& step : named.transitions) {
            const auto from = value_named<State>(step.from);
            const auto event = value_named<Event>(step.event);
            const auto to = value_named<State>(step.to);
            if (!from || !event || !to) {
                return chart_error{"unknown name in transition " + step.from + " --" + step.event + "-> " +
                                   step.to};
            }
            if (chart.next(*from, *event)) {
                return chart_error{"state \"" + step.from + "\" handles event \"" + step.event + "\" twice"};
            }
            chart.steps.push_back({*from, *event, *to});
        }
        return chart;
    }

    /// @brief The state after an event; nothing when the state does not handle the event.
    [[nodiscard]] std::optional<State> next(State from, Event event) const noexcept {
        for (const auto& step : this->steps) {
            if (step.from == from && step.event == event) {
                return step.to;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] State initial_state() const noexcept { return this->initial; }
    [[nodiscard]] const std::vector<transition>& transitions() const noexcept { return this->steps; }

  private:
    explicit state_chart(State first) noexcept : initial{first} {}

    State initial;
    std::vector<transition> steps; // at most one per state and event
};

/// @brief The current state of one thing that follows a chart.
template<typename State, typename Event> class state_machine {
  public:
    explicit state_machine(const state_chart<State, Event>& rules) noexcept
        : chart{&rules}, current{rules.initial_state()} {}

    /// @brief Applies an event; false when the current state does not handle it.
    bool apply(Event event) noexcept {
        const auto next = this->chart->next(this->current, event);
        if (!next) {
            return false;
        }
        this->current = *next;
        return true;
    }

    [[nodiscard]] State state() const noexcept { return this->current; }

  private:
    const state_chart<State, Event>* chart; // outlives the machine
    State current;
};

/// @brief Charts embedded in the build from the files in charts/.
namespace chart_text {
extern const std::string_view connection;
extern const std::string_view backend_server;
extern const std::string_view shutdown;
} // namespace chart_text

} // namespace chervilturn
