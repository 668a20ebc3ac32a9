// Connections that other nodes open to this one: receives their calls and subscriptions, sends the answers.
#pragma once

#include "chervilturn/core/random.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/node/messages.hpp"
#include "chervilturn/node/peer_sender.hpp"
#include "chervilturn/transport/peer_connection.hpp"

#include <map>

namespace chervilturn {

/// @brief Owns the listening socket for peers and all accepted connections.
class peer_server_task {
  public:
    explicit peer_server_task(const node_context& context);

    /// @brief Starts to listen on the peer address of the settings. Fails when the address is not available.
    [[nodiscard]] result<success, transport_error> start();

    /// @brief Whether all bytes to send were passed to the sockets.
    [[nodiscard]] bool idle() const noexcept;

  private:
    struct accepted_connection {
        std::shared_ptr<peer_connection> connection;
        std::uint64_t incarnation = 0; // of the peer; 0 before its hello
        std::string data_centre;       // of the peer
        bool accepts_reports = false;
        address peer_address; // where the peer listens for other nodes, from its hello
    };

    void handle(return_answer&& request);
    void handle(const return_pending& request);
    void handle(const request_body& request);
    void handle(const send_update& request);
    void handle(const send_update_part& request);
    void handle(const return_key_report& request);
    void handle(const spread_report& request);

    void on_accepted(std::shared_ptr<peer_connection> connection);
    void on_message(std::uint64_t connection_number, message&& received, const frame_arrival& arrival);
    void on_introduced(std::uint64_t connection_number, const hello& peer_hello);
    void on_closed(std::uint64_t connection_number, close_cause cause);
    void reject(std::uint64_t connection_number, const char* violation);
    void send_to_entry(std::uint64_t incarnation, const message& outgoing);
    void send_report(std::uint64_t connection_number, const crash_report& report);
    std::size_t send_on(const accepted_connection& target, const message& outgoing);

    const node_context* context;
    peer_sender sender;
    std::unique_ptr<peer_listener> listener;
    std::map<std::uint64_t, accepted_connection> connections; // by number, in order of arrival
    // The number of the newest connection of each peer, by incarnation. Answers go out on this one.
    std::map<std::uint64_t, std::uint64_t> newest_by_incarnation;
    std::uint64_t accepted_count = 0;
    random_source random;
};

} // namespace chervilturn
