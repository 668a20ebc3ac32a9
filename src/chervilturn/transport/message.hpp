// Messages between nodes. The codec converts them to and from Cap'n Proto frames.
#pragma once

#include "chervilturn/admission/crash_record.hpp"
#include "chervilturn/admission/key_record.hpp"
#include "chervilturn/call/call.hpp"
#include "chervilturn/config/tree.hpp"

#include <string>
#include <variant>
#include <vector>

namespace chervilturn {

inline constexpr std::uint32_t protocol_version = 2; // a hello with another version is rejected

/// @brief First message in each direction of a connection: identifies the sending node.
struct hello {
    std::string host;
    std::string data_centre;
    std::uint64_t incarnation = 0;   // random number drawn when the node starts
    address peer_address;            // where the node accepts connections of other nodes
    bool accepts_reports = true;     // false from nodes of older versions
    bool accepts_comparisons = true; // false from nodes of older versions
    bool requests_bodies = true;     // false from nodes of older versions
};

/// @brief Asks an entry for a part of the body of a call that it sent without one. The owner has room for the
/// call and for its body.
struct body_request {
    attempt_id attempt;
    std::size_t offset = 0;
    std::size_t length = 0; // 0 from nodes of older versions, which ask for the whole body
};

/// @brief A part of the body of a call that was sent without it. Nodes of older versions send the whole body,
/// whatever was asked for.
struct call_body {
    attempt_id attempt;
    std::size_t offset = 0;
    std::string bytes;
};

/// @brief Asks an owner to cancel an attempt.
struct cancel {
    attempt_id attempt;
};

/// @brief Asks an owner for the outcome of an attempt. The owner fences an attempt that it has not received:
/// it refuses to run the attempt if it arrives later.
struct inquiry {
    attempt_id attempt;
};

/// @brief Reply to an inquiry: the owner is still processing the attempt.
struct pending {
    attempt_id attempt;
};

/// @brief Checks that a connection is alive.
struct ping {
    std::uint64_t nonce = 0;
};

/// @brief Reply to a ping, with the same nonce.
struct pong {
    std::uint64_t nonce = 0;
};

/// @brief Requests the settings newer than the listed revisions: once, or also on every later change when
/// follow is set. One that ends requests nothing.
struct subscription {
    std::vector<subtree_revision> revisions;
    std::uint64_t nonce = 0; // copied into the direct reply
    bool follow = false;
    bool accepts_parts = true; // false from nodes of older versions
    bool ends = false;         // the sender follows no longer
};

/// @brief Settings newer than the receiver's. Without subtrees, it confirms that the receiver is up to date.
struct settings_update {
    std::vector<subtree_snapshot> subtrees;
    std::uint64_t nonce = 0; // of the subscription; 0 in an unsolicited update
};

/// @brief Tells a peer which settings the sender has, so that they exchange them when they differ. Sent only
/// to nodes that accept comparisons.
struct comparison {
    std::uint64_t state = 0;     // digest_hash() of the sender
    bool reads_platform = false; // the sender reads the platform and reaches it
    bool read_instead = false;   // asks the receiver to read the platform, which the sender cannot reach
};

/// @brief A part of a large update, whose packed bytes are sent one after the other. Only nodes whose
/// subscription accepts parts get them.
struct update_part {
    std::uint64_t transfer = 0; // number of the series on its connection
    std::uint64_t offset = 0;   // of the first byte
    std::uint64_t total = 0;    // bytes of all parts
    std::string bytes;
};

/// @brief Tells the sender of an update's parts that all bytes before a number have arrived.
struct part_receipt {
    std::uint64_t transfer = 0;
    std::uint64_t received = 0; // bytes
};

/// @brief Evidence about requests that crash backend servers.
struct crash_report {
    std::vector<crash_evidence> evidence;
};

/// @brief The part of a report that a data centre may hold.
[[nodiscard]] crash_report report_for(const std::string& data_centre, const crash_report& report);

/// @brief Number of leaves in all subtrees of an update.
[[nodiscard]] std::size_t leaf_count(const settings_update& update) noexcept;

/// @brief Bytes of paths and values in all subtrees of an update: roughly the size of its frame.
[[nodiscard]] std::size_t content_bytes(const settings_update& update) noexcept;

/// @brief Asks an earlier home of an idempotency key for its record of the key. The earlier home does not
/// run calls with this key afterwards.
struct key_inquiry {
    std::uint64_t number = 0; // request number, copied into the reply
    idempotency_key key;
    address home; // current home of the key, the sender of the inquiry
};

/// @brief Reply of an earlier home to a key_inquiry.
struct key_inquiry_reply {
    std::uint64_t number = 0;
    key_report report;
};

using message = std::variant<hello, call, answer, cancel, inquiry, pending, ping, pong, subscription,
                             settings_update, key_inquiry, key_inquiry_reply, update_part, part_receipt,
                             crash_report, comparison, body_request, call_body>;

/// @brief Whether a message counts against the budget of control traffic. True for all but calls, their
/// bodies and answers.
[[nodiscard]] bool is_control(const message& item) noexcept;

} // namespace chervilturn
