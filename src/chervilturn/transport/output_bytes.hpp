// Output of long texts to a socket without copying them.
#pragma once

#include <memory>
#include <string>
#include <string_view>

struct evbuffer;

namespace chervilturn::internal {

/// @brief Appends bytes to an output buffer and releases what is passed along once they have left it. A long
/// text is referenced, a short one copied. Returns whether they were added.
bool add_without_copy(evbuffer* output, std::string&& bytes, std::shared_ptr<const void> held);

/// @brief Appends bytes that the holder keeps alive. A long text is referenced until it has left, a short one
/// copied. Returns whether they were added.
bool add_without_copy(evbuffer* output, std::string_view bytes, std::shared_ptr<const void> holder);

} // namespace chervilturn::internal
