// HTTP message reader: complete messages split in any way, limits, and rejection of ambiguous messages.
#include "chervilturn/transport/http_reader.hpp"

#include "chervilturn/transport/http.hpp"

#include <catch2/catch.hpp>
#include <event2/buffer.h>

namespace chervilturn::internal {

namespace {

class text_buffer {
  public:
    explicit text_buffer(std::string_view text = {}) : buffer{evbuffer_new()} { this->add(text); }
    text_buffer(const text_buffer&) = delete;
    text_buffer& operator=(const text_buffer&) = delete;
    ~text_buffer() { evbuffer_free(this->buffer); }

    void add(std::string_view text) { evbuffer_add(this->buffer, text.data(), text.size()); }
    [[nodiscard]] evbuffer* get() const { return this->buffer; }
    [[nodiscard]] std::size_t remaining() const { return evbuffer_get_length(this->buffer); }

  private:
    evbuffer* buffer;
};

read_status read_request_text(std::string_view text) {
    http_reader reader{http_kind::request, {}};
    const text_buffer input{text};
    return reader.consume(input.get());
}

} // namespace

TEST_CASE("a request is read completely") {
    const std::string text = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";

    SECTION("in one piece, leaving the following bytes in the input") {
        http_reader reader{http_kind::request, {}};
        const text_buffer input{text + "GET / HTTP/1.1\r\n"};
        REQUIRE(reader.consume(input.get()) == read_status::complete);
        CHECK(reader.message().method == "POST");
        CHECK(reader.message().target == "/a?b=c");
        CHECK(reader.message().body == "hello");
        CHECK(reader.message().keep_alive);
        CHECK(input.remaining() == std::string{"GET / HTTP/1.1\r\n"}.size());
    }
    SECTION("byte by byte") {
        http_reader reader{http_kind::request, {}};
        text_buffer input;
        for (std::size_t index = 0; index + 1 < text.size(); ++index) {
            input.add(text.substr(index, 1));
            REQUIRE(reader.consume(input.get()) == read_status::incomplete);
        }
        input.add(text.substr(text.size() - 1));
        REQUIRE(reader.consume(input.get()) == read_status::complete);
        CHECK(reader.message().body == "hello");
    }
    SECTION("with a chunked body") {
        http_reader reader{http_kind::request, {}};
        const text_buffer input{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                                "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"};
        REQUIRE(reader.consume(input.get()) == read_status::complete);
        CHECK(reader.message().body == "abcde");
    }
    SECTION("followed by another request on the same connection") {
        http_reader reader{http_kind::request, {}};
        const text_buffer input{"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"};
        REQUIRE(reader.consume(input.get()) == read_status::complete);
        reader.reset();
        REQUIRE(reader.consume(input.get()) == read_status::complete);
        CHECK(reader.message().target == "/2");
    }
}

TEST_CASE("a request that could smuggle another request is malformed") {
    const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
    const std::vector<std::string> malformed{
        "Content-Length: 0\r\nContent-Length: 5\r\n\r\nhello",
        "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
        "Content-Length: 5, 5\r\n\r\nhello",
        "Content-Length: +4\r\n\r\nbody",
        "Content-Length: -1\r\n\r\n",
        "Content-Length: 0x4\r\n\r\nbody",
        "Content-Length:\r\n\r\n",
        "Content-Length : 3\r\n\r\nabc",
        "Content-Length: 99999999999999999999\r\n\r\n",
        "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
        "X-A: 1\r\n folded: 2\r\n\r\n",
        "X-A: 1\r\n\tfolded\r\n\r\n",
        " X-A: 1\r\n\r\n",
        "X A: 1\r\n\r\n",
        "no colon\r\n\r\n",
        ": no name\r\n\r\n",
        "X-A: a\rb\r\n\r\n",
        "X-A: 1\nContent-Length: 5\r\n\r\nhello",
        "Host: second\r\n\r\n",
        std::string{"X-A: a\0b\r\n\r\n", 12},
    };
    for (const auto& rest : malformed) {
        CAPTURE(rest);
        CHECK(read_request_text(start + rest) == read_status::malformed);
    }
    CHECK(read_request_text("nonsense\r\n\r\n") == read_status::malformed);
    CHECK(read_request_text("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
          read_status::malformed);
    CHECK(read_request_text("GET / HTTP/1.1\nHost: h\n\n") == read_status::malformed);
}

TEST_CASE("size limits apply before a message is complete") {
    http_reader reader{http_kind::request, {.max_header_bytes = 100, .max_body_bytes = 10}};
    SECTION("limit of the head") {
        const text_buffer input{"GET / HTTP/1.1\r\nX: " + std::string(200, 'a')};
        CHECK(reader.consume(input.get()) == read_status::head_too_large);
    }
    SECTION("limit of a body with a length and of a chunked body") {
        const text_buffer input{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n" +
                                std::string(20, 'b')};
        CHECK(reader.consume(input.get()) == read_status::body_too_large);
        http_reader chunks{http_kind::request, {.max_header_bytes = 100, .max_body_bytes = 10}};
        const text_buffer chunked{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n" +
                                  std::string(20, 'c')};
        CHECK(chunks.consume(chunked.get()) == read_status::body_too_large);
    }
}

// Guards against requests that are within the callers' limits and refused by the parser's own one.
TEST_CASE("a head is read up to the limit of the reader, whatever the parser's own limit") {
    constexpr std::size_t header_bytes = 200UL * 1024;
    http_reader reader{http_kind::request, {.max_header_bytes = 2 * header_bytes}};
    const auto value = std::string(header_bytes, 'a');
    const text_buffer input{"GET / HTTP/1.1\r\nHost: h\r\nX: " + value + "\r\n\r\n"};
    REQUIRE(reader.consume(input.get()) == read_status::complete);
    CHECK(reader.message().headers.back().value == value);

    SECTION("and trailers still end at the parser's limit") {
        http_reader chunks{http_kind::request, {.max_header_bytes = 2 * header_bytes}};
        const text_buffer endless{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " +
                                  value};
        CHECK(chunks.consume(endless.get()) == read_status::malformed);
    }
}

TEST_CASE("a response without end stops at a bound") {
    constexpr http_reader_options limits{.max_header_bytes = 4096, .max_body_bytes = 8192};
    http_reader reader{http_kind::response, limits};
    auto* input = evbuffer_new();
    // Feeds the same bytes until the reader stops; returns how many it took.
    const auto feed_endlessly = [&](const std::string& start, const std::string& repeated) {
        std::size_t fed = start.size();
        evbuffer_add(input, start.data(), start.size());
        auto status = reader.consume(input);
        while (status == read_status::incomplete && fed < (1U << 20U)) {
            evbuffer_add(input, repeated.data(), repeated.size());
            fed += repeated.size();
            status = reader.consume(input);
        }
        CHECK(status != read_status::complete);
        CHECK(status != read_status::incomplete);
        return fed;
    };
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    constexpr std::size_t parser_limit = 100UL * 1024; // of http-parser for chunk headers and trailers

    SECTION("bytes that are no head") {
        CHECK(feed_endlessly("", "abcdefgh") <= limits.max_header_bytes + 8);
    }
    SECTION("a head that goes on") {
        CHECK(feed_endlessly("HTTP/1.1 200 OK\r\n", "a: b\r\n") <= limits.max_header_bytes + 6);
    }
    SECTION("empty lines") {
        CHECK(feed_endlessly("", "\r\n") <= limits.max_header_bytes + 2);
    }
    SECTION("a body in chunks") {
        CHECK(feed_endlessly(chunked, "4\r\nabcd\r\n") <= chunked.size() + 3 * limits.max_body_bytes);
    }
    SECTION("a body that ends with the connection") {
        CHECK(feed_endlessly("HTTP/1.1 200 OK\r\n\r\n", "abcdefgh") <= limits.max_body_bytes + 64);
    }
    SECTION("the header of a chunk") {
        CHECK(feed_endlessly(chunked + "4;", "abcdefgh") <= parser_limit);
    }
    SECTION("trailers") {
        CHECK(feed_endlessly(chunked + "0\r\n", "a: b\r\n") <= parser_limit);
    }
    CHECK(reader.message().body.size() <= limits.max_body_bytes);
    evbuffer_free(input);
}

// Guards against memory that many tiny trailers take, and against trailers that pose as headers.
TEST_CASE("trailers are read and discarded") {
    http_reader reader{http_kind::response, {}};
    const text_buffer input{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: 1\r\n\r\n2\r\nok\r\n0\r\n"
                            "A: 2\r\nB: 3\r\n\r\n"};
    REQUIRE(reader.consume(input.get()) == read_status::complete);
    CHECK(reader.message().body == "ok");
    CHECK(reader.message().headers.size() == 2);
    CHECK(find_header(reader.message().headers, "b").empty());
}

TEST_CASE("a response is complete only if its end is known") {
    http_reader reader{http_kind::response, {}};
    SECTION("a response with a length ends after that many bytes") {
        const text_buffer input{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab"};
        CHECK(reader.consume(input.get()) == read_status::incomplete);
        CHECK(reader.finish() == read_status::malformed);
    }
    SECTION("a response without a length ends with the connection") {
        const text_buffer input{"HTTP/1.1 200 OK\r\n\r\nabc"};
        CHECK(reader.consume(input.get()) == read_status::incomplete);
        REQUIRE(reader.finish() == read_status::complete);
        CHECK(reader.message().body == "abc");
        CHECK_FALSE(reader.message().keep_alive);
    }
    SECTION("a response to HEAD has no body, whatever its length says") {
        reader.reset(true);
        const text_buffer input{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"};
        CHECK(reader.consume(input.get()) == read_status::complete);
    }
    SECTION("bytes that are not an HTTP response are malformed") {
        const text_buffer input{"\x01\x02garbage\r\n\r\n"};
        CHECK(reader.consume(input.get()) == read_status::malformed);
    }
}

} // namespace chervilturn::internal
