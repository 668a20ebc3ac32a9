// Reading of decimal numbers, such as those in headers.
#pragma once

#include <optional>
#include <string_view>

namespace chervilturn {

/// @brief Reads a decimal number that is zero or more, with a fraction or without, such as "12" or "0.6".
/// Nothing for any other text, such as "+1", "1e3" or "1 ".
[[nodiscard]] std::optional<double> parse_decimal(std::string_view text);

} // namespace chervilturn
