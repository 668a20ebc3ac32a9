// Plain sockets for tests of HTTP: a client and a server that send exactly the bytes they are told.
#pragma once

#include "chervilturn/core/address.hpp"
#include "chervilturn/transport/event_loop.hpp"

#include <string>

struct bufferevent;
struct evconnlistener;

namespace chervilturn::test {

/// @brief A loopback address whose port the kernel has just had free.
[[nodiscard]] address free_address();

/// @brief A connection that records what arrives.
class raw_client {
  public:
    raw_client(event_loop& loop, const address& server);
    raw_client(event_loop& loop, int socket);
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;
    ~raw_client();

    void write(const std::string& bytes);
    void end();
    void reset();
    [[nodiscard]] const std::string& received() const noexcept { return this->bytes; }
    [[nodiscard]] bool ended() const noexcept { return this->over; }
    [[nodiscard]] bool written() const;

  private:
    void listen();

    bufferevent* stream;
    std::string bytes;
    bool over = false;
};

/// @brief A server that talks on the connection it accepted last.
class raw_server {
  public:
    explicit raw_server(event_loop& loop);
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    ~raw_server();

    [[nodiscard]] const address& where() const noexcept { return this->bound; }
    [[nodiscard]] std::size_t accepted() const noexcept { return this->count; }
    [[nodiscard]] std::string received() const;
    [[nodiscard]] bool written() const { return this->last->written(); }
    void write(const std::string& bytes) { this->last->write(bytes); }
    void end() { this->last->end(); }
    void reset() { this->last->reset(); }

  private:
    event_loop* loop;
    address bound;
    evconnlistener* socket;
    std::unique_ptr<raw_client> last;
    std::size_t count = 0;
};

} // namespace chervilturn::test
