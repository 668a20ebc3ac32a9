// Calls, attempts and answers that tasks and nodes exchange.
#pragma once

#include "chervilturn/call/shared_body.hpp"
#include "chervilturn/core/byte_budget.hpp"
#include "chervilturn/core/time.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilturn {

/// @brief Whether the backend server ran a call.
enum class outcome : std::uint16_t {
    completed, // ran, and the complete answer was received
    not_run,   // did not run and will not run later
    unknown    // may have run
};

/// @brief Why a call was not run, why its outcome is unknown, or why a completed call has no answer
/// (answer_too_large); none for a call that was answered.
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
    backend_renamed,     // the backend server's name is not the one that the call was sent to
    server_rate_limited, // the rate that the backend server states has no room in time
    request_held,        // the same request has crashed backend servers
    body_not_received,   // the entry did not send the call's body in time
    memory_full          // the owner has no room for the call's body
};

/// @brief Returns the name of an outcome in response headers and logs.
[[nodiscard]] std::string_view to_string(outcome value) noexcept;

/// @brief Returns the name of a reason in response headers, metrics and logs.
[[nodiscard]] std::string_view to_string(reason value) noexcept;

/// @brief Number of reasons; the size of tables indexed by reason.
inline constexpr std::size_t reason_count = static_cast<std::size_t>(reason::memory_full) + 1;

/// @brief Identity of one attempt, unique across the fleet.
struct attempt_id {
    std::uint64_t entry = 0;    // incarnation of the entry node: a random number chosen when it starts
    std::uint64_t sequence = 0; // increases with each attempt of the incarnation

    auto operator<=>(const attempt_id&) const = default;
};

/// @brief Hash of an attempt id, for unordered containers.
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

/// @brief An idempotency key and its creation time, if the key contains one.
struct idempotency_key {
    std::string text;    // empty when the caller sent no key
    wall_time created{}; // epoch when the key contains no time

    /// @brief Whether the caller sent a key.
    [[nodiscard]] bool is_present() const noexcept { return !this->text.empty(); }

    /// @brief Whether the key contains its creation time.
    [[nodiscard]] bool has_creation_time() const noexcept { return this->created != wall_time{}; }
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
    bool last_resort = false;             // the entry has no other backend server for the call
    microseconds remaining{};             // time until the caller's deadline
    microseconds until_soft_deadline{};   // time until an answer loses value; zero: no soft deadline
    microseconds baseline_service_time{}; // of the route, estimated by the entry; zero: unknown
    std::uint32_t extra_attempts = 0;     // retries left for this call's nested calls
    std::uint32_t depth = 0;              // nesting level; 0 for a call from outside the fleet
    std::string request_id;               // sent by the caller; empty when it sent none
    std::string origin;                   // service on the host of the entry; empty when unknown
    idempotency_key key;
    std::string method;
    std::string target;
    std::vector<header> headers;
    shared_body body;
    std::size_t withheld_bytes = 0; // size of the body that the entry keeps; 0: body is complete
};

/// @brief Load of a backend server as its owner counts it.
struct load_report {
    std::uint32_t in_use = 0;                 // calls dispatched to the backend server
    std::uint32_t queued = 0;                 // calls waiting at the owner
    std::uint32_t limit = 1;                  // calls that the backend server may run at once
    std::uint32_t slowdown_percent = 100;     // duration of work on the host; 100 is normal speed
    std::optional<double> calls_per_second{}; // rate limit that the backend server states; nothing: none
    microseconds rate_wait{};                 // until the rate limits have room for a further call
    bool leaving = false;                     // the backend server states that it is leaving
};

/// @brief The result of one attempt, with the response when the call completed.
struct answer {
    attempt_id attempt;
    outcome result = outcome::unknown;
    reason why = reason::none;
    std::uint16_t status = 0;
    std::vector<header> headers;
    std::string body;
    std::shared_ptr<byte_share>
        held; // of the body while it passes through this process; null for a short one
    load_report load;
    microseconds service_time{}; // from dispatch to the last byte of the response
    std::string backend_server;
    std::string owner_host;
    microseconds retry_after{}; // in a refusal: time until capacity is expected; zero when unknown
    bool key_never_ran = false; // the key's home node confirmed that no call with this key ran
};

/// @brief Creates an answer without a response for an attempt that did not complete.
[[nodiscard]] answer refuse(const attempt_id& attempt, outcome result, reason why);

/// @brief The shortest expected service time of a call: 70 % of its route's baseline, because calls of one
/// route differ. A call with less time left cannot complete before its deadline. Zero when the baseline is
/// zero (unknown).
[[nodiscard]] constexpr microseconds min_service_time(microseconds baseline) noexcept {
    constexpr std::int64_t share_percent = 70;
    return baseline * share_percent / 100;
}

/// @brief Extracts the creation time from a version 7 UUID; returns the epoch for any other text.
[[nodiscard]] wall_time creation_time_of(std::string_view key) noexcept;

} // namespace chervilturn
