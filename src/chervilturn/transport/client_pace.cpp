// Progress of transfers and the choice of the client that ends.
#include "chervilturn/transport/client_pace.hpp"

#include "chervilturn/core/byte_budget.hpp"

#include <algorithm>
#include <tuple>

namespace chervilturn::internal {

namespace {

constexpr std::size_t progress_bytes = 4096; // fewer are no progress

[[nodiscard]] bool is_long(const held_client& client) noexcept {
    return client.bytes > max_short_request;
}

} // namespace

void client_pace::restart(instant now) noexcept {
    this->counted_bytes = 0;
    this->progressed_at = now;
}

void client_pace::note(std::size_t moved_bytes, instant now) noexcept {
    if (moved_bytes >= this->counted_bytes + progress_bytes) {
        this->counted_bytes = moved_bytes;
        this->progressed_at = now;
    }
}

std::optional<std::size_t> client_to_end(const std::vector<held_client>& clients, microseconds min_stall) {
    const bool all_wait = std::all_of(clients.begin(), clients.end(), [](const held_client& client) {
        return client.waits || !is_long(client);
    });
    std::optional<std::size_t> stalled;
    std::optional<std::size_t> shortest_waiting;
    for (std::size_t index = 0; index < clients.size(); ++index) {
        const auto& client = clients[index];
        if (client.bytes == 0 || client.stalled_for < min_stall) {
            continue;
        }
        if (!client.waits) {
            const auto order = [](const held_client& item) {
                return std::tuple{item.stalled_for, item.bytes};
            };
            if (!stalled || order(client) > order(clients[*stalled])) {
                stalled = index;
            }
        } else if (is_long(client) &&
                   (!shortest_waiting || client.bytes < clients[*shortest_waiting].bytes)) {
            shortest_waiting = index;
        }
    }
    return stalled || !all_wait ? stalled : shortest_waiting;
}

} // namespace chervilturn::internal
