// Messages between the tasks of one node.
#pragma once

#include "chervilturn/transport/event_loop.hpp"
#include "chervilturn/transport/message.hpp"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

namespace chervilturn {

/// @brief The node accepted new settings.
struct settings_changed {
    std::shared_ptr<const model> settings;
};

/// @brief The process was paused or has just started, so its settings may be outdated. No call is dispatched
/// until settings_confirmed arrives.
struct settings_stale {};

/// @brief Settings were compared with another process after they became stale, or no comparison was possible
/// in time.
struct settings_confirmed {};

/// @brief The node will shut down. Until shutdown_started it takes calls that end before it does.
struct shutdown_announced {
    instant last_end; // of a call that may still be taken
};

/// @brief The node starts a graceful shutdown.
struct shutdown_started {};

/// @brief Requests a task's part of the status page.
struct describe_request {
    std::function<void(nlohmann::json)> reply;
};

/// @brief Requests the candidates that the entry would consider for a call.
struct explain_request {
    std::string team;
    std::string workspace;
    std::string service;
    std::string path;
    std::function<void(nlohmann::json)> reply;
};

/// @brief An attempt ended. from_owner is false when this node created the answer, because the owner could
/// not be reached or did not answer.
struct attempt_ended {
    answer ended;
    bool from_owner = true;
};

/// @brief Requests that ran when backend servers crashed.
struct crash_suspects {
    std::set<request_fingerprint> held;      // must not run
    std::set<request_fingerprint> suspected; // completions of these are reported; includes the held ones
};

/// @brief The requests that are held or suspected changed.
struct suspects_changed {
    std::shared_ptr<const crash_suspects> suspects;
};

/// @brief Messages to the entry task.
using entry_message = std::variant<settings_changed, attempt_ended, suspects_changed, shutdown_announced,
                                   shutdown_started, describe_request, explain_request>;

/// @brief A later home of a key sent an inquiry about it to this owner.
struct key_inquiry_received {
    std::uint64_t connection = 0; // number of the connection at the peer server, for the reply
    key_inquiry inquiry;
};

/// @brief Messages to the owner task.
using owner_message = std::variant<settings_changed, settings_stale, settings_confirmed, suspects_changed,
                                   shutdown_announced, shutdown_started, call, call_body, cancel, inquiry,
                                   key_inquiry_received, key_inquiry_reply, describe_request>;

/// @brief Sends an attempt to an owner on another host.
struct send_attempt {
    address owner;
    call request;
};

/// @brief Cancels an attempt at an owner on another host.
struct cancel_attempt {
    address owner;
    attempt_id attempt;
};

/// @brief Sends a digest of this node's settings to a peer. When the subscription asks to follow the peer,
/// the connection stays open for updates.
struct send_subscription {
    address peer;
    subscription request;
};

/// @brief Sends an inquiry to an earlier home of an idempotency key.
struct send_key_inquiry {
    address peer;
    key_inquiry inquiry;
};

/// @brief Stops receiving updates from a peer.
struct end_subscription {
    address peer;
    std::vector<subtree_revision> revisions; // of this node, for a peer of an older version
};

/// @brief Sends evidence about crashes to some connected peers, drawn at random. A peer gets what its data
/// centre may hold.
struct spread_report {
    crash_report report;
    std::size_t peers = 0; // at most
};

/// @brief Tells a peer which settings this node has. Dropped when the peer accepts no comparisons.
struct send_comparison {
    address peer;
    comparison told;
};

/// @brief Messages to the peer client task.
using peer_client_message = std::variant<send_attempt, cancel_attempt, send_subscription, end_subscription,
                                         send_key_inquiry, spread_report, send_comparison, describe_request>;

/// @brief Sends an answer to the entry that started the attempt.
struct return_answer {
    answer ended;
};

/// @brief Reports to the entry that its attempt is still in progress.
struct return_pending {
    attempt_id attempt;
};

/// @brief Asks the entry of an attempt for a part of the body that it has withheld.
struct request_body {
    body_request part;
};

/// @brief Sends settings to a subscribed peer.
struct send_update {
    std::uint64_t subscriber = 0; // number of the connection at the peer server
    settings_update update;
};

/// @brief Sends a part of a large update to a subscribed peer.
struct send_update_part {
    std::uint64_t subscriber = 0; // number of the connection at the peer server
    update_part part;
};

/// @brief Sends the reply to a key inquiry.
struct return_key_report {
    std::uint64_t connection = 0; // that the inquiry arrived on
    key_inquiry_reply reply;
};

/// @brief Messages to the peer server task.
using peer_server_message = std::variant<return_answer, return_pending, request_body, send_update,
                                         send_update_part, return_key_report, spread_report>;

/// @brief A peer sent a subscription for settings.
struct peer_subscribed {
    std::uint64_t subscriber = 0; // number of the connection at the peer server
    address peer_address;         // peer address of the subscriber
    subscription request;
};

/// @brief A subscribed peer received parts of an update.
struct part_received {
    std::uint64_t subscriber = 0; // number of the connection at the peer server
    part_receipt receipt;
};

/// @brief The connection of a subscribed peer closed.
struct peer_unsubscribed {
    std::uint64_t subscriber = 0;
};

/// @brief Settings arrived from a peer.
struct update_received {
    address peer;
    settings_update update;
};

/// @brief A part of a large update arrived from a peer, and more will follow.
struct update_part_received {};

/// @brief The connection to a followed peer was replaced by a new one, without a subscription yet.
struct peer_reconnected {
    address peer;
};

/// @brief The connection to a followed peer failed.
struct peer_lost {
    address peer;
};

/// @brief Nothing is received from a followed peer. Its connection is being replaced.
struct peer_silent {
    address peer;
    microseconds silent_for{};
};

/// @brief A peer told which settings it has.
struct comparison_received {
    address peer;
    comparison told;
};

/// @brief Messages to the control task.
using control_message = std::variant<settings_stale, peer_subscribed, part_received, peer_unsubscribed,
                                     update_received, update_part_received, peer_reconnected, peer_lost,
                                     peer_silent, comparison_received, describe_request>;

/// @brief The backend server of this host crashed.
struct backend_crashed {
    std::string server;
    std::vector<crash_suspect> running;
};

/// @brief The backend server of this host completed a suspected request.
struct request_completed {
    request_fingerprint request;
};

/// @brief A peer that accepts reports has connected.
struct peer_introduced {
    std::function<void(crash_report)> send; // sends a report to this peer
};

/// @brief An operator lets a held request run again.
struct release_request {
    std::string fingerprint; // hexadecimal
    std::function<void(nlohmann::json)> reply;
};

/// @brief Messages to the crash reports task.
using crash_reports_message = std::variant<backend_crashed, request_completed, crash_report, peer_introduced,
                                           release_request, describe_request>;

/// @brief One mailbox for each task of a node. Created before the tasks, which register their handlers with
/// it.
struct node_mailboxes {
    explicit node_mailboxes(event_loop& loop)
        : entry{loop}, owner{loop}, peer_client{loop}, peer_server{loop}, control{loop}, crash_reports{loop} {
    }

    mailbox<entry_message> entry;
    mailbox<owner_message> owner;
    mailbox<peer_client_message> peer_client;
    mailbox<peer_server_message> peer_server;
    mailbox<control_message> control;
    mailbox<crash_reports_message> crash_reports;
};

} // namespace chervilturn
