// Parses the fields of log lines.
#include "chervilturn/observe/log_line.hpp"

#include <charconv>
#include <sstream>

namespace chervilturn {

namespace {

struct parsed_pair {
    log_line::field pair;
    std::string_view remaining; // text after the pair and its space
};

// Reverses escape_log_value for text that starts with a quote. Returns the length up to and including the
// closing quote, or nothing when that is missing.
[[nodiscard]] std::optional<std::size_t> read_quoted(std::string_view text, std::string& value) {
    constexpr std::size_t escape_length = 4; // \x and two digits
    constexpr int base = 16;
    for (std::size_t position = 1; position < text.size(); ++position) {
        if (text[position] == '"') {
            return position + 1;
        }
        if (text[position] != '\\') {
            value += text[position];
            continue;
        }
        if (text.substr(position).starts_with("\\x") && position + escape_length <= text.size()) {
            unsigned byte = 0;
            const auto digits = text.substr(position + 2, 2);
            std::from_chars(digits.data(), digits.data() + digits.size(), byte, base);
            value += static_cast<char>(byte);
            position += escape_length - 1;
        } else if (++position < text.size()) {
            value += text[position];
        }
    }
    return std::nullopt;
}

[[nodiscard]] std::optional<parsed_pair> read_pair(std::string_view text) {
    const auto equals = text.find('=');
    if (equals == std::string_view::npos || equals == 0 ||
        text.substr(0, equals).find(' ') != std::string_view::npos) {
        return std::nullopt;
    }
    parsed_pair parsed{{std::string{text.substr(0, equals)}, {}}, {}};
    auto value = text.substr(equals + 1);
    std::size_t length = 0;
    if (value.starts_with('"')) {
        const auto quoted = read_quoted(value, parsed.pair.value);
        if (!quoted) {
            return std::nullopt;
        }
        length = *quoted;
    } else {
        length = std::min(value.find(' '), value.size());
        parsed.pair.value = value.substr(0, length);
    }
    value.remove_prefix(length);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    } else if (!value.empty()) {
        return std::nullopt;
    }
    parsed.remaining = value;
    return parsed;
}

[[nodiscard]] std::optional<std::chrono::sys_time<std::chrono::milliseconds>>
read_time(const std::string& text) {
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    int second = 0;
    int millisecond = 0;
    constexpr int component_count = 7;
    if (std::sscanf(text.c_str(), "%4d-%2u-%2uT%2d:%2d:%2d.%3dZ", &year, &month, &day, &hour, &minute,
                    &second, &millisecond) != component_count) {
        return std::nullopt;
    }
    const std::chrono::year_month_day date{std::chrono::year{year}, std::chrono::month{month},
                                           std::chrono::day{day}};
    if (!date.ok()) {
        return std::nullopt;
    }
    return std::chrono::sys_days{date} + std::chrono::hours{hour} + std::chrono::minutes{minute} +
           std::chrono::seconds{second} + std::chrono::milliseconds{millisecond};
}

} // namespace

std::string_view log_line::get(std::string_view key) const noexcept {
    for (const auto& candidate : this->fields) {
        if (candidate.key == key) {
            return candidate.value;
        }
    }
    return {};
}

std::optional<log_line> parse_log_line(std::string_view text) {
    log_line line;
    bool has_time = false;
    while (!text.empty()) {
        auto parsed = read_pair(text);
        if (!parsed) {
            return std::nullopt;
        }
        text = parsed->remaining;
        auto& pair = parsed->pair;
        if (pair.key == "time") {
            const auto time = read_time(pair.value);
            if (!time) {
                return std::nullopt;
            }
            line.time = *time;
            has_time = true;
        } else if (pair.key == "host") {
            line.host = std::move(pair.value);
        } else if (pair.key == "event") {
            line.event = std::move(pair.value);
        } else if (pair.key != "level") {
            line.fields.push_back(std::move(pair));
        }
    }
    if (!has_time || line.host.empty() || line.event.empty()) {
        return std::nullopt;
    }
    return line;
}

} // namespace chervilturn
