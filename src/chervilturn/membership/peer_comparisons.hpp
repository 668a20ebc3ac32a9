// What peers told about their settings, and with which of them to exchange settings.
#pragma once

#include "chervilturn/core/address.hpp"
#include "chervilturn/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace chervilturn {

/// @brief Parameters of peer_comparisons.
struct peer_comparison_options {
    microseconds own_read_time = std::chrono::milliseconds{300}; // for a node that reads the platform itself
    microseconds repeat_after = std::chrono::seconds{5};         // an exchange that left the same difference
    microseconds response_time = std::chrono::seconds{1};        // before another peer with the same is asked
    microseconds recent = std::chrono::milliseconds{2500};       // what was told before is forgotten
};

/// @brief The settings of peers, each as a hash, and whether they read the platform.
class peer_comparisons {
  public:
    explicit peer_comparisons(const peer_comparison_options& comparison_options = {})
        : options{comparison_options} {}

    /// @brief A peer told the hash of its settings.
    void on_told(const address& peer, std::uint64_t state, bool reads_platform, instant now);

    /// @brief A peer has received this node's settings: it has others than it told before.
    void on_delivered(const address& peer);

    /// @brief Begins an exchange with every peer whose settings differ, and returns these peers. A node that
    /// reads the platform waits for its own read first. Of the peers that read the platform and have the
    /// same, one is asked at a time: each of them would send all of it.
    [[nodiscard]] std::vector<address> begin_due(std::uint64_t own_state, bool reads_platform, instant now);

    /// @brief Whether to exchange settings with a peer: not again while both have the same as at the last
    /// time, unless that is long ago.
    [[nodiscard]] bool begin_exchange(const address& peer, std::uint64_t own_state, std::uint64_t peer_state,
                                      instant now);

    /// @brief The peers that told recently that they read the platform.
    [[nodiscard]] std::vector<address> platform_readers(instant now) const;

    /// @brief The peers that told recently that they have the settings with a hash.
    [[nodiscard]] std::vector<address> peers_with(std::uint64_t state, instant now) const;

    /// @brief Whether a peer's settings differ from those with a hash, by what it told last.
    [[nodiscard]] bool any_differs(std::uint64_t own_state) const noexcept;

  private:
    struct told_state {
        std::optional<std::uint64_t> state; // empty after a delivery
        bool reads_platform = false;
        instant since{};   // of this state
        instant told_at{}; // last time
    };
    struct exchange {
        std::uint64_t own_state = 0;
        std::uint64_t peer_state = 0;
        instant begun_at{};
    };

    [[nodiscard]] static bool differs(const told_state& known, std::uint64_t own_state) noexcept {
        return known.state && *known.state != own_state;
    }
    // Whether another reader of the platform was asked for the same a moment ago.
    [[nodiscard]] bool awaits_equal_reader(const told_state& known, std::uint64_t own_state,
                                           instant now) const;
    [[nodiscard]] bool is_recent(const told_state& known, instant now) const noexcept {
        return now - known.told_at < this->options.recent;
    }
    void forget_outdated(instant now);

    peer_comparison_options options;
    std::map<address, told_state> told;
    std::map<address, exchange> exchanges; // the last one with each peer
};

} // namespace chervilturn
