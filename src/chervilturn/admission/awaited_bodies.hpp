// Bodies that an owner has requested for calls which it admitted without them.
#pragma once

#include "chervilturn/call/call.hpp"

#include <unordered_map>
#include <vector>

namespace chervilturn {

/// @brief Longest part of a body that is requested at once, in bytes.
inline constexpr std::size_t max_body_part = 256UL * 1024;

/// @brief What bytes that arrived are for a waiting call.
enum class body_arrival {
    complete,  // the last part of its body
    partial,   // the requested part, and more are to be requested
    unwanted,  // no call waits for them, or they have arrived before
    wrong_size // they are shorter or longer than what was requested, and the wait has ended
};

/// @brief A part of a body, by its place.
struct body_range {
    std::size_t offset = 0;
    std::size_t length = 0;
};

/// @brief Puts the bodies of admitted calls together and limits how long a call, which takes a slot or a
/// place in the queue, waits for its body.
class awaited_bodies {
  public:
    /// @brief Begins to wait for a body. The share is what it draws from a byte budget; it may be null.
    void expect(const attempt_id& attempt, std::size_t announced_bytes, std::shared_ptr<byte_share> share,
                instant now);

    /// @brief Takes bytes that arrived. An entry of an older version sends the whole body at once.
    [[nodiscard]] body_arrival arrive(const attempt_id& attempt, std::size_t offset,
                                      const std::string& bytes);

    /// @brief The part to request next. The call must wait for its body.
    [[nodiscard]] body_range next_part(const attempt_id& attempt) const;

    /// @brief Removes and returns a complete body; an empty one if the call does not wait.
    [[nodiscard]] shared_body take(const attempt_id& attempt);

    /// @brief Whether the call still waits for its body.
    [[nodiscard]] bool contains(const attempt_id& attempt) const noexcept {
        return this->waits.contains(attempt);
    }

    /// @brief Forgets the wait of a call that has ended.
    void forget(const attempt_id& attempt) noexcept { this->waits.erase(attempt); }

    /// @brief Removes and returns the attempts whose body did not arrive in time.
    [[nodiscard]] std::vector<attempt_id> take_overdue(instant now);

    [[nodiscard]] std::size_t size() const noexcept { return this->waits.size(); }

  private:
    struct wait {
        std::size_t announced_bytes = 0;
        instant until;
        std::string received;              // the parts so far
        std::shared_ptr<byte_share> share; // of the whole body; may be null
    };

    std::unordered_map<attempt_id, wait, attempt_id_hash> waits;
};

} // namespace chervilturn
