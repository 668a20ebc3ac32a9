// Connections that other nodes open to this one: their calls and digests come in, answers go back.
#pragma once

#include "chervilturn/node/context.hpp"
#include "chervilturn/node/messages.hpp"
#include "chervilturn/transport/peer_connection.hpp"

#include <map>

namespace chervilturn {

/// @brief Owns the listening socket for peers and all accepted connections.
class peer_server_task {
  public:
    explicit peer_server_task(const node_context& context);

    /// @brief Starts to listen on the peers' address.
    [[nodiscard]] result<success, transport_error> start();

    /// @brief Whether everything sent has been handed to the network.
    [[nodiscard]] bool idle() const noexcept;

  private:
    struct accepted {
        std::shared_ptr<peer_connection> connection;
        std::uint64_t incarnation = 0; // of the peer; 0 before its introduction
        address peers;
    };

    void handle(const return_answer& request);
    void handle(const return_pending& request);
    void handle(const send_update& request);
    void handle(const return_key_report& request);

    void on_accepted(std::shared_ptr<peer_connection> connection);
    void on_message(std::uint64_t number, message&& received, std::size_t bytes);
    void on_introduced(std::uint64_t number, const hello& introduced);
    void on_closed(std::uint64_t number, close_cause cause);
    void reject(std::uint64_t number, const char* why);
    [[nodiscard]] peer_connection* newest_connection(std::uint64_t incarnation);
    void send_control(peer_connection& connection, const message& sent);

    const node_context* context;
    std::unique_ptr<peer_listener> listener;
    std::map<std::uint64_t, accepted> connections;         // by number, in order of arrival
    std::map<std::uint64_t, std::uint64_t> by_incarnation; // the newest connection of each peer
    std::uint64_t accepted_count = 0;
};

} // namespace chervilturn
