// Calls, their attempts and answers, as tasks and nodes pass them on.
#pragma once

#include "chervilturn/core/time.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chervilturn {

/// @brief What is known about a call's run at the backend server.
enum class outcome : std::uint16_t {
    completed, // ran, and the answer is whole
    not_run,   // did not run and never will
    unknown    // may have run
};

/// @brief Why a call was not run, or why its outcome is unknown.
enum class reason : std::uint16_t {
    none,
    queue_full,
    deadline_too_near,
    shutting_down,
    data_centre_out,
    host_leaving,
    outside_home_regions,
    not_the_owner,
    not_the_key_home,
    settings_unconfirmed,
    backend_unreachable,
    backend_shed,
    backend_draining,
    backend_slow,
    would_be_late,
    no_backend_server,
    no_connection,
    retry_budget_spent,
    fenced,
    cancelled,
    timed_out,
    connection_lost,
    answer_incomplete,
    answer_too_large,
    key_record_young,
    key_record_full,
    key_expired,
    bad_request,
    backend_renamed // the backend server bears another name than the call was sent to
};

/// @brief The name of an outcome in response headers and logs.
[[nodiscard]] std::string_view to_string(outcome value) noexcept;

/// @brief The name of a reason in response headers, metrics and logs.
[[nodiscard]] std::string_view to_string(reason value) noexcept;

/// @brief Number of reasons, for tables indexed by reason.
inline constexpr std::size_t reason_count = static_cast<std::size_t>(reason::backend_renamed) + 1;

/// @brief Identity of one attempt, unique over the fleet.
struct attempt_id {
    std::uint64_t entry = 0;    // incarnation of the entry node, drawn at its start
    std::uint64_t sequence = 0; // counted within the incarnation

    auto operator<=>(const attempt_id&) const = default;
};

/// @brief Hash of an attempt's identity for unordered containers.
struct attempt_id_hash {
    [[nodiscard]] std::size_t operator()(const attempt_id& id) const noexcept {
        return static_cast<std::size_t>(id.entry ^ (id.sequence * 0x9E3779B97F4A7C15ULL));
    }
};

/// @brief One HTTP header.
struct header {
    std::string name;
    std::string value;
};

/// @brief An idempotency key and, when the key carries it, its creation time.
struct idempotency_key {
    std::string text;    // empty when the caller gave none
    wall_time created{}; // epoch when the key carries no time

    [[nodiscard]] bool given() const noexcept { return !this->text.empty(); }
    [[nodiscard]] bool dated() const noexcept { return this->created != wall_time{}; }
};

/// @brief One attempt of a call, as the entry sends it to an owner.
struct call {
    attempt_id attempt;
    std::string team;
    std::string workspace;
    std::string service;
    std::string route;
    bool urgent = false;
    bool idempotent = false;
    bool last_resort = false;           // the entry knows of no other backend server for it
    microseconds remaining{};           // until the caller's deadline
    microseconds until_soft_deadline{}; // until an answer loses its full value; zero when not stated
    microseconds
        baseline_service_time{}; // of the route at a backend server, as the entry knows it; zero: not known
    std::uint32_t extra_attempts = 0; // that nested calls may still spend
    std::uint32_t depth = 0;          // nesting level, 0 for a call from outside
    std::string request_id;           // the caller's name for its request; empty when it gave none
    std::string origin;               // service on the host where the call entered; empty when unknown
    idempotency_key key;
    std::string method;
    std::string target;
    std::vector<header> headers;
    std::string body;
};

/// @brief An owner's own count of the load on its backend server.
struct load_report {
    std::uint32_t in_use = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 1;
    std::uint32_t slowdown_percent = 100; // how long work takes on the host at present; 100 is usual
};

/// @brief The outcome of one attempt.
struct answer {
    attempt_id attempt;
    outcome result = outcome::unknown;
    reason why = reason::none;
    std::uint16_t status = 0;
    std::vector<header> headers;
    std::string body;
    load_report load;
    microseconds service_time{}; // from dispatch to the last byte
    std::string backend_server;
    std::string owner_host;
    microseconds retry_after{}; // of a refusal: when room is expected; zero when nothing is known
    bool key_never_ran = false; // the home of the call's key knows that no call with the key ran
};

/// @brief An answer without a body that says why an attempt has no result.
[[nodiscard]] answer refuse(const attempt_id& attempt, outcome result, reason why);

/// @brief The least time that work is expected to take, from the usual time of its route; zero when that is
/// not known. Runs of one route differ, and a call with less time left than this ends in vain.
[[nodiscard]] constexpr microseconds min_service_time(microseconds usual) noexcept {
    constexpr std::int64_t share_percent = 70;
    return usual * share_percent / 100;
}

/// @brief Reads the creation time out of a version 7 UUID; epoch for other texts.
[[nodiscard]] wall_time creation_time_of(std::string_view key) noexcept;

} // namespace chervilturn
