// How fast a client sends its request or takes its response, and which client ends when bytes are lacking.
#pragma once

#include "chervilturn/core/time.hpp"

#include <optional>
#include <vector>

namespace chervilturn::internal {

/// @brief Progress of one transfer. A client that moves a byte now and then makes no progress.
class client_pace {
  public:
    /// @brief A transfer begins.
    void restart(instant now) noexcept;

    /// @brief Takes note of the bytes that were moved since the transfer began.
    void note(std::size_t moved_bytes, instant now) noexcept;

    /// @brief Time since the last progress.
    [[nodiscard]] microseconds stalled_for(instant now) const noexcept {
        return elapsed(this->progressed_at, now);
    }

  private:
    std::size_t counted_bytes = 0; // moved at the last progress
    instant progressed_at{};
};

/// @brief A client for whom bytes are held.
struct held_client {
    std::size_t bytes = 0;
    microseconds stalled_for{};
    bool waits = false; // for room: the client is not what holds the transfer up
};

/// @brief The index of the client that ends, so that others find room; nothing when none holds them up.
///
/// That is the one which has made no progress for the longest time, of those that are not waiting for room
/// themselves. When all long transfers wait for each other, it is the shortest of them.
[[nodiscard]] std::optional<std::size_t> client_to_end(const std::vector<held_client>& clients,
                                                       microseconds min_stall);

} // namespace chervilturn::internal
