// Wire format between nodes: a length prefix followed by one packed Cap'n Proto message.
#pragma once

#include "chervilturn/core/result.hpp"
#include "chervilturn/transport/message.hpp"

#include <cstddef>
#include <span>
#include <string>

namespace chervilturn {

/// @brief Error of decode: the frame is not a valid message of this protocol.
struct codec_error {
    std::string message;
};

inline constexpr std::size_t frame_header_bytes = 4;        // size of the rest; host order, little endian
inline constexpr std::size_t max_frame_bytes = 72ULL << 20; // without the length prefix

/// @brief Encodes a message as one frame, including the length prefix.
[[nodiscard]] std::string encode(const message& outgoing);

/// @brief Decodes a frame without its length prefix. Malformed bytes give an error, never an exception.
[[nodiscard]] result<message, codec_error> decode(std::span<const std::byte> frame);

} // namespace chervilturn
