// TCP connection between two nodes that carries framed messages in both directions.
#pragma once

#include "chervilturn/core/address.hpp"
#include "chervilturn/transport/codec.hpp"
#include "chervilturn/transport/event_loop.hpp"

#include <functional>
#include <memory>
#include <optional>

struct bufferevent;
struct evconnlistener;

namespace chervilturn {

/// @brief Why a connection ended. Refused means that it was never established.
enum class close_cause { ended_by_peer, refused, malformed_frame };

/// @brief What a connection knows about a frame that it received.
struct frame_arrival {
    std::size_t bytes = 0;        // length prefix included
    microseconds transfer_time{}; // from the read that brought its first byte to the one that completed it
};

/// @brief Event handlers of a connection.
struct connection_handlers {
    std::function<void()> opened; // an outgoing connection was established
    std::function<void(message&&, const frame_arrival&)> received;
    std::function<void()> progressed;        // bytes arrived of a frame that is not complete yet
    std::function<void(close_cause)> closed; // not called after close()
};

/// @brief A connection to a peer, either opened by this node or accepted from the peer.
class peer_connection : public std::enable_shared_from_this<peer_connection> {
  public:
    /// @brief Starts connecting to a peer. No handler is called before this function returns.
    [[nodiscard]] static std::shared_ptr<peer_connection> open(event_loop& loop, const address& peer);

    /// @brief Takes ownership of an accepted socket.
    [[nodiscard]] static std::shared_ptr<peer_connection> accept(event_loop& loop, int socket);

    peer_connection(const peer_connection&) = delete;
    peer_connection& operator=(const peer_connection&) = delete;
    ~peer_connection();

    /// @brief Sets the event handlers.
    void set_handlers(connection_handlers events) { this->events = std::move(events); }

    /// @brief Queues a message for sending. Returns the size of its frame in bytes, or 0 if nothing was
    /// queued because the connection is closed or its backlog is full.
    std::size_t send(const message& outgoing);

    /// @brief Bytes queued by send that were not yet passed to the socket.
    [[nodiscard]] std::size_t backlog() const noexcept;

    /// @brief Closes the connection. No handler is called afterwards.
    void close() noexcept;

    [[nodiscard]] bool is_open() const noexcept { return this->stream != nullptr && this->connected; }
    [[nodiscard]] bool is_closed() const noexcept { return this->stream == nullptr; }

  private:
    explicit peer_connection(bufferevent* stream);

    void on_readable();
    void on_event(short event_flags);

    /// @brief Passes the next complete frame to the received handler; false if there is none or it is
    /// malformed.
    [[nodiscard]] bool deliver_frame();
    void fail(close_cause cause);

    bufferevent* stream; // null once closed
    bool connected = false;
    bool received_frame = false;             // a frame was decoded; before, only a short one is accepted
    std::optional<instant> frame_started_at; // of the frame that is incomplete; empty when there is none
    connection_handlers events;
};

/// @brief Accepts connections from peers.
class peer_listener {
  public:
    using accept_handler = std::function<void(std::shared_ptr<peer_connection>)>;

    /// @brief Starts listening. Fails if the address cannot be bound.
    [[nodiscard]] static result<std::unique_ptr<peer_listener>, transport_error>
    listen(event_loop& loop, const address& bind_address, accept_handler handler);

    peer_listener(const peer_listener&) = delete;
    peer_listener& operator=(const peer_listener&) = delete;
    ~peer_listener();

  private:
    peer_listener(event_loop& loop, accept_handler handler);

    event_loop* loop; // outlives the listener
    accept_handler handler;
    evconnlistener* socket = nullptr;
};

} // namespace chervilturn
