// One TCP stream that carries HTTP in either direction: a buffered socket with its callbacks.
#pragma once

#include "chervilturn/core/address.hpp"
#include "chervilturn/transport/event_loop.hpp"

#include <string>

struct bufferevent;
struct evbuffer;

namespace chervilturn::internal {

/// @brief How a stream ended.
enum class stream_end { in_order, broken };

/// @brief A buffered socket. Subclasses hear of its events; none comes after close.
class http_stream {
  public:
    http_stream(const http_stream&) = delete;
    http_stream& operator=(const http_stream&) = delete;
    virtual ~http_stream();

    void close() noexcept;
    [[nodiscard]] bool is_open() const noexcept { return this->stream != nullptr; }

  protected:
    /// @brief Takes an accepted socket over, or makes a new one for -1.
    http_stream(event_loop& loop, int socket);

    void connect(const address& target);
    void write(const std::string& bytes);
    [[nodiscard]] evbuffer* input() const noexcept;
    [[nodiscard]] std::size_t unwritten() const noexcept;

    /// @brief Says that nothing more will be written, and goes on reading.
    void end_writing() noexcept;
    void pause_reading() noexcept;
    void resume_reading() noexcept;

    virtual void on_connected() {}
    virtual void on_readable() = 0;
    virtual void on_written() {}
    virtual void on_end(stream_end how) = 0;

  private:
    void on_event(short what);

    bufferevent* stream; // null once closed
};

} // namespace chervilturn::internal
