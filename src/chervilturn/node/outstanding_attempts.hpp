// The attempts of one link to an owner, from the order to send them until their answer: what goes out, and
// what is known of their outcome when the connection or the owner is lost.
#pragma once

#include "chervilturn/core/time.hpp"
#include "chervilturn/transport/message.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace chervilturn {

/// @brief What follows for the attempts of a link from the loss of its connection.
struct resumption {
    std::vector<message> outgoing; // for the same process of the owner, on the new connection
    std::vector<answer> ended;     // attempts whose outcome nobody can tell any more
};

/// @brief Attempts without an answer. Has no sockets and no clock.
///
/// An attempt counts as sent from the moment its call was passed to a connection on which the owner had
/// introduced itself. Before that it certainly did not run; from then on only the owner's word says so.
class outstanding_attempts {
  public:
    [[nodiscard]] bool empty() const noexcept { return this->attempts.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return this->attempts.size(); }

    /// @brief Adds an attempt that has not been sent.
    void add(const attempt_id& attempt, instant deadline);

    /// @brief Changes the call of an attempt to what is sent to this process of the owner: with the time that
    /// is left, and without a long body if the owner requests bodies.
    void on_sending(call& outgoing, std::uint64_t owner_incarnation, bool owner_requests_bodies, instant now);

    /// @brief The call could not be passed to a connection, or was dropped before. Returns the answer for the
    /// entry; nothing if it was cancelled or is not known.
    [[nodiscard]] std::optional<answer> on_not_sent(const attempt_id& attempt);

    /// @brief The entry waits no longer for an attempt. Returns false if there is none.
    [[nodiscard]] bool cancel(const attempt_id& attempt, instant now);

    /// @brief The part of the body that the owner requests; nothing if the body has no such part or the
    /// attempt has ended. A request for the whole body is answered once: an owner that loses it with the
    /// connection refuses the call.
    [[nodiscard]] std::optional<std::string> body_part(const body_request& request);

    /// @brief The owner answered. Returns the answer for the entry; nothing if nobody waits for it.
    [[nodiscard]] std::optional<answer> on_answer(answer ended, instant now);

    /// @brief A new connection has replaced the one that the attempts were sent on. A restarted owner has no
    /// record of them, and none is kept after the deadline.
    [[nodiscard]] resumption on_replaced(std::uint64_t owner_incarnation, instant now);

    /// @brief No connection to the owner can be had. Returns the answers for the entry, and forgets all.
    [[nodiscard]] std::vector<answer> on_failed();

    /// @brief Forgets attempts that were cancelled some time ago.
    void expire(instant now);

  private:
    struct state {
        instant deadline;
        std::uint64_t owner_incarnation = 0; // of the owner that it was sent to; 0 until it is sent
        std::optional<instant> forget_at;    // of a cancelled attempt, which nobody here waits for
        shared_body withheld_body;           // empty when there is none
    };

    std::unordered_map<attempt_id, state, attempt_id_hash> attempts;
};

} // namespace chervilturn
