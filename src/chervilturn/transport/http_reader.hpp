// Reads one HTTP/1.1 message after the other from a buffer, strictly: whatever two readers could understand
// differently is refused, so that no request can hide inside another.
#pragma once

#include "chervilturn/call/call.hpp"

#include <cstddef>
#include <http_parser.h>
#include <string>
#include <vector>

struct evbuffer;

namespace chervilturn::internal {

/// @brief What a reader expects.
enum class http_kind { request, response };

/// @brief How far a reader has come with its message.
enum class read_status { incomplete, complete, malformed, head_too_large, body_too_large };

/// @brief Limits of one message, in bytes.
struct http_reader_options {
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 8UL * 1024 * 1024;
};

/// @brief One message, as far as it was read.
struct http_message {
    std::string method; // of a request
    std::string target; // of a request
    std::uint16_t status = 0;
    std::vector<header> headers;
    std::string body;
    bool keep_alive = false; // the sender keeps the connection
    bool framed = false;     // a length or chunks tell where the body ends
};

/// @brief Reads messages by http-parser; the head is checked before the parser sees it.
class http_reader {
  public:
    http_reader(http_kind kind, const http_reader_options& options);
    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;
    ~http_reader() = default;

    /// @brief Takes bytes of the current message and none behind it.
    [[nodiscard]] read_status consume(evbuffer* input);

    /// @brief The sender ended the connection in order; completes a response without a length.
    [[nodiscard]] read_status finish();

    /// @brief Starts the next message. A response to HEAD has no body.
    void reset(bool head_response = false);

    /// @brief Whether the head of the current message is complete.
    [[nodiscard]] bool head_complete() const noexcept { return this->head_done; }

    [[nodiscard]] http_message& message() noexcept { return this->current; }

  private:
    struct callbacks;

    [[nodiscard]] read_status consume_head(evbuffer* input);
    [[nodiscard]] read_status consume_body(evbuffer* input);
    [[nodiscard]] read_status parse(const char* bytes, std::size_t length, std::size_t& taken);
    [[nodiscard]] bool framing_is_clear() const;

    http_kind kind;
    http_reader_options options;
    http_parser parser{};
    http_message current;
    bool head_done = false;
    bool done = false;
    bool head_response = false;
    bool body_exceeds_limit = false;
};

} // namespace chervilturn::internal
