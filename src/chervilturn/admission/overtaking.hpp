// How many calls start before one that waits already, since running calls wait for them.
#pragma once

#include <algorithm>

namespace chervilturn {

/// @brief The share of nested calls among those that one owner started of late.
///
/// Answers overload of services that wait for each other: nested calls go before all others, also when they
/// come later, so an outer call waits longer than the queue at its arrival tells.
class overtaking_share {
  public:
    /// @brief A call was sent to the backend server.
    void on_started(bool nested) noexcept {
        this->nested_share += ((nested ? 1.0 : 0.0) - this->nested_share) * weight_of_one;
    }

    /// @brief Calls that start until an outer call does, for each that is due before it now; at least 1.
    [[nodiscard]] double starts_per_outer_call() const noexcept {
        return 1.0 / (1.0 - std::min(this->nested_share, max_share));
    }

  private:
    static constexpr double weight_of_one = 1.0 / 32.0; // of the latest start
    static constexpr double max_share = 0.9; // bounds the estimate while hardly any outer call starts

    double nested_share = 0.0; // between 0 and 1
};

} // namespace chervilturn
