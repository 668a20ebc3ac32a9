// Non-blocking sockets that follow the options of their crowd.
#include "support/crowd.hpp"

#include "chervilturn/transport/socket_address.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <event2/event.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace chervilturn::test {

namespace {

constexpr int receive_buffer = 4096;   // bytes; the kernel doubles it
constexpr std::size_t slow_bytes = 64; // taken by a slow reader in each slow_period
constexpr microseconds slow_period = std::chrono::milliseconds{250};
constexpr std::size_t status_end = 12; // length of "HTTP/1.1 200"
constexpr std::size_t status_start = 9;

[[nodiscard]] int open_socket(const address& server) {
    const int opened = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(opened, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    const auto target = internal::to_socket_address(server);
    if (connect(opened, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0 &&
        errno != EINPROGRESS) {
        throw std::runtime_error{"a client of the crowd cannot connect"};
    }
    return opened;
}

} // namespace

struct crowd::client {
    client(crowd& joined_crowd, int opened_socket)
        : owner{&joined_crowd}, socket{opened_socket},
          writable{event_new(
              joined_crowd.loop->base(), opened_socket, EV_WRITE | EV_PERSIST,
              [](evutil_socket_t, short, void* self) { static_cast<client*>(self)->write(); }, this)},
          readable{event_new(
              joined_crowd.loop->base(), opened_socket, EV_READ | EV_PERSIST,
              [](evutil_socket_t, short, void* self) { static_cast<client*>(self)->read_all(); }, this)} {
        event_add(this->writable.get(), nullptr);
        if (joined_crowd.options.reading == crowd_reading::all) {
            event_add(this->readable.get(), nullptr);
        }
    }
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    ~client() { this->end(); }

    void end() {
        if (this->socket < 0) {
            return;
        }
        this->writable.reset();
        this->readable.reset();
        close(std::exchange(this->socket, -1));
    }

    // The bytes that are due at a position of all that the client sends.
    [[nodiscard]] std::string_view due() const {
        const auto& plan = this->owner->options;
        const auto blocks_end = plan.head.size() + plan.block.size() * plan.block_count;
        if (this->sent < plan.head.size()) {
            return std::string_view{plan.head}.substr(this->sent);
        }
        if (this->sent < blocks_end) {
            return std::string_view{plan.block}.substr((this->sent - plan.head.size()) % plan.block.size());
        }
        return std::string_view{plan.tail}.substr(this->sent - blocks_end);
    }

    void write() {
        while (this->sent < this->owner->total_bytes) {
            const auto bytes = this->due();
            const auto written = send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (written < 0) {
                if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
                    this->stop_writing();
                    this->owner->last_progress = monotonic_clock::now();
                }
                return;
            }
            this->sent += static_cast<std::size_t>(written);
            this->owner->last_progress = monotonic_clock::now();
        }
        this->stop_writing();
    }

    void stop_writing() { event_del(this->writable.get()); }

    void read_all() {
        std::array<char, 16UL * 1024> bytes{};
        this->read(bytes.data(), bytes.size());
    }

    void read_slowly() {
        std::array<char, slow_bytes> bytes{};
        this->read(bytes.data(), bytes.size());
    }

    void read(char* bytes, std::size_t size) {
        if (this->socket < 0) {
            return;
        }
        const auto count = recv(this->socket, bytes, size, 0);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
            return;
        }
        if (this->owner->options.reading == crowd_reading::all || count <= 0) {
            this->owner->last_progress = monotonic_clock::now();
        }
        if (count <= 0) {
            this->end();
            return;
        }
        const auto missing = status_end - std::min(status_end, this->start.size());
        this->start.append(bytes, std::min(missing, static_cast<std::size_t>(count)));
    }

    // Whether the server has not ended the connection, nor its sending direction.
    [[nodiscard]] bool is_open() const {
        pollfd watched{.fd = this->socket, .events = POLLRDHUP, .revents = 0};
        return this->socket >= 0 && poll(&watched, 1, 0) == 0;
    }

    crowd* owner; // outlives the client
    int socket;   // -1 once ended
    std::size_t sent = 0;
    std::string start; // of the first answer
    internal::event_handle writable;
    internal::event_handle readable;
};

crowd::crowd(event_loop& io_loop, crowd_options initial_options)
    : loop{&io_loop}, options{std::move(initial_options)}, total_bytes{this->options.head.size() +
                                                                       this->options.block.size() *
                                                                           this->options.block_count +
                                                                       this->options.tail.size()},
      last_progress{monotonic_clock::now()}, slow_reading{io_loop, [this] { this->read_slowly(); }} {
    for (std::size_t number = 0; number < this->options.clients; ++number) {
        this->members.push_back(std::make_unique<client>(*this, open_socket(this->options.server)));
    }
    if (this->options.reading == crowd_reading::slow) {
        this->slow_reading.start_periodic(slow_period);
    }
}

crowd::~crowd() = default;

void crowd::read_slowly() {
    for (const auto& member : this->members) {
        member->read_slowly();
    }
}

crowd_state crowd::state() const {
    crowd_state found;
    for (const auto& member : this->members) {
        found.open += member->is_open() ? 1 : 0;
        found.sent_all += member->sent == this->total_bytes ? 1 : 0;
        if (member->start.size() == status_end) {
            ++found.answers[member->start.substr(status_start)];
        }
    }
    found.quiet_for = elapsed(this->last_progress, monotonic_clock::now());
    return found;
}

} // namespace chervilturn::test
