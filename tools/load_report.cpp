// Summary of a load run.
#include "load_report.hpp"

#include <algorithm>

namespace chervilturn::load {

namespace {

using call_list = std::vector<const call_record*>;

[[nodiscard]] std::int64_t quantile(const std::vector<std::int64_t>& sorted, double fraction) {
    if (sorted.empty()) {
        return 0;
    }
    const auto position = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
    return sorted[std::min(position, sorted.size() - 1)];
}

// Latency quantiles include completed calls only, and refused ones where they say so. All calls are counted
// by outcome.
[[nodiscard]] nlohmann::json summarise_series(const call_list& calls, microseconds duration) {
    std::vector<std::int64_t> latencies;
    std::vector<std::int64_t> refusals;
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t on_time = 0;
    std::uint64_t attempts = 0;
    for (const auto* record : calls) {
        ++outcomes[record->outcome];
        attempts += record->attempts;
        on_time += record->on_time ? 1 : 0;
        if (record->outcome == "completed") {
            latencies.push_back(record->latency.count());
        } else if (record->outcome == "not-run") {
            refusals.push_back(record->latency.count());
        }
    }
    std::sort(latencies.begin(), latencies.end());
    std::sort(refusals.begin(), refusals.end());
    const auto count = static_cast<double>(std::max<std::size_t>(calls.size(), 1));
    return {{"calls", calls.size()},
            {"p50_us", quantile(latencies, 0.5)},
            {"p90_us", quantile(latencies, 0.9)},
            {"p99_us", quantile(latencies, 0.99)},
            {"p999_us", quantile(latencies, 0.999)},
            {"max_us", latencies.empty() ? 0 : latencies.back()},
            {"refused_p50_us", quantile(refusals, 0.5)},
            {"refused_p99_us", quantile(refusals, 0.99)},
            {"goodput_per_second", static_cast<double>(on_time) / to_seconds(duration)},
            {"on_time_share", static_cast<double>(on_time) / count},
            {"attempts_per_call", static_cast<double>(attempts) / count},
            {"outcomes", outcomes}};
}

[[nodiscard]] nlohmann::json on_time_share_by_second(const call_list& calls) {
    std::map<std::int64_t, std::pair<std::uint64_t, std::uint64_t>>
        counts_by_second; // calls on time, all calls
    for (const auto* record : calls) {
        auto& [on_time, total] =
            counts_by_second[std::chrono::duration_cast<std::chrono::seconds>(record->arrival).count()];
        on_time += record->on_time ? 1 : 0;
        ++total;
    }
    auto shares = nlohmann::json::array();
    for (const auto& [second, counts] : counts_by_second) {
        shares.push_back(static_cast<double>(counts.first) / static_cast<double>(counts.second));
    }
    return shares;
}

} // namespace

nlohmann::json report::summarise(microseconds duration) const {
    call_list all;
    std::map<std::string, call_list> by_series;
    for (const auto& record : this->calls) {
        all.push_back(&record);
        by_series[record.series].push_back(&record);
    }
    auto summary = nlohmann::json{{"all", summarise_series(all, duration)},
                                  {"on_time_share_by_second", on_time_share_by_second(all)},
                                  {"series", nlohmann::json::object()}};
    for (const auto& [name, calls] : by_series) {
        summary["series"][name] = summarise_series(calls, duration);
    }
    return summary;
}

} // namespace chervilturn::load
