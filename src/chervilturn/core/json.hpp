// Parsing of JSON from outside.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace chervilturn {

/// @brief Whether a text may contain comments.
enum class json_comments { refused, allowed };

/// @brief Most levels of nested lists and objects. Copying and formatting a value takes stack for each level.
inline constexpr std::size_t max_json_depth = 64;

/// @brief Parses a text. The result is discarded (is_discarded()) when the text is no JSON, contains a number
/// that no double holds, or is nested too deeply.
[[nodiscard]] nlohmann::json parse_json(std::string_view text,
                                        json_comments comments = json_comments::refused);

} // namespace chervilturn
