// One TCP connection between two nodes that carries framed messages in both directions.
#pragma once

#include "chervilturn/core/address.hpp"
#include "chervilturn/transport/codec.hpp"
#include "chervilturn/transport/event_loop.hpp"

#include <functional>
#include <memory>

struct bufferevent;
struct evconnlistener;

namespace chervilturn {

/// @brief Why a connection ended.
enum class close_cause { ended_by_peer, refused, malformed_frame };

/// @brief What the user of a connection wants to hear of.
struct connection_events {
    std::function<void()> opened;
    std::function<void(message&&, std::size_t bytes)> received;
    std::function<void(close_cause)> closed;
};

/// @brief A connection; either opened to a peer or accepted from one.
class peer_connection : public std::enable_shared_from_this<peer_connection> {
  public:
    /// @brief Starts to connect. Events come later, never from within this call.
    [[nodiscard]] static std::shared_ptr<peer_connection> open(event_loop& loop, const address& peer);

    /// @brief Takes over an accepted socket.
    [[nodiscard]] static std::shared_ptr<peer_connection> accept(event_loop& loop, int socket);

    peer_connection(const peer_connection&) = delete;
    peer_connection& operator=(const peer_connection&) = delete;
    ~peer_connection();

    void listen_to(connection_events events) { this->events = std::move(events); }

    /// @brief Queues a message; returns its size in bytes, or 0 when the connection is closed or its
    /// backlog is full, in which case nothing was sent.
    std::size_t send(const message& sent);

    /// @brief Bytes sent that the network has not taken yet.
    [[nodiscard]] std::size_t backlog() const noexcept;

    /// @brief Closes without a further event.
    void close() noexcept;

    [[nodiscard]] bool is_open() const noexcept { return this->stream != nullptr && this->connected; }
    [[nodiscard]] bool is_closed() const noexcept { return this->stream == nullptr; }

  private:
    explicit peer_connection(bufferevent* stream);

    void on_readable();
    void on_event(short what);
    [[nodiscard]] bool deliver_frame();
    void fail(close_cause cause);

    bufferevent* stream; // null once closed
    bool connected = false;
    connection_events events;
};

/// @brief Accepts connections from peers.
class peer_listener {
  public:
    using accept_handler = std::function<void(std::shared_ptr<peer_connection>)>;

    [[nodiscard]] static result<std::unique_ptr<peer_listener>, transport_error>
    listen(event_loop& loop, const address& where, accept_handler handler);

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
