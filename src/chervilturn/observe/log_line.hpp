// Log lines read back: the fields that a node wrote, for the operators' command.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilturn {

/// @brief One line of a node's log.
struct log_line {
    struct field {
        std::string key;
        std::string value; // without quotes and escapes
    };

    std::chrono::sys_time<std::chrono::milliseconds> time;
    std::string host;
    std::string event;
    std::vector<field> fields; // the others, in the order of the line

    /// @brief The value of a field; empty when the line has none.
    [[nodiscard]] std::string_view get(std::string_view key) const noexcept;
};

/// @brief Reads a line; nothing when it was cut or does not come from a node.
[[nodiscard]] std::optional<log_line> parse_log_line(std::string_view text);

} // namespace chervilturn
