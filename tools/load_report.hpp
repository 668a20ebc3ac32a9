// Collects the calls of a load run and summarises them as JSON.
#pragma once

#include "chervilturn/core/time.hpp"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace chervilturn::load {

/// @brief Record of a call that has ended.
struct call_record {
    std::string series;         // group in the report
    microseconds arrival{};     // planned time since the start of the run
    microseconds latency{};     // from the planned arrival to the complete response
    std::string outcome;        // completed, not-run, unknown, or a transport failure
    std::uint32_t attempts = 0; // number that the entry reported; 0 without a report
    bool on_time = false;       // completed within the deadline
};

/// @brief The calls of one run.
class report {
  public:
    void add(call_record record) { this->calls.push_back(std::move(record)); }

    [[nodiscard]] std::size_t size() const noexcept { return this->calls.size(); }

    /// @brief Latency quantiles, outcomes and goodput for all calls and per series, and the share of calls on
    /// time per second of planned arrival. The duration of the run is needed for the goodput.
    [[nodiscard]] nlohmann::json summarise(microseconds duration) const;

  private:
    std::vector<call_record> calls;
};

} // namespace chervilturn::load
