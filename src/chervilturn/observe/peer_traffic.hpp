// Bytes that a node sends to other nodes, by what they carry and how far they go.
#pragma once

#include <array>
#include <cstdint>

namespace chervilturn {

/// @brief What the bytes of a message carry.
enum class traffic_kind {
    offer,          // a call, with its body if that is short, and the request for a longer one
    body,           // a body that an owner requested
    answer,         // answers, with their bodies
    key_home,       // inquiries about idempotency keys whose home has moved
    settings,       // subscriptions, updates and their receipts
    comparison,     // of settings
    crash_evidence, // about requests that crash backend servers
    connection      // introductions, pings, inquiries about attempts, cancellations
};

/// @brief How far the bytes go.
enum class traffic_reach { data_centre, region, other_region, unknown };

/// @brief The name of a kind in metrics.
[[nodiscard]] const char* to_string(traffic_kind kind) noexcept;

/// @brief The name of a reach in metrics.
[[nodiscard]] const char* to_string(traffic_reach reach) noexcept;

/// @brief Bytes sent since the start of the node; headers of TCP and IP are not counted.
class peer_traffic {
  public:
    static constexpr std::size_t kind_count = 8;
    static constexpr std::size_t reach_count = 4;

    void add(traffic_kind kind, traffic_reach reach, std::uint64_t bytes) noexcept {
        this->sent.at(static_cast<std::size_t>(kind)).at(static_cast<std::size_t>(reach)) += bytes;
    }

    [[nodiscard]] std::uint64_t bytes(traffic_kind kind, traffic_reach reach) const noexcept {
        return this->sent.at(static_cast<std::size_t>(kind)).at(static_cast<std::size_t>(reach));
    }

  private:
    std::array<std::array<std::uint64_t, reach_count>, kind_count> sent{};
};

} // namespace chervilturn
