// The event loop that a node's tasks share, its timers, and the mailboxes through which tasks talk.
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

/// @brief A failure of a socket or of the event library.
struct transport_error {
    std::string message;
};

namespace internal {

struct event_deleter {
    void operator()(event* held) const noexcept;
};

struct event_base_deleter {
    void operator()(event_base* held) const noexcept;
};

using event_handle = std::unique_ptr<event, event_deleter>;

} // namespace internal

/// @brief One libevent loop. Everything made from it stays on the thread that runs it.
class event_loop {
  public:
    event_loop();

    void run();

    /// @brief Ends run after the events in progress.
    void stop() noexcept;

    /// @brief Calls back on a signal such as SIGTERM.
    void on_signal(int number, std::function<void()> handler);

    [[nodiscard]] event_base* base() const noexcept { return this->held.get(); }

  private:
    struct signal_watch;

    std::unique_ptr<event_base, internal::event_base_deleter> held;
    std::deque<std::shared_ptr<signal_watch>> signals;
};

/// @brief Calls back once or again and again until it is stopped or destroyed.
class timer {
  public:
    timer(event_loop& loop, std::function<void()> handler);
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;
    ~timer();

    void start_once(microseconds delay);
    void start_periodic(microseconds period);
    void stop() noexcept;

  private:
    void arm(microseconds delay);

    std::shared_ptr<const std::function<void()>> handler; // shared with a call in progress
    microseconds period{};                                // zero for a timer that fires once
    internal::event_handle handle;
};

/// @brief Wakes a handler from within the loop, after the event in progress.
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

/// @brief Messages for one task. A message is handled after the event in progress, in order of posting.
template<typename Message> class mailbox {
  public:
    explicit mailbox(event_loop& loop) : waker{loop, [this] { this->deliver(); }} {}

    void on_message(std::function<void(Message&&)> receiver) { this->handler = std::move(receiver); }

    void post(Message message) {
        this->messages.push_back(std::move(message));
        this->waker.signal();
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
    wake_up waker;
};

} // namespace chervilturn
