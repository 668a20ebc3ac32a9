// Parsing of log lines.
#include "chervilturn/observe/log_line.hpp"

#include <charconv>
#include <sstream>

namespace chervilturn {

namespace {

struct split_pair {
    log_line::field pair;
    std::string_view rest;
};

// Undoes escape_log_value from the first quote on; nothing when the closing quote is missing.
[[nodiscard]] std::optional<std::size_t> read_quoted(std::string_view text, std::string& value) {
    constexpr std::size_t escape_length = 4; // \x and two digits
    constexpr int base = 16;
    for (std::size_t at = 1; at < text.size(); ++at) {
        if (text[at] == '"') {
            return at + 1;
        }
        if (text[at] != '\\') {
            value += text[at];
            continue;
        }
        if (text.substr(at).starts_with("\\x") && at + escape_length <= text.size()) {
            unsigned byte = 0;
            const auto digits = text.substr(at + 2, 2);
            std::from_chars(digits.data(), digits.data() + digits.size(), byte, base);
            value += static_cast<char>(byte);
            at += escape_length - 1;
        } else if (++at < text.size()) {
            value += text[at];
        }
    }
    return std::nullopt;
}

[[nodiscard]] std::optional<split_pair> read_pair(std::string_view text) {
    const auto equals = text.find('=');
    if (equals == std::string_view::npos || equals == 0 ||
        text.substr(0, equals).find(' ') != std::string_view::npos) {
        return std::nullopt;
    }
    split_pair read{{std::string{text.substr(0, equals)}, {}}, {}};
    auto value = text.substr(equals + 1);
    std::size_t length = 0;
    if (value.starts_with('"')) {
        const auto quoted = read_quoted(value, read.pair.value);
        if (!quoted) {
            return std::nullopt;
        }
        length = *quoted;
    } else {
        length = std::min(value.find(' '), value.size());
        read.pair.value = value.substr(0, length);
    }
    value.remove_prefix(length);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    } else if (!value.empty()) {
        return std::nullopt;
    }
    read.rest = value;
    return read;
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
    constexpr int parts = 7;
    if (std::sscanf(text.c_str(), "%4d-%2u-%2uT%2d:%2d:%2d.%3dZ", &year, &month, &day, &hour, &minute,
                    &second, &millisecond) != parts) {
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
    for (const auto& held : this->fields) {
        if (held.key == key) {
            return held.value;
        }
    }
    return {};
}

std::optional<log_line> parse_log_line(std::string_view text) {
    log_line line;
    bool timed = false;
    while (!text.empty()) {
        auto read = read_pair(text);
        if (!read) {
            return std::nullopt;
        }
        text = read->rest;
        auto& pair = read->pair;
        if (pair.key == "time") {
            const auto time = read_time(pair.value);
            if (!time) {
                return std::nullopt;
            }
            line.time = *time;
            timed = true;
        } else if (pair.key == "host") {
            line.host = std::move(pair.value);
        } else if (pair.key == "event") {
            line.event = std::move(pair.value);
        } else if (pair.key != "level") {
            line.fields.push_back(std::move(pair));
        }
    }
    if (!timed || line.host.empty() || line.event.empty()) {
        return std::nullopt;
    }
    return line;
}

} // namespace chervilturn
