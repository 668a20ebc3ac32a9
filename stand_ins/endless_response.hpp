// Responses of a faulty server: bytes that do not end until the client closes the connection.
#pragma once

#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <memory>
#include <string>
#include <string_view>

namespace chervilturn::stand_ins {

/// @brief The bytes of an endless response: a start, and what is repeated behind it.
struct endless_pattern {
    std::string_view way;
    std::string_view start;
    std::string_view repeated;
};

/// @brief The ways in which a response can go on without end.
inline constexpr std::array<endless_pattern, 8> endless_patterns{{
    {"no_message", "", "abcdefgh"},
    {"head", "HTTP/1.1 200 OK\r\n", "a: b\r\n"},
    {"interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"body", "HTTP/1.1 200 OK\r\n\r\n", "abcdefgh"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nabcdefgh\r\n"},
    {"chunk_header", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8;", "abcdefgh"},
    {"chunk_extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "1;abcdefghabcdefghabcdefghabcdefgh\r\na\r\n"},
    {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"},
}};

namespace internal {

struct endless_response {
    evhttp_connection* connection;
    std::string block; // a part of what is repeated
};

inline void write_block(bufferevent* stream, void* self) {
    const auto& response = *static_cast<endless_response*>(self);
    bufferevent_write(stream, response.block.data(), response.block.size());
}

inline void end_response(bufferevent*, short, void* self) {
    const std::unique_ptr<endless_response> ended{static_cast<endless_response*>(self)};
    evhttp_connection_free(ended->connection);
}

} // namespace internal

/// @brief Takes a connection over from its HTTP server and writes in a way of endless_patterns, or as a body
/// for an unknown one, until the client closes the connection.
inline void send_endless_response(evhttp_connection* connection, std::string_view way) {
    constexpr std::size_t block_bytes = 64UL * 1024;
    const auto* chosen = &endless_patterns[3];
    for (const auto& pattern : endless_patterns) {
        chosen = pattern.way == way ? &pattern : chosen;
    }
    auto response = std::make_unique<internal::endless_response>(
        internal::endless_response{.connection = connection, .block = {}});
    while (response->block.size() < block_bytes) {
        response->block.append(chosen->repeated);
    }
    auto* stream = evhttp_connection_get_bufferevent(connection);
    bufferevent_write(stream, chosen->start.data(), chosen->start.size());
    bufferevent_setcb(stream, nullptr, internal::write_block, internal::end_response, response.release());
    bufferevent_enable(stream, EV_READ | EV_WRITE);
    evbuffer_drain(bufferevent_get_input(stream), evbuffer_get_length(bufferevent_get_input(stream)));
}

} // namespace chervilturn::stand_ins
