// Reading of decimal numbers.
#include "chervilturn/core/decimal.hpp"

#include <charconv>
#include <cmath>

namespace chervilturn {

std::optional<double> parse_decimal(std::string_view text) {
    double value = 0.0;
    const auto parsed =
        std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    const bool whole_text = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    if (!whole_text || !std::isfinite(value) || std::signbit(value)) {
        return std::nullopt;
    }
    return value;
}

} // namespace chervilturn
