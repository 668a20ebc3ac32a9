// Which requests were running when backend servers crashed, and which of them must not run again.
#pragma once

#include "chervilturn/call/request_fingerprint.hpp"
#include "chervilturn/core/time.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace chervilturn {

/// @brief One piece of evidence: a request was running when a backend server crashed, or is cleared of that
/// crash because a backend server completed it. Nodes exchange these; the same piece may arrive any number of
/// times, in any order.
struct crash_evidence {
    request_fingerprint request;
    std::uint64_t crash = 0; // number of the crash, random
    bool cleared = false;
    microseconds age{};                 // since the crash
    std::set<std::string> data_centres; // that may hold the evidence; empty: all
};

/// @brief Options of a crash record.
struct crash_record_options {
    std::size_t crashes_to_hold = 3;     // by a request that no other suspect shares all crashes with
    std::size_t crashes_despite_tie = 5; // by a request that shares all its crashes with another one
    microseconds retention = std::chrono::minutes{10};
    std::size_t max_requests = 1024;
};

/// @brief Evidence of all nodes.
///
/// Every request that ran at a crash is a suspect of it, though at most one is its cause. A request that a
/// backend server completes is cleared of the crashes known so far, for good. A suspect of three crashes is
/// held, unless another suspect shares them all: then two further ones decide.
class crash_record {
  public:
    explicit crash_record(const crash_record_options& record_options) : options{record_options} {}

    /// @brief Adds evidence; false when it is known or says nothing new.
    bool add(const crash_evidence& evidence, instant now);

    /// @brief The evidence that clears a request of all crashes that it is a suspect of.
    [[nodiscard]] std::vector<crash_evidence> clearing(const request_fingerprint& request, instant now) const;

    /// @brief The requests that must not run.
    [[nodiscard]] std::set<request_fingerprint> held() const;

    /// @brief The requests that ran at a crash and are not cleared of it.
    [[nodiscard]] std::set<request_fingerprint> suspects() const;

    /// @brief Number of crashes that a request is a suspect of.
    [[nodiscard]] std::size_t crashes_of(const request_fingerprint& request) const;

    /// @brief All evidence younger than an age, for other nodes.
    [[nodiscard]] std::vector<crash_evidence> evidence(instant now, microseconds max_age) const;

    /// @brief Removes evidence older than the retention; true if there was any.
    bool expire(instant now);

    [[nodiscard]] std::size_t size() const noexcept { return this->requests.size(); }

  private:
    struct crash_entry {
        instant at;
        bool cleared = false; // stays true
    };

    struct history {
        std::map<std::uint64_t, crash_entry> crashes; // by number
        std::set<std::string> data_centres;

        [[nodiscard]] std::size_t uncleared() const;
        [[nodiscard]] bool is_suspect_of(std::uint64_t crash) const;
    };

    [[nodiscard]] bool is_held(const request_fingerprint& request, const history& known) const;
    void make_room();

    crash_record_options options;
    std::map<request_fingerprint, history> requests;
};

/// @brief A request that was running when a backend server crashed.
struct crash_suspect {
    request_fingerprint request;
    std::set<std::string> data_centres; // that may hold evidence about it; empty: all
};

/// @brief Finds the calls that were running when the backend server of this host crashed.
///
/// A lost connection alone may have other causes. The server has crashed if it then accepts no connection or
/// comes back under another name, before it answers any call.
class crash_detector {
  public:
    /// @brief A running call lost its connection.
    void on_cut(crash_suspect&& running, instant now);

    /// @brief The backend server answered a call that was sent at this time: connections that were lost
    /// before had another cause.
    void on_answered(instant sent_at) noexcept;

    /// @brief The backend server refuses connections or has another name. Returns the requests that were
    /// running when it crashed.
    [[nodiscard]] std::vector<crash_suspect> on_ended(instant now);

  private:
    struct cut_call {
        crash_suspect running;
        instant at;
    };

    std::vector<cut_call> cut; // since the last answer
};

} // namespace chervilturn
