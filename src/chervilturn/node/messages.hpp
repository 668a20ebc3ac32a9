// Messages between the tasks of one node.
#pragma once

#include "chervilturn/transport/event_loop.hpp"
#include "chervilturn/transport/message.hpp"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

namespace chervilturn {

/// @brief Newly accepted settings.
struct settings_changed {
    std::shared_ptr<const model> settings;
};

/// @brief The process was paused or has just started: beliefs may be outdated.
struct settings_stale {};

/// @brief Settings were compared with another process since the doubt arose, or nobody could be asked.
struct settings_confirmed {};

/// @brief The node shuts down gracefully.
struct shutdown_started {};

/// @brief Asks a task for its part of the status page.
struct describe_request {
    std::function<void(nlohmann::json)> reply;
};

/// @brief Asks the entry where a call would go.
struct explain_request {
    std::string team;
    std::string workspace;
    std::string service;
    std::string path;
    std::function<void(nlohmann::json)> reply;
};

/// @brief An attempt ended; answered tells whether the owner itself said so.
struct attempt_ended {
    answer ended;
    bool from_owner = true;
};

/// @brief To the entry.
using entry_message =
    std::variant<settings_changed, attempt_ended, shutdown_started, describe_request, explain_request>;

/// @brief A later home of a key asks this owner about it.
struct key_inquiry_received {
    std::uint64_t connection = 0; // number at the peer server, for the reply
    key_inquiry inquiry;
};

/// @brief To the owner.
using owner_message =
    std::variant<settings_changed, settings_stale, settings_confirmed, shutdown_started, call, cancel,
                 inquiry, key_inquiry_received, key_inquiry_reply, describe_request>;

/// @brief Sends an attempt to an owner on another host.
struct send_attempt {
    address owner;
    call sent;
};

/// @brief Gives an attempt up at an owner.
struct cancel_attempt {
    address owner;
    attempt_id attempt;
};

/// @brief Sends a digest to a peer and, when it follows, keeps the connection for updates.
struct send_subscription {
    address peer;
    subscription sent;
};

/// @brief Asks an earlier home of an idempotency key.
struct send_key_inquiry {
    address peer;
    key_inquiry inquiry;
};

/// @brief Stops to follow a peer.
struct end_subscription {
    address peer;
};

/// @brief To the links.
using peer_client_message = std::variant<send_attempt, cancel_attempt, send_subscription, end_subscription,
                                         send_key_inquiry, describe_request>;

/// @brief Sends an answer back to the entry that its attempt names.
struct return_answer {
    answer ended;
};

/// @brief Tells the entry that its attempt is still worked on.
struct return_pending {
    attempt_id attempt;
};

/// @brief Sends settings to a peer that asked for them.
struct send_update {
    std::uint64_t subscriber = 0; // number of the connection
    settings_update update;
};

/// @brief Replies to a key inquiry.
struct return_key_report {
    std::uint64_t connection = 0;
    key_inquiry_reply reply;
};

/// @brief To the peer server.
using peer_server_message = std::variant<return_answer, return_pending, send_update, return_key_report>;

/// @brief A peer asked for settings.
struct peer_subscribed {
    std::uint64_t subscriber = 0;
    address peers;
    subscription received;
};

/// @brief A peer's connection ended.
struct peer_unsubscribed {
    std::uint64_t subscriber = 0;
};

/// @brief Settings arrived from a peer.
struct update_received {
    address peer;
    settings_update update;
};

/// @brief A followed peer cannot be reached.
struct peer_lost {
    address peer;
};

/// @brief To the control task.
using control_message = std::variant<settings_stale, peer_subscribed, peer_unsubscribed, update_received,
                                     peer_lost, describe_request>;

/// @brief One mailbox for each task of a node. Made before the tasks, which register as receivers.
struct node_mailboxes {
    explicit node_mailboxes(event_loop& loop)
        : entry{loop}, owner{loop}, peer_client{loop}, peer_server{loop}, control{loop} {}

    mailbox<entry_message> entry;
    mailbox<owner_message> owner;
    mailbox<peer_client_message> peer_client;
    mailbox<peer_server_message> peer_server;
    mailbox<control_message> control;
};

} // namespace chervilturn
