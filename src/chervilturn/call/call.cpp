// Names of outcomes and reasons, and the creation time of idempotency keys.
#include "chervilturn/call/call.hpp"

#include <charconv>

namespace chervilturn {

namespace {

constexpr std::array<std::string_view, 3> outcome_names{"completed", "not-run", "unknown"};

constexpr std::array<std::string_view, reason_count> reason_names{"none",
                                                                  "queue_full",
                                                                  "deadline_too_near",
                                                                  "shutting_down",
                                                                  "data_centre_out",
                                                                  "host_leaving",
                                                                  "outside_home_regions",
                                                                  "not_the_owner",
                                                                  "not_the_key_home",
                                                                  "beliefs_unconfirmed",
                                                                  "backend_unreachable",
                                                                  "backend_shed",
                                                                  "backend_draining",
                                                                  "backend_slow",
                                                                  "would_be_late",
                                                                  "no_backend_server",
                                                                  "no_connection",
                                                                  "retry_budget_spent",
                                                                  "fenced",
                                                                  "cancelled",
                                                                  "timed_out",
                                                                  "connection_lost",
                                                                  "answer_incomplete",
                                                                  "answer_too_large",
                                                                  "key_record_young",
                                                                  "key_record_full",
                                                                  "key_expired",
                                                                  "bad_request",
                                                                  "backend_renamed",
                                                                  "server_rate_limited",
                                                                  "request_held",
                                                                  "body_not_received",
                                                                  "memory_full"};

constexpr std::size_t uuid_length = 36;
constexpr std::size_t uuid_version_position = 14; // the UUID's version digit

} // namespace

std::string_view to_string(outcome value) noexcept {
    return outcome_names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(reason value) noexcept {
    return reason_names.at(static_cast<std::size_t>(value));
}

answer refuse(const attempt_id& attempt, outcome result, reason why) {
    answer refusal;
    refusal.attempt = attempt;
    refusal.result = result;
    refusal.why = why;
    return refusal;
}

wall_time creation_time_of(std::string_view key) noexcept {
    if (key.size() != uuid_length || key[8] != '-' || key[13] != '-' || key[uuid_version_position] != '7') {
        return {};
    }
    std::uint64_t time_high = 0;
    std::uint64_t time_low = 0;
    const auto parsed_high = std::from_chars(key.data(), key.data() + 8, time_high, 16);
    const auto parsed_low = std::from_chars(key.data() + 9, key.data() + 13, time_low, 16);
    if (parsed_high.ptr != key.data() + 8 || parsed_low.ptr != key.data() + 13) {
        return {};
    }
    constexpr int time_low_bits = 16;
    return wall_time{
        std::chrono::milliseconds{static_cast<std::int64_t>((time_high << time_low_bits) | time_low)}};
}

} // namespace chervilturn
