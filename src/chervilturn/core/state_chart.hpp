// State charts: transition tables that are read from JSON and interpreted at run time.
#pragma once

#include "chervilturn/core/result.hpp"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilturn {

/// @brief Why a chart file is invalid.
struct chart_error {
    std::string message; // names the invalid part
};

namespace internal {

// A transition with the names of its states and event.
struct named_transition {
    std::string from;
    std::string event;
    std::string to;
};

// A chart with the names of states and events, before they are looked up.
struct named_chart {
    std::string initial;
    std::vector<named_transition> transitions;
};

// Parses the JSON of a chart; names are not checked.
[[nodiscard]] result<named_chart, chart_error> read_chart(std::string_view text);

} // namespace internal

/// @brief Names of the enumerators of an enumeration, in order of value. Specialised for each state and event
/// enumeration; the names are those of the chart files.
template<typename Enumeration> struct enumeration_names;

/// @brief The name of an enumerator.
template<typename Enumeration> [[nodiscard]] constexpr std::string_view name_of(Enumeration value) noexcept {
    return enumeration_names<Enumeration>::names[static_cast<std::size_t>(value)];
}

/// @brief The enumerator with a name; nothing when there is none.
template<typename Enumeration>
[[nodiscard]] constexpr std::optional<Enumeration> value_from_name(std::string_view name) noexcept {
    constexpr auto& names = enumeration_names<Enumeration>::names;
    for (std::size_t index = 0; index < names.size(); ++index) {
        if (names[index] == name) {
            return static_cast<Enumeration>(index);
        }
    }
    return std::nullopt;
}

/// @brief A transition: in state `from`, the event leads to state `to`.
template<typename State, typename Event> struct chart_transition {
    State from;
    Event event;
    State to;
};

/// @brief An immutable state chart, shared by its state machines.
template<typename State, typename Event> class state_chart {
  public:
    using transition = chart_transition<State, Event>;

    /// @brief Parses a chart from JSON, which may contain comments. Fails on malformed JSON, unknown names,
    /// and two transitions for the same state and event.
    [[nodiscard]] static result<state_chart, chart_error> parse(std::string_view text) {
        auto parsed = internal::read_chart(text);
        if (!succeeded(parsed)) {
            return error_of(parsed);
        }
        const auto& parsed_chart = value_of(parsed);
        const auto initial = value_from_name<State>(parsed_chart.initial);
        if (!initial) {
            return chart_error{"unknown initial state \"" + parsed_chart.initial + "\""};
        }
        state_chart chart{*initial};
        for (const auto& entry : parsed_chart.transitions) {
            const auto from = value_from_name<State>(entry.from);
            const auto event = value_from_name<Event>(entry.event);
            const auto to = value_from_name<State>(entry.to);
            if (!from || !event || !to) {
                return chart_error{"unknown name in transition " + entry.from + " --" + entry.event + "-> " +
                                   entry.to};
            }
            if (chart.next(*from, *event)) {
                return chart_error{"state \"" + entry.from + "\" handles event \"" + entry.event +
                                   "\" twice"};
            }
            chart.transition_table.push_back({*from, *event, *to});
        }
        return chart;
    }

    /// @brief The state after an event; nothing when the state does not handle the event.
    [[nodiscard]] std::optional<State> next(State from, Event event) const noexcept {
        for (const auto& entry : this->transition_table) {
            if (entry.from == from && entry.event == event) {
                return entry.to;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] State initial_state() const noexcept { return this->initial; }
    [[nodiscard]] const std::vector<transition>& transitions() const noexcept {
        return this->transition_table;
    }

  private:
    explicit state_chart(State start) noexcept : initial{start} {}

    State initial;
    std::vector<transition> transition_table; // at most one entry per state and event
};

/// @brief The current state of one object whose states a chart describes.
template<typename State, typename Event> class state_machine {
  public:
    explicit state_machine(const state_chart<State, Event>& shared_chart) noexcept
        : chart{&shared_chart}, current{shared_chart.initial_state()} {}

    /// @brief Applies an event. Returns false and keeps the state when the current state does not handle the
    /// event.
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
    const state_chart<State, Event>* chart; // must outlive the machine
    State current;
};

/// @brief JSON text of the charts in charts/, embedded in the build.
namespace chart_text {
extern const std::string_view connection;
extern const std::string_view backend_server;
extern const std::string_view shutdown;
} // namespace chart_text

} // namespace chervilturn
