// How callers and backend servers speak to a node. The product's own protocols are one implementation; an
// adapter to a platform brings others.
#pragma once

#include "chervilturn/config/node_settings.hpp"
#include "chervilturn/node/platform.hpp"
#include "chervilturn/selection/eligibility.hpp"
#include "chervilturn/transport/http.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chervilturn {

/// @brief A request that is refused before any backend server is chosen.
struct request_error {
    std::uint16_t status = 400;
    reason why = reason::bad_request;
    std::string message;
};

/// @brief A call with everything that settings say about it.
struct accepted_request {
    call original_call;            // without attempt number; without service while split is not empty
    std::vector<split_part> split; // services that share the calls
    region_set regions;            // where it may be served
    microseconds target_latency{}; // zero when not stated
    std::uint32_t retry_percent = 0;
    std::uint32_t extra_attempts = 0;
    bool any_entry = false; // an entry outside the regions may take it, though it keeps nothing of it
};

/// @brief Where a request is checked.
struct request_context {
    const model* settings = nullptr;
    const node_settings* node = nullptr;
};

/// @brief What the entry adds to an answer.
struct answer_context {
    std::string entry_host;
    std::uint32_t attempts = 0;
};

/// @brief The protocol of callers.
class caller_protocol {
  public:
    caller_protocol() = default;
    caller_protocol(const caller_protocol&) = delete;
    caller_protocol& operator=(const caller_protocol&) = delete;
    virtual ~caller_protocol() = default;

    /// @brief Reads and checks a request.
    [[nodiscard]] virtual result<accepted_request, request_error> read(const request_context& context,
                                                                       http_request&& request) const = 0;

    /// @brief The caller's name for a request, for logs; empty when it has none.
    [[nodiscard]] virtual std::string request_id(const http_request& request) const = 0;

    /// @brief The response to a request that was refused before it became a call.
    [[nodiscard]] virtual http_response refuse(const request_error& error) const = 0;

    /// @brief The response to a call that has ended.
    [[nodiscard]] virtual http_response respond(const answer& ended, const answer_context& how) const = 0;
};

/// @brief What a backend server says of its own load.
struct backend_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    std::uint32_t slowdown_percent = 100; // how long work takes on its host at present; 100 is usual
};

/// @brief What a response means for the call that it ends.
enum class response_kind {
    answered,     // the backend server's answer, whole
    refused,      // the call did not run: the backend server is full or leaves
    wrong_server, // the call did not run: another backend server has the address
    corrupted     // not what the backend server made; the call may have run
};

/// @brief A response of the backend server, read.
struct backend_response {
    response_kind kind = response_kind::answered;
    std::optional<backend_load> load;
};

/// @brief A response to a probe, read.
struct probe_report {
    bool draining = false;
    std::string boot_mark;   // changes with each start; empty when not told
    std::string server_name; // as settings call it; empty when not told
    std::optional<microseconds> cold_left;
    std::optional<backend_load> load;
};

/// @brief A call on its way to the backend server.
struct dispatch {
    const call* sent = nullptr;
    microseconds remaining{};
    std::string server_name; // that settings show at the address
};

/// @brief The protocol of backend servers.
class backend_protocol {
  public:
    backend_protocol() = default;
    backend_protocol(const backend_protocol&) = delete;
    backend_protocol& operator=(const backend_protocol&) = delete;
    virtual ~backend_protocol() = default;

    [[nodiscard]] virtual http_request request(const dispatch& dispatched) const = 0;

    /// @brief Whether a response answers this call, and not one before it on the connection.
    [[nodiscard]] virtual bool belongs(const std::string& request_id,
                                       const http_response& response) const = 0;

    [[nodiscard]] virtual backend_response read(const http_response& response) const = 0;

    [[nodiscard]] virtual http_request probe(const std::string& path) const = 0;

    /// @brief Reads a response to a probe; nothing when it cannot be understood.
    [[nodiscard]] virtual std::optional<probe_report> read_probe(const http_response& response) const = 0;
};

/// @brief All protocols that a node speaks to others than nodes. Shared by its tasks, immutable.
struct node_protocols {
    using platform_maker = std::function<std::unique_ptr<platform>(event_loop&, const node_settings&)>;

    std::shared_ptr<const caller_protocol> callers;
    std::shared_ptr<const backend_protocol> backend;
    platform_maker make_platform;
};

/// @brief The product's own protocols, as docs/PLATFORM.md describes them.
[[nodiscard]] node_protocols native_protocols();

} // namespace chervilturn
