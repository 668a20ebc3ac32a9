// Parser of log lines, for the operators' command.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilturn {

/// @brief One parsed line of a node's log.
struct log_line {
    struct field {
        std::string key;
        std::string value; // without quotes and escapes
    };

    std::chrono::sys_time<std::chrono::milliseconds> time;
    std::string host;
    std::string event;
    std::vector<field> fields; // all other fields except the level, in the order of the line

    /// @brief The value of a field; empty when the line has no such field.
    [[nodiscard]] std::string_view get(std::string_view key) const noexcept;
};

/// @brief Parses a line. Returns nothing when it is incomplete or has another format: a line of a node has
/// time, host and event.
[[nodiscard]] std::optional<log_line> parse_log_line(std::string_view text);

} // namespace chervilturn
