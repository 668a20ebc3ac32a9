// Structured logs: one line of key=value pairs for each event.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace chervilturn {

/// @brief Severity of a log line, in ascending order.
enum class log_level { trace, debug, info, warn, error };

/// @brief One key and value of a log line, without quotes and escapes; these are added when it is written.
struct log_field {
    std::string_view key;
    std::string value;

    log_field(std::string_view name, std::string_view text) : key{name}, value{text} {}
    log_field(std::string_view name, const char* text) : key{name}, value{text} {}
    log_field(std::string_view name, const std::string& text) : key{name}, value{text} {}
    template<typename Number>
    requires std::is_arithmetic_v<Number> log_field(std::string_view name, Number number)
        : key{name}, value{std::to_string(number)} {}
};

/// @brief Starts to log lines of at least the given level; an unknown level counts as info. Every line
/// carries the host. Lines are buffered until flush_log writes them to standard output.
void start_logging(const std::string& level, const std::string& host);

/// @brief Writes buffered lines to standard output as far as it accepts them without blocking.
void flush_log();

/// @brief Number of lines dropped since the start of the process, because of the rate limits or a full
/// buffer.
[[nodiscard]] std::uint64_t dropped_log_lines() noexcept;

/// @brief Changes the level after start_logging; an unknown level counts as info.
void set_log_level(const std::string& level);

/// @brief Logs one event of a call. The line has ordinary priority below level warn, else important.
void log_call(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/// @brief Logs one event that belongs to no call, such as a start, changed settings or a lost connection.
/// The line has important priority.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/// @brief A value as it is written to a log line: as it is, or quoted with escapes when it is empty, has
/// special characters or is cut because of its length.
[[nodiscard]] std::string escape_log_value(std::string_view value);

} // namespace chervilturn
