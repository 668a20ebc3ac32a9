// Validation and parsing of HTTP/1.1 messages.
#include "chervilturn/transport/http_reader.hpp"

#include "chervilturn/transport/http.hpp"

#include <algorithm>
#include <array>
#include <event2/buffer.h>
#include <limits>

namespace chervilturn::internal {

namespace {

constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::size_t max_length_digits = 15; // of a Content-Length value
constexpr unsigned char first_printable = 0x20;
constexpr unsigned char delete_character = 0x7F;

[[nodiscard]] bool is_token_character(char character) noexcept {
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || symbols.find(character) != std::string_view::npos;
}

[[nodiscard]] bool is_text_character(char character) noexcept {
    const auto byte = static_cast<unsigned char>(character);
    return byte == '\t' || (byte >= first_printable && byte != delete_character);
}

// Whether a line starts with a token that is directly followed by a colon. Rejects folded lines.
[[nodiscard]] bool is_header_line(std::string_view line) noexcept {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    return std::all_of(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(colon), is_token_character);
}

[[nodiscard]] bool is_valid_head(std::string_view head) noexcept {
    bool first = true;
    while (!head.empty()) {
        const auto end = head.find("\r\n");
        const auto line = head.substr(0, end);
        if (!std::all_of(line.begin(), line.end(), is_text_character)) {
            return false;
        }
        if (!first && !line.empty() && !is_header_line(line)) {
            return false;
        }
        first = false;
        head.remove_prefix(std::min(head.size(), end == std::string_view::npos ? head.size() : end + 2));
    }
    return true;
}

// A line feed without a carriage return makes the head invalid, so the reader need not wait for its end.
[[nodiscard]] bool has_bare_line_feed(std::string_view text) noexcept {
    for (auto found = text.find('\n'); found != std::string_view::npos; found = text.find('\n', found + 1)) {
        if (found == 0 || text[found - 1] != '\r') {
            return true;
        }
    }
    return false;
}

[[nodiscard]] bool is_valid_length(std::string_view value) noexcept {
    return !value.empty() && value.size() <= max_length_digits &&
           std::all_of(value.begin(), value.end(), [](char digit) { return digit >= '0' && digit <= '9'; });
}

[[nodiscard]] std::size_t count_headers(const std::vector<header>& headers, std::string_view name) {
    return static_cast<std::size_t>(std::count_if(headers.begin(), headers.end(), [name](const header& item) {
        return is_same_name(item.name, name);
    }));
}

} // namespace

// Whether a status is one that a response may have (RFC 9110, 15). A client that asked for no other protocol
// gets no HTTP behind a 101.
[[nodiscard]] bool is_response_status(std::uint16_t status) noexcept {
    constexpr std::uint16_t lowest = 100;
    constexpr std::uint16_t highest = 599;
    constexpr std::uint16_t switching_protocols = 101;
    return status >= lowest && status <= highest && status != switching_protocols;
}

/// @brief Callbacks of http-parser. A result other than 0 stops the parser, except for on_head.
struct http_reader::callbacks {
    [[nodiscard]] static http_reader& reader_of(http_parser* parser) {
        return *static_cast<http_reader*>(parser->data);
    }

    static int on_url(http_parser* parser, const char* at, std::size_t length) {
        reader_of(parser).current_message.target.append(at, length);
        return 0;
    }

    // Trailers, behind the body, are discarded: they could pose as headers of the message (RFC 9110, 6.5.1).
    static int on_name(http_parser* parser, const char* at, std::size_t length) {
        if (reader_of(parser).head_done) {
            return 0;
        }
        reader_of(parser).current_message.headers.push_back({std::string{at, length}, {}});
        return 0;
    }

    static int on_value(http_parser* parser, const char* at, std::size_t length) {
        if (reader_of(parser).head_done) {
            return 0;
        }
        auto& headers = reader_of(parser).current_message.headers;
        if (headers.empty()) {
            return 1;
        }
        headers.back().value.append(at, length);
        return 0;
    }

    static int on_head(http_parser* parser) {
        auto& reader = reader_of(parser);
        reader.head_done = true;
        reader.current_message.status = static_cast<std::uint16_t>(parser->status_code);
        if (reader.kind == http_kind::request) {
            reader.current_message.method = http_method_str(static_cast<http_method>(parser->method));
        } else if (!is_response_status(reader.current_message.status)) {
            constexpr int stop = -1;
            return stop;
        }
        constexpr int no_body = 1;
        return reader.head_response ? no_body : 0;
    }

    static int on_body(http_parser* parser, const char* at, std::size_t length) {
        auto& reader = reader_of(parser);
        if (reader.current_message.body.size() + length > reader.options.max_body_bytes) {
            reader.body_exceeds_limit = true;
            return 1;
        }
        reader.current_message.body.append(at, length);
        return 0;
    }

    static int on_complete(http_parser* parser) {
        auto& reader = reader_of(parser);
        reader.message_done = true;
        reader.current_message.keep_alive = http_should_keep_alive(parser) != 0;
        http_parser_pause(parser, 1);
        return 0;
    }
};

http_reader::http_reader(http_kind message_kind, const http_reader_options& reader_options)
    : kind{message_kind}, options{reader_options}, allowed_body_bytes{reader_options.free_body_bytes} {
    this->reset();
}

void http_reader::reset(bool is_head_response) {
    http_parser_init(&this->parser, this->kind == http_kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    this->parser.data = this;
    this->current_message = {};
    this->head_done = false;
    this->message_done = false;
    this->head_response = is_head_response;
    this->body_exceeds_limit = false;
    this->skipped_bytes = 0;
    this->allowed_body_bytes = this->options.free_body_bytes;
}

read_status http_reader::consume(evbuffer* input) {
    if (!this->head_done) {
        const auto status = this->consume_head(input);
        if (status != read_status::complete) {
            return status;
        }
        if (this->message_done) {
            return read_status::complete;
        }
    }
    return this->consume_body(input);
}

read_status http_reader::finish() {
    if (!this->head_done) {
        return read_status::malformed;
    }
    std::size_t consumed = 0;
    const auto status = this->parse(nullptr, 0, consumed);
    return status == read_status::incomplete ? read_status::malformed : status;
}

// Returns complete after the head was parsed, also if a body follows.
read_status http_reader::consume_head(evbuffer* input) {
    std::array<char, 2> first_bytes{};
    while (evbuffer_copyout(input, first_bytes.data(), first_bytes.size()) == 2 && first_bytes[0] == '\r' &&
           first_bytes[1] == '\n') {
        evbuffer_drain(input, first_bytes.size()); // empty lines before a message are allowed
        this->skipped_bytes += first_bytes.size();
        if (this->skipped_bytes > this->options.max_header_bytes) {
            return read_status::head_too_large;
        }
    }
    const auto end = evbuffer_search(input, head_end.data(), head_end.size(), nullptr);
    const auto available = evbuffer_get_length(input);
    if (end.pos < 0) {
        if (available > this->options.max_header_bytes) {
            return read_status::head_too_large;
        }
        const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
        return has_bare_line_feed({bytes, available}) ? read_status::malformed : read_status::incomplete;
    }
    const auto length = static_cast<std::size_t>(end.pos) + head_end.size();
    if (length > this->options.max_header_bytes) {
        return read_status::head_too_large;
    }
    const auto* bytes =
        reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(length)));
    if (!is_valid_head({bytes, length})) {
        return read_status::malformed;
    }
    std::size_t consumed = 0;
    const auto status = this->parse(bytes, length, consumed);
    evbuffer_drain(input, consumed);
    if (status == read_status::malformed || status == read_status::body_too_large) {
        return status;
    }
    if (!this->head_done || !this->is_framing_unambiguous()) {
        return read_status::malformed;
    }
    return this->announces_too_much() ? read_status::body_too_large : read_status::complete;
}

bool http_reader::announces_too_much() const noexcept {
    return !this->message_done && this->announced_body().value_or(0) > this->options.max_body_bytes;
}

// The parser counts the length down while it reads the body.
std::optional<std::size_t> http_reader::announced_body() const noexcept {
    constexpr auto no_length = std::numeric_limits<std::uint64_t>::max();
    if (this->parser.content_length == no_length || (this->parser.flags & F_CHUNKED) != 0) {
        return std::nullopt;
    }
    return this->current_message.body.size() + static_cast<std::size_t>(this->parser.content_length);
}

bool http_reader::awaits_allowance() const noexcept {
    return this->head_done && !this->message_done &&
           this->current_message.body.size() >= this->allowed_body_bytes;
}

std::size_t http_reader::next_allowance() const noexcept {
    // A body that grows by smaller steps leaves blocks behind which only short messages can use.
    constexpr std::size_t min_size = 256UL * 1024;
    const auto doubled = std::max(min_size, this->current_message.body.size() * 2);
    return std::min(this->announced_body().value_or(doubled), this->options.max_body_bytes);
}

// A body of the largest size goes on without an allowance, so that one byte more is found to exceed the
// limit.
void http_reader::allow_body(std::size_t bytes) {
    this->current_message.body.reserve(bytes);
    this->allowed_body_bytes =
        bytes < this->options.max_body_bytes ? bytes : std::numeric_limits<std::size_t>::max();
}

read_status http_reader::consume_body(evbuffer* input) {
    while (evbuffer_get_length(input) > 0 && !this->awaits_allowance()) {
        evbuffer_iovec chunk{};
        evbuffer_peek(input, -1, nullptr, &chunk, 1);
        const auto length =
            std::min(chunk.iov_len, this->allowed_body_bytes - this->current_message.body.size());
        std::size_t consumed = 0;
        const auto status = this->parse(static_cast<const char*>(chunk.iov_base), length, consumed);
        evbuffer_drain(input, consumed);
        if (status != read_status::incomplete) {
            return status;
        }
    }
    return read_status::incomplete;
}

read_status http_reader::parse(const char* bytes, std::size_t length, std::size_t& consumed) {
    static const http_parser_settings settings = [] {
        http_parser_settings table{};
        table.on_url = callbacks::on_url;
        table.on_header_field = callbacks::on_name;
        table.on_header_value = callbacks::on_value;
        table.on_headers_complete = callbacks::on_head;
        table.on_body = callbacks::on_body;
        table.on_message_complete = callbacks::on_complete;
        return table;
    }();
    // A head is parsed only when it is whole and within the reader's own limit. The parser's limit, which
    // holds for all parsers of the process, bounds what follows: chunk headers and trailers.
    const auto head_bytes = static_cast<std::uint32_t>(
        std::clamp<std::size_t>(length + 1, HTTP_MAX_HEADER_SIZE, std::numeric_limits<std::uint32_t>::max()));
    http_parser_set_max_header_size(this->head_done ? HTTP_MAX_HEADER_SIZE : head_bytes);
    consumed = http_parser_execute(&this->parser, &settings, bytes, length);
    if (this->message_done) {
        return read_status::complete;
    }
    if (this->body_exceeds_limit) {
        return read_status::body_too_large;
    }
    return HTTP_PARSER_ERRNO(&this->parser) == HPE_OK ? read_status::incomplete : read_status::malformed;
}

// The body length must be unambiguous: one Content-Length of digits, or chunked as the only coding, or
// neither. Also rejects a request with more than one Host header.
bool http_reader::is_framing_unambiguous() const {
    const auto& headers = this->current_message.headers;
    const auto lengths = count_headers(headers, "content-length");
    const auto codings = count_headers(headers, "transfer-encoding");
    if (lengths + codings > 1) {
        return false;
    }
    if (lengths == 1 && !is_valid_length(find_header(headers, "content-length"))) {
        return false;
    }
    if (codings == 1 && (!is_same_name(find_header(headers, "transfer-encoding"), "chunked") ||
                         this->parser.http_major != 1 || this->parser.http_minor != 1)) {
        return false;
    }
    return this->kind == http_kind::response || count_headers(headers, "host") <= 1;
}

} // namespace chervilturn::internal
