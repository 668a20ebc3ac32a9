// Conversion of values between messages and Cap'n Proto.
#pragma once

#include "chervilturn/core/time.hpp"
#include "chervilturn/transport/wire.capnp.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

namespace chervilturn::internal {

[[nodiscard]] inline capnp::Text::Reader to_text(const std::string& value) {
    return {value.c_str(), value.size()};
}

[[nodiscard]] inline std::string from_text(capnp::Text::Reader value) {
    return {value.begin(), value.size()};
}

[[nodiscard]] inline capnp::Data::Reader to_data(std::string_view value) {
    return {reinterpret_cast<const capnp::byte*>(value.data()), value.size()};
}

[[nodiscard]] inline std::string from_data(capnp::Data::Reader value) {
    return {reinterpret_cast<const char*>(value.begin()), value.size()};
}

[[nodiscard]] inline std::uint64_t to_micros(microseconds duration) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, duration.count()));
}

// Durations above one day can only come from a faulty sender. They are clamped, so that sums of durations
// cannot overflow.
[[nodiscard]] inline microseconds from_micros(std::uint64_t count) {
    constexpr std::uint64_t max_micros = 86'400'000'000; // one day
    return microseconds{static_cast<std::int64_t>(std::min(max_micros, count))};
}

} // namespace chervilturn::internal
