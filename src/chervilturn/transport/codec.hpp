// Frames between nodes: a length, then one Cap'n Proto message.
#pragma once

#include "chervilturn/core/result.hpp"
#include "chervilturn/transport/message.hpp"

#include <cstddef>
#include <span>
#include <string>

namespace chervilturn {

/// @brief A frame that is not a message of this protocol.
struct codec_error {
    std::string message;
};

inline constexpr std::size_t frame_header_bytes = 4; // length of the rest, little endian
inline constexpr std::size_t max_frame_bytes = 72ULL << 20;

/// @brief Writes a message as one frame, its length included.
[[nodiscard]] std::string encode(const message& sent);

/// @brief Reads the frame behind the length. Never throws, whatever the bytes are.
[[nodiscard]] result<message, codec_error> decode(std::span<const std::byte> frame);

} // namespace chervilturn
