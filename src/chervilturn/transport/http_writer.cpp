// Serialisation of HTTP/1.1 messages.
#include "chervilturn/transport/http_writer.hpp"

#include <http_parser.h>

namespace chervilturn::internal {

namespace {

// Skips a header whose name or value could inject another header: a line break in either, a colon in the
// name.
void add_header(std::string& text, const header& item) {
    if (item.name.find_first_of("\r\n:") != std::string::npos ||
        item.value.find_first_of("\r\n") != std::string::npos) {
        return;
    }
    text.append(item.name).append(": ").append(item.value).append("\r\n");
}

void add_length(std::string& text, std::size_t length) {
    text.append("content-length: ").append(std::to_string(length)).append("\r\n");
}

[[nodiscard]] const char* reason_phrase(std::uint16_t status) {
    switch (status) {
#define CHERVILTURN_PHRASE(number, name, phrase)                                                             \
    case number:                                                                                             \
        return #phrase;
        HTTP_STATUS_MAP(CHERVILTURN_PHRASE)
#undef CHERVILTURN_PHRASE
    default:
        return "Unknown";
    }
}

[[nodiscard]] bool may_have_body(std::uint16_t status) noexcept {
    constexpr std::uint16_t no_content = 204;
    constexpr std::uint16_t not_modified = 304;
    return status != no_content && status != not_modified;
}

} // namespace

std::string request_head(const http_request& request, const address& target) {
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    if (find_header(request.headers, "host").empty()) {
        add_header(text, {"host", to_string(target)});
    }
    for (const auto& item : request.headers) {
        add_header(text, item);
    }
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
        add_length(text, request.body.size());
    }
    return text.append("\r\n");
}

std::string response_head(const http_response& response, bool last_response) {
    std::string text =
        "HTTP/1.1 " + std::to_string(response.status) + ' ' + reason_phrase(response.status) + "\r\n";
    for (const auto& item : response.headers) {
        add_header(text, item);
    }
    if (last_response) {
        add_header(text, {"connection", "close"});
    }
    if (may_have_body(response.status)) {
        add_length(text, response.body.size());
    }
    return text.append("\r\n");
}

bool sends_body(const http_response& response, bool head_request) noexcept {
    return !head_request && may_have_body(response.status);
}

} // namespace chervilturn::internal
