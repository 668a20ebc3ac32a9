// Results that hold either a value or the error type of one layer.
#pragma once

#include <utility>
#include <variant>

namespace chervilturn {

/// @brief A value (alternative 0), or the error that a layer reports instead (alternative 1).
template<typename Value, typename Error> using result = std::variant<Value, Error>;

/// @brief The value type of results that hold no value on success.
struct success {};

/// @brief Whether a result holds a value.
template<typename Value, typename Error>
[[nodiscard]] constexpr bool succeeded(const result<Value, Error>& outcome) noexcept {
    return outcome.index() == 0;
}

/// @brief The value of a result that succeeded; throws std::bad_variant_access for a failed one.
template<typename Value, typename Error>
[[nodiscard]] constexpr const Value& value_of(const result<Value, Error>& outcome) {
    return std::get<0>(outcome);
}

/// @brief The value of a temporary result that succeeded, to be moved from.
template<typename Value, typename Error>
[[nodiscard]] constexpr Value&& value_of(result<Value, Error>&& outcome) {
    return std::get<0>(std::move(outcome));
}

/// @brief The error of a result that failed; throws std::bad_variant_access for one that succeeded.
template<typename Value, typename Error>
[[nodiscard]] constexpr const Error& error_of(const result<Value, Error>& outcome) {
    return std::get<1>(outcome);
}

/// @brief Combines lambdas into one visitor for std::visit.
template<typename... Handler> struct overloaded : Handler... { using Handler::operator()...; };
template<typename... Handler> overloaded(Handler...) -> overloaded<Handler...>;

} // namespace chervilturn
