// Collects the outcomes of a load run and writes them as JSON.
#pragma once

#include "chervilturn/core/time.hpp"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace chervilturn::load {

/// @brief One call that ended.
struct finished_call {
    std::string series;         // workspace and class
    microseconds arrival{};     // planned, since the start of the run
    microseconds latency{};     // from the planned arrival to the whole answer
    std::string outcome;        // completed, not-run, unknown, or a transport failure
    std::uint32_t attempts = 0; // made by the entry
    bool on_time = false;       // completed within the deadline
};

/// @brief All calls of one run.
class report {
  public:
    void add(finished_call ended) { this->calls.push_back(std::move(ended)); }

    [[nodiscard]] std::size_t size() const noexcept { return this->calls.size(); }

    /// @brief Quantiles, outcomes and goodput, over all calls and by series, and the share on time by second.
    [[nodiscard]] nlohmann::json summarise(microseconds duration) const;

  private:
    std::vector<finished_call> calls;
};

} // namespace chervilturn::load
