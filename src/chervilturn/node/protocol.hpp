// Interfaces of the protocols between a node and its callers and backend servers. The native protocols are
// one implementation; an adapter for a platform provides others.
#pragma once

#include "chervilturn/config/leaf_cache.hpp"
#include "chervilturn/config/node_settings.hpp"
#include "chervilturn/node/platform.hpp"
#include "chervilturn/node/server_statement.hpp"
#include "chervilturn/selection/eligibility.hpp"
#include "chervilturn/transport/http.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chervilturn {

/// @brief Why a request is rejected before a backend server is selected.
struct request_error {
    std::uint16_t status = 400; // HTTP status of the response
    reason why = reason::bad_request;
    std::string message; // for the caller and the log
};

/// @brief A call that the entry accepted, with the settings that apply to it.
struct accepted_request {
    call original_call;            // without attempt id; without service while split is not empty
    std::vector<split_part> split; // services that the route splits its calls between; empty without a split
    region_set regions;            // where the call may be served; empty means everywhere
    microseconds target_latency{}; // within which an answer has its full value; zero when not stated
    std::uint32_t retry_percent = 0;  // retry budget: extra attempts per hundred first attempts
    std::uint32_t extra_attempts = 0; // that this call and its nested calls may spend
    bool any_entry = false; // an entry outside the regions may accept it, but stores none of its data
};

/// @brief The settings that a request is checked against; both are set.
struct request_context {
    const model* settings = nullptr;
    const node_settings* node = nullptr;
};

/// @brief What the entry adds to a response.
struct answer_context {
    std::string entry_host;
    std::uint32_t attempts = 0; // that the call took
};

/// @brief The protocol between callers and the entry.
class caller_protocol {
  public:
    caller_protocol() = default;
    caller_protocol(const caller_protocol&) = delete;
    caller_protocol& operator=(const caller_protocol&) = delete;
    virtual ~caller_protocol() = default;

    /// @brief Parses and checks a request.
    [[nodiscard]] virtual result<accepted_request, request_error> read(const request_context& context,
                                                                       http_request&& request) const = 0;

    /// @brief Whether the request's route is idempotent, so that the request may be processed beside other
    /// such requests of its connection; false when no route matches.
    [[nodiscard]] virtual bool is_idempotent(const request_context& context,
                                             const http_request& request) const = 0;

    /// @brief The caller's id of a request, for logs; empty when it has none.
    [[nodiscard]] virtual std::string request_id(const http_request& request) const = 0;

    /// @brief The response to a rejected request.
    [[nodiscard]] virtual http_response refuse(const request_error& error) const = 0;

    /// @brief The response to a call that has ended.
    [[nodiscard]] virtual http_response respond(answer&& ended, const answer_context& context) const = 0;
};

/// @brief The load that a backend server reports of itself.
struct backend_load {
    std::uint32_t running = 0;            // calls
    std::uint32_t waiting = 0;            // calls
    std::uint32_t slots = 1;              // calls that may run at once
    std::uint32_t slowdown_percent = 100; // service time on its host, in percent of the usual one
};

/// @brief Meaning of a backend server's response for its call.
enum class response_kind {
    answered,     // a complete answer
    refused,      // the call did not run: the backend server is full or draining
    wrong_server, // the call did not run: a different backend server listens on the address
    corrupted     // the answer was damaged on its way; the call may have run
};

/// @brief A parsed response of the backend server.
struct backend_response {
    response_kind kind = response_kind::answered;
    std::optional<backend_load> load; // nothing when the response carries none
    server_statement statement{};
};

/// @brief A parsed response to a probe.
struct probe_report {
    bool draining = false;
    std::string boot_id;     // changes with each start of the backend server; empty when not reported
    std::string server_name; // its name in the settings; empty when not reported
    std::optional<microseconds> cold_left; // until it is warm; nothing when not reported
    std::optional<backend_load> load;      // nothing when not reported
    server_statement statement{};
};

/// @brief A call that is being sent to the backend server.
struct outgoing_call {
    const call* received = nullptr;
    microseconds remaining{}; // until the owner's deadline of the call
    std::string server_name;  // of the backend server at the address, by the settings
};

/// @brief The protocol between the owner and its backend server.
class backend_protocol {
  public:
    backend_protocol() = default;
    backend_protocol(const backend_protocol&) = delete;
    backend_protocol& operator=(const backend_protocol&) = delete;
    virtual ~backend_protocol() = default;

    /// @brief The HTTP request that carries a call.
    [[nodiscard]] virtual http_request request(const outgoing_call& outgoing) const = 0;

    /// @brief Whether a response belongs to the call with this request id, or to an earlier call on the same
    /// connection.
    [[nodiscard]] virtual response_match match(const std::string& request_id,
                                               const http_response& response) const = 0;

    /// @brief Parses the response to a call.
    [[nodiscard]] virtual backend_response read(const http_response& response) const = 0;

    /// @brief The HTTP request of a probe.
    [[nodiscard]] virtual http_request probe(const std::string& path) const = 0;

    /// @brief Parses the response to a probe; nothing when it is malformed.
    [[nodiscard]] virtual std::optional<probe_report> read_probe(const http_response& response) const = 0;
};

/// @brief All protocols of a node except the one between nodes. Shared by its tasks, immutable.
struct node_protocols {
    using platform_maker = std::function<std::unique_ptr<platform>(event_loop&, const node_settings&)>;

    std::shared_ptr<const caller_protocol> callers;
    std::shared_ptr<const backend_protocol> backend;
    platform_maker make_platform; // may return null when no platform is configured
    subtree_acceptance acceptance = subtree_acceptance::whole; // of what the platform publishes
};

/// @brief The native protocols, as docs/PLATFORM.md describes them.
[[nodiscard]] node_protocols native_protocols();

} // namespace chervilturn
