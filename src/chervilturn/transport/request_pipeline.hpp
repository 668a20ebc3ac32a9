// Order of the requests of one server connection: which of them may start, which response is sent next, and
// which one is the last. Does no I/O.
#pragma once

#include "chervilturn/core/time.hpp"
#include "chervilturn/transport/http.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace chervilturn::internal {

/// @brief A request that was read completely.
struct pipelined_request {
    http_request request;
    instant arrived;         // of its first byte
    bool overlaps = false;   // may be processed beside other such requests
    bool keep_alive = false; // the client may send more requests behind it
};

/// @brief A request whose processing starts now.
struct started_request {
    std::uint64_t number = 0; // of the request on its connection
    http_request request;
    instant arrived;
};

/// @brief A response that is sent now.
struct next_response {
    http_response response;
    bool head_request = false;  // the request's method is HEAD
    bool last_response = false; // the connection closes after it
};

/// @brief The requests of one connection that were read and have no response on the wire yet.
///
/// Responses leave in the order of the requests. A request starts when every request before it was answered,
/// or when it and all unanswered ones before it may overlap (RFC 9112, 9.3.2). The connection closes after
/// the last request that has started; requests behind it never start.
class request_pipeline {
  public:
    explicit request_pipeline(const pipeline_options& initial_options) : options{initial_options} {}

    /// @brief Applies changed limits from the next request on.
    void configure(const pipeline_options& new_options) noexcept { this->options = new_options; }

    /// @brief Whether a further request may be read now. A single request is within every limit.
    [[nodiscard]] bool has_room() const noexcept;

    /// @brief Whether the connection closes after a request that it already has, so that no further one is
    /// read.
    [[nodiscard]] bool has_last() const noexcept;

    [[nodiscard]] bool empty() const noexcept { return this->entries.empty(); }

    /// @brief Adds a request that was read; not after the last one.
    void add(pipelined_request&& received);

    /// @brief Adds the response to a request that could not be read, in its turn. It is the last one.
    void add_rejection(http_response&& response);

    /// @brief Removes and returns the next request that may start; nothing when there is none.
    [[nodiscard]] std::optional<started_request> take_startable();

    /// @brief Stores the response to a request that has started. Ignored when it has one already.
    void respond(std::uint64_t number, http_response response);

    /// @brief Removes and returns the next response in order; nothing while it is not there yet.
    [[nodiscard]] std::optional<next_response> take_response();

    /// @brief Makes the last request that has started the last one of the connection and drops those behind
    /// it; without one, the next request is the last.
    void close();

    /// @brief Bytes of the requests and responses that the pipeline counts against its limit.
    [[nodiscard]] std::size_t bytes() const noexcept { return this->counted_bytes; }

  private:
    enum class stage { waiting, started, answered };

    struct entry {
        std::uint64_t number = 0;
        stage reached = stage::waiting;
        bool overlaps = false;
        bool last = false; // the connection closes after its response
        bool head_request = false;
        std::size_t bytes = 0;  // of the request, or of the response that waits
        instant arrived{};      // while waiting
        http_request request;   // while waiting
        http_response response; // once answered
    };

    // The entries have consecutive numbers; only the last one may have the last flag. Every entry behind a
    // waiting one waits or is a rejection.
    std::deque<entry> entries;
    pipeline_options options;
    std::uint64_t next_number = 0;
    std::size_t counted_bytes = 0; // sum over the entries
    bool closing = false;
};

} // namespace chervilturn::internal
