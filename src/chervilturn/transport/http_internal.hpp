// Conversions between evhttp's structures and the messages of this module.
#pragma once

#include "chervilturn/call/call.hpp"

#include <string>
#include <vector>

struct evbuffer;
struct evkeyvalq;

namespace chervilturn::internal {

[[nodiscard]] std::vector<header> read_headers(evkeyvalq* source);
[[nodiscard]] std::string take_body(evbuffer* source);
void add_headers(evkeyvalq* target, const std::vector<header>& headers);

/// @brief evhttp's command bit of a method name; 0 for a method that is not supported.
[[nodiscard]] int method_bit(const std::string& name) noexcept;

/// @brief The name of evhttp's command bit.
[[nodiscard]] std::string method_name(int bit);

/// @brief All command bits that servers accept.
[[nodiscard]] int all_methods() noexcept;

} // namespace chervilturn::internal
