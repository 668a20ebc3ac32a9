// Buffered TCP socket for HTTP, the base of server and client connections.
#pragma once

#include "chervilturn/core/address.hpp"
#include "chervilturn/transport/event_loop.hpp"

#include <memory>
#include <string>
#include <string_view>

struct bufferevent;
struct evbuffer;

namespace chervilturn::internal {

/// @brief How a stream ended: the peer closed it in an orderly way, or an error occurred.
enum class stream_end { eof, error };

/// @brief A buffered socket that reports its events to a subclass. After close, no event is reported.
class http_stream {
  public:
    http_stream(const http_stream&) = delete;
    http_stream& operator=(const http_stream&) = delete;
    virtual ~http_stream();

    void close() noexcept;
    [[nodiscard]] bool is_open() const noexcept { return this->stream != nullptr; }

    /// @brief Whether the peer has closed the connection or its sending direction and everything that it sent
    /// was read. The end of the stream is then reported with a later event.
    [[nodiscard]] bool ended_by_peer() const noexcept;

  protected:
    /// @brief Takes ownership of an accepted socket; with -1, connect creates the socket.
    http_stream(event_loop& loop, int socket);

    void connect(const address& target);
    void write(const std::string& bytes);

    /// @brief Writes bytes without copying a long text. What is passed along is released when they have left.
    void write(std::string&& bytes, std::shared_ptr<const void> held);

    /// @brief Writes bytes without copying a long text, which the holder keeps alive.
    void write(std::string_view bytes, std::shared_ptr<const void> holder);
    [[nodiscard]] evbuffer* input() const noexcept;

    /// @brief Bytes that were passed to write but not yet to the socket; 0 once closed.
    [[nodiscard]] std::size_t unwritten() const noexcept;

    /// @brief Whether the peer has ended the connection or its sending direction, also when bytes that it
    /// sent before were not read. For use while reading is paused.
    [[nodiscard]] bool peer_has_shut_down() const noexcept;

    /// @brief Shuts down the sending direction of the connection. Reading continues.
    void shutdown_writing() noexcept;

    /// @brief Pauses reading, or goes on with it.
    void set_reading_paused(bool pauses) noexcept;
    [[nodiscard]] bool reading_paused() const noexcept { return this->is_paused; }

    virtual void on_connected() {}
    virtual void on_readable() = 0;
    virtual void on_written() {} // all output was passed to the socket
    virtual void on_end(stream_end ending) = 0;

  private:
    void on_event(short event_flags);

    bufferevent* stream; // null once closed
    bool is_paused = false;
};

} // namespace chervilturn::internal
