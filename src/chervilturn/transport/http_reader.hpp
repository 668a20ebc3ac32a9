// Strict incremental reader of HTTP/1.1 messages. It rejects every message that two parsers could interpret
// differently, which prevents request smuggling.
#pragma once

#include "chervilturn/call/call.hpp"

#include <algorithm>
#include <cstddef>
#include <http_parser.h>
#include <limits>
#include <optional>
#include <string>
#include <vector>

struct evbuffer;

namespace chervilturn::internal {

/// @brief Kind of message that a reader accepts.
enum class http_kind { request, response };

/// @brief Result of reading from the input. Incomplete asks for more input; the last three are errors.
enum class read_status { incomplete, complete, malformed, head_too_large, body_too_large };

/// @brief Limits of one message, in bytes.
struct http_reader_options {
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 8UL * 1024 * 1024;
    // A body grows to this size without being allowed to; the reader stops there until allow_body.
    std::size_t free_body_bytes = std::numeric_limits<std::size_t>::max();
};

/// @brief A message, as far as it was read.
struct http_message {
    std::string method;       // of a request
    std::string target;       // of a request
    std::uint16_t status = 0; // of a response
    std::vector<header> headers;
    std::string body;
    bool keep_alive = false; // the sender allows further messages on the connection
    bool framed = false;     // a content-length or chunked coding delimits the body
};

/// @brief Reads messages with http-parser. The head is validated before it is passed to http-parser.
class http_reader {
  public:
    http_reader(http_kind kind, const http_reader_options& options);
    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;
    ~http_reader() = default;

    /// @brief Consumes bytes of the current message. Bytes of the next message remain in the input.
    [[nodiscard]] read_status consume(evbuffer* input);

    /// @brief Handles an orderly end of the connection. Completes a response whose body is delimited only by
    /// it; any other message is malformed.
    [[nodiscard]] read_status finish();

    /// @brief Prepares for the next message. With head_response, it is a response to HEAD and has no body.
    void reset(bool head_response = false);

    /// @brief Changes the limits; to be called between two messages.
    void configure(const http_reader_options& new_options) noexcept {
        this->options = new_options;
        this->allowed_body_bytes = new_options.free_body_bytes;
    }

    /// @brief Whether the body has reached the size that it is allowed and is not complete.
    [[nodiscard]] bool awaits_allowance() const noexcept;

    /// @brief The size to which the body has to be allowed to grow next: the one that its head announces,
    /// else twice the present one.
    [[nodiscard]] std::size_t next_allowance() const noexcept;

    /// @brief The size to which the body may grow now.
    [[nodiscard]] std::size_t body_room() const noexcept {
        return std::min(this->allowed_body_bytes, this->options.max_body_bytes);
    }

    /// @brief Lets the body grow to this size and reserves memory for it.
    void allow_body(std::size_t bytes);

    /// @brief Whether the head of the current message was read.
    [[nodiscard]] bool head_complete() const noexcept { return this->head_done; }

    [[nodiscard]] http_message& message() noexcept { return this->current_message; }

  private:
    struct callbacks;

    [[nodiscard]] read_status consume_head(evbuffer* input);
    [[nodiscard]] read_status consume_body(evbuffer* input);
    [[nodiscard]] read_status parse(const char* bytes, std::size_t length, std::size_t& consumed);
    [[nodiscard]] bool is_framing_unambiguous() const;
    // Whether the head states a body that is longer than the limit, none of which is read then.
    [[nodiscard]] bool announces_too_much() const noexcept;
    [[nodiscard]] std::optional<std::size_t> announced_body() const noexcept;

    http_kind kind;
    http_reader_options options;
    http_parser parser{};
    http_message current_message;
    bool head_done = false;
    bool message_done = false;
    bool head_response = false;
    bool body_exceeds_limit = false;
    std::size_t skipped_bytes = 0;  // empty lines before the head
    std::size_t allowed_body_bytes; // of the current message
};

} // namespace chervilturn::internal
