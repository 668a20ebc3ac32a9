// Bounds the depth of JSON before it is parsed.
#include "chervilturn/core/json.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

// Position behind a string that begins at a position; the end of the text if it does not end.
[[nodiscard]] std::size_t skip_string(std::string_view text, std::size_t position) {
    for (++position; position < text.size() && text[position] != '"'; ++position) {
        position += text[position] == '\\' ? 1 : 0;
    }
    return position + 1;
}

// Position behind a comment that begins at a position; the position itself if none does.
[[nodiscard]] std::size_t skip_comment(std::string_view text, std::size_t position) {
    const auto start = text.substr(position, 2);
    if (start != "//" && start != "/*") {
        return position;
    }
    const std::string_view ending = start == "//" ? "\n" : "*/";
    const auto end = text.find(ending, position + start.size());
    return end == std::string_view::npos ? text.size() : end + ending.size();
}

[[nodiscard]] bool is_too_deep(std::string_view text, json_comments comments) {
    std::size_t depth = 0;
    std::size_t position = 0;
    while (position < text.size()) {
        const char symbol = text[position];
        if (symbol == '"') {
            position = skip_string(text, position);
            continue;
        }
        if (symbol == '/' && comments == json_comments::allowed) {
            position = std::max(skip_comment(text, position), position + 1);
            continue;
        }
        if (symbol == '[' || symbol == '{') {
            if (++depth > max_json_depth) {
                return true;
            }
        } else if ((symbol == ']' || symbol == '}') && depth > 0) {
            --depth;
        }
        ++position;
    }
    return false;
}

} // namespace

nlohmann::json parse_json(std::string_view text, json_comments comments) {
    if (is_too_deep(text, comments)) {
        return nlohmann::json::value_t::discarded;
    }
    return nlohmann::json::parse(text, nullptr, false, comments == json_comments::allowed);
}

} // namespace chervilturn
