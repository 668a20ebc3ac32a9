// Event loop shared by a node's tasks, its timers, and the mailboxes through which tasks exchange messages.
#pragma once

#include "chervilturn/core/time.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

struct event;
struct event_base;

namespace chervilturn {

/// @brief Error of a socket operation or of libevent.
struct transport_error {
    std::string message;
};

namespace internal {

struct event_deleter {
    void operator()(event* pointer) const noexcept;
};

struct event_base_deleter {
    void operator()(event_base* pointer) const noexcept;
};

using event_handle = std::unique_ptr<event, event_deleter>;

} // namespace internal

/// @brief A libevent event loop. Objects created with it may only be used on the thread that runs it.
class event_loop {
  public:
    event_loop();

    /// @brief Handles events until stop is called.
    void run();

    /// @brief Makes run return after the current event.
    void stop() noexcept;

    /// @brief Calls the handler whenever the process receives a signal such as SIGTERM.
    void on_signal(int number, std::function<void()> handler);

    [[nodiscard]] event_base* base() const noexcept { return this->libevent_base.get(); }

  private:
    struct signal_watch;

    std::unique_ptr<event_base, internal::event_base_deleter> libevent_base;
    std::deque<std::shared_ptr<signal_watch>> signals;
};

/// @brief Calls a handler once or periodically until it is stopped or destroyed. The handler may destroy it.
class timer {
  public:
    timer(event_loop& loop, std::function<void()> handler);
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;
    ~timer();

    /// @brief Calls the handler once after the delay; replaces an earlier start.
    void start_once(microseconds delay);

    /// @brief Calls the handler after every interval; replaces an earlier start.
    void start_periodic(microseconds interval);

    void stop() noexcept;

  private:
    void arm(microseconds delay);

    std::shared_ptr<const std::function<void()>> handler; // shared with a running invocation
    microseconds period{};                                // zero for a one-shot timer
    internal::event_handle handle;
};

/// @brief Runs a handler in the event loop after a call of signal, but not within that call. Further calls
/// before the handler runs have no effect.
class wake_up {
  public:
    wake_up(event_loop& loop, std::function<void()> handler);
    wake_up(const wake_up&) = delete;
    wake_up& operator=(const wake_up&) = delete;
    ~wake_up();

    void signal() noexcept;

  private:
    std::function<void()> handler;
    internal::event_handle handle;
};

/// @brief Message queue of one task. Messages are handled in the order of posting, after the current event.
template<typename Message> class mailbox {
  public:
    explicit mailbox(event_loop& loop) : delivery{loop, [this] { this->deliver(); }} {}

    /// @brief Sets the handler that receives all messages. Must be set before a message is delivered.
    void on_message(std::function<void(Message&&)> callback) { this->handler = std::move(callback); }

    void post(Message message) {
        this->messages.push_back(std::move(message));
        this->delivery.signal();
    }

  private:
    void deliver() {
        std::deque<Message> batch;
        batch.swap(this->messages);
        for (auto& message : batch) {
            this->handler(std::move(message));
        }
    }

    std::deque<Message> messages;
    std::function<void(Message&&)> handler;
    wake_up delivery;
};

} // namespace chervilturn
