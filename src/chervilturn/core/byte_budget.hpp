// Limit on the bytes of message bodies that a process holds at the same time.
#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <vector>

namespace chervilturn {

class byte_share;

/// @brief Limits of a byte budget, in bytes.
struct byte_budget_options {
    std::size_t limit = 64UL << 20U;   // of all shares together
    std::size_t headroom = 8UL << 20U; // kept free for the largest response that is still arriving
    std::size_t response_limit = std::numeric_limits<std::size_t>::max(); // of responses, within the limit
};

/// @brief What the bytes of a share belong to.
enum class share_kind {
    response, // of a backend server, which is trusted to end
    request   // of a client, which may stop at any byte
};

/// @brief A request of at most this many bytes, head and body, is short.
inline constexpr std::size_t max_short_request = 64UL * 1024;

/// @brief What a share may do with further bytes.
enum class byte_grant {
    granted,
    wait,   // the budget has no room now; the share is called when it has some
    refused // the share is the largest of those that still grow, and these alone would go beyond the limit
};

/// @brief Bytes of bodies that are held by one process, from their first byte until they have left it.
///
/// While the budget is nearly used up, only the largest response that is still arriving goes on, into the
/// headroom; the others wait until it or a body that is on its way out has left. So bodies without end block
/// each other, not the answers that are ready, and one of them always reaches its own limit.
///
/// Requests that are still arriving leave the headroom free for the responses to those in progress. Short
/// ones may use half of it, and so may a long one that could never leave it free. Who holds bytes for clients
/// is told when bytes are lacking, and ends the clients that hold them up.
class byte_budget {
  public:
    explicit byte_budget(const byte_budget_options& initial_options);
    byte_budget(const byte_budget&) = delete;
    byte_budget& operator=(const byte_budget&) = delete;
    ~byte_budget() = default;

    [[nodiscard]] std::size_t used() const noexcept { return this->used_bytes; }
    [[nodiscard]] std::size_t limit() const noexcept { return this->options.limit; }

    /// @brief Shares that wait for room.
    [[nodiscard]] std::size_t waiting() const noexcept;

    /// @brief Sets a handler that is called when a share has to wait, and when more is held than the limit
    /// allows. It must not change any share itself. An empty one ends that.
    void on_shortage(std::function<void()> handler) { this->shortage_handler = std::move(handler); }

  private:
    friend class byte_share;

    [[nodiscard]] byte_grant decide(const byte_share& share, std::size_t further) const;
    [[nodiscard]] byte_grant decide_response(const byte_share& share, std::size_t further) const;
    [[nodiscard]] byte_grant decide_request(const byte_share& share, std::size_t further) const;
    [[nodiscard]] bool is_largest_growing(const byte_share& share) const noexcept;
    [[nodiscard]] std::size_t growing_bytes() const noexcept;
    void remove(const byte_share& share) noexcept;
    void call_waiting();
    void count(const byte_share& share, std::size_t bytes) noexcept;
    void uncount(const byte_share& share, std::size_t bytes) noexcept;
    void report_shortage() const;

    byte_budget_options options;
    std::size_t used_bytes = 0;             // sum over all shares
    std::size_t response_bytes = 0;         // sum over the shares of responses
    std::vector<byte_share*> growing;       // responses that are still arriving, in the order of their start
    std::vector<byte_share*> requests;      // that are still arriving, in the order of their start
    std::function<void()> shortage_handler; // may be empty
};

/// @brief The bytes of one body.
class byte_share {
  public:
    /// @brief Bytes that begin to arrive. The handler is called when a share that was told to wait should ask
    /// again; it must not change any share itself.
    byte_share(byte_budget& owning_budget, std::function<void()> on_room,
               share_kind belonging_to = share_kind::response);

    /// @brief A body that is here: counted also beyond the limit, since its bytes are held already.
    byte_share(byte_budget& owning_budget, std::size_t held_bytes);

    byte_share(const byte_share&) = delete;
    byte_share& operator=(const byte_share&) = delete;
    ~byte_share();

    /// @brief Asks to hold this many bytes in all. A share never shrinks before its body is complete: the
    /// largest one stays the largest, so that the others do not wait for one that waits for them.
    [[nodiscard]] byte_grant grow_to(std::size_t bytes);

    /// @brief The body is complete, with this many bytes.
    void complete(std::size_t bytes);

    [[nodiscard]] std::size_t bytes() const noexcept { return this->held; }

  private:
    friend class byte_budget;

    byte_budget* budget; // outlives the share
    share_kind kind = share_kind::response;
    std::size_t held = 0;
    bool is_waiting = false;
    std::function<void()> room_handler; // empty for a complete body
};

} // namespace chervilturn
