// Many raw connections that each send the same bytes and take what comes back at a given pace.
#pragma once

#include "chervilturn/core/address.hpp"
#include "chervilturn/transport/event_loop.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilturn::test {

/// @brief How a client takes what is sent to it.
enum class crowd_reading { all, slow, none };

/// @brief What every client of a crowd does.
struct crowd_options {
    address server;
    std::size_t clients = 0;
    std::string head;  // sent first
    std::string block; // sent next, block_count times
    std::size_t block_count = 0;
    std::string tail; // sent last
    crowd_reading reading = crowd_reading::all;
};

/// @brief How far the clients are.
struct crowd_state {
    std::size_t open = 0;                       // connections that neither side has ended
    std::size_t sent_all = 0;                   // clients that have sent everything
    std::map<std::string, std::size_t> answers; // clients by the status of their first answer
    microseconds quiet_for{}; // since a byte was last sent or received, or a connection ended
};

/// @brief A number of clients without any protocol of their own. Their sockets have small buffers, so that
/// what a server sends to a client that does not read stays with the server.
class crowd {
  public:
    crowd(event_loop& io_loop, crowd_options initial_options);
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;
    ~crowd();

    [[nodiscard]] crowd_state state() const;

  private:
    struct client;

    void read_slowly();

    event_loop* loop; // outlives the crowd
    crowd_options options;
    std::size_t total_bytes; // that each client sends
    instant last_progress;
    std::vector<std::unique_ptr<client>> members;
    timer slow_reading;
};

} // namespace chervilturn::test
