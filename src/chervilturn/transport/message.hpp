// Messages between nodes, as the code handles them; the codec turns them into Cap'n Proto frames.
#pragma once

#include "chervilturn/admission/key_record.hpp"
#include "chervilturn/call/call.hpp"
#include "chervilturn/config/tree.hpp"

#include <string>
#include <variant>
#include <vector>

namespace chervilturn {

inline constexpr std::uint32_t protocol_version = 2;

/// @brief Introduces the side that opened a connection.
struct hello {
    std::string host;
    std::string data_centre;
    std::uint64_t incarnation = 0; // drawn at the node's start
    address peers;
};

/// @brief Asks an owner to give an attempt up.
struct cancel {
    attempt_id attempt;
};

/// @brief Asks an owner what became of an attempt; an attempt that never arrived is fenced.
struct inquiry {
    attempt_id attempt;
};

/// @brief The owner still works on the attempt.
struct pending {
    attempt_id attempt;
};

struct ping {
    std::uint64_t nonce = 0;
};

struct pong {
    std::uint64_t nonce = 0;
};

/// @brief Asks for settings newer than these, now and, when it follows, whenever they change.
struct subscription {
    std::vector<subtree_revision> known;
    std::uint64_t nonce = 0; // repeated by the direct reply
    bool follow = false;
};

/// @brief Settings newer than the receiver's; empty to confirm that it is up to date.
struct settings_update {
    std::vector<subtree_snapshot> subtrees;
    std::uint64_t nonce = 0; // 0 in an update that was not asked for
};

/// @brief Asks an earlier home of an idempotency key what it knows; it then never runs the key.
struct key_inquiry {
    std::uint64_t number = 0; // repeated by the reply
    idempotency_key key;
    address home; // the present home, which asks
};

/// @brief The earlier home's reply.
struct key_inquiry_reply {
    std::uint64_t number = 0;
    key_report report;
};

using message = std::variant<hello, call, answer, cancel, inquiry, pending, ping, pong, subscription,
                             settings_update, key_inquiry, key_inquiry_reply>;

/// @brief Whether a message belongs to control traffic and counts against its budget.
[[nodiscard]] bool is_control(const message& sent) noexcept;

} // namespace chervilturn
