// Event loop and timers on libevent.
#include "chervilturn/transport/event_loop.hpp"

#include <event2/event.h>
#include <new>

namespace chervilturn {

namespace internal {

void event_deleter::operator()(event* pointer) const noexcept {
    event_free(pointer);
}

void event_base_deleter::operator()(event_base* pointer) const noexcept {
    event_base_free(pointer);
}

} // namespace internal

namespace {

[[nodiscard]] timeval to_timeval(microseconds duration) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return {.tv_sec = seconds.count(), .tv_usec = (duration - seconds).count()};
}

[[nodiscard]] event_base* make_base() {
    auto* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    auto* base = event_base_new_with_config(config);
    event_config_free(config);
    if (base == nullptr) {
        throw std::bad_alloc{};
    }
    return base;
}

[[nodiscard]] internal::event_handle to_handle(event* new_event) {
    if (new_event == nullptr) {
        throw std::bad_alloc{};
    }
    return internal::event_handle{new_event};
}

} // namespace

struct event_loop::signal_watch {
    std::function<void()> handler;
    internal::event_handle handle;
};

event_loop::event_loop() : libevent_base{make_base()} {}

void event_loop::run() {
    event_base_loop(this->libevent_base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop() noexcept {
    event_base_loopbreak(this->libevent_base.get());
}

void event_loop::on_signal(int number, std::function<void()> handler) {
    auto watch = std::make_shared<signal_watch>();
    watch->handler = std::move(handler);
    const auto fire = [](evutil_socket_t, short, void* self) { static_cast<signal_watch*>(self)->handler(); };
    watch->handle = to_handle(evsignal_new(this->libevent_base.get(), number, fire, watch.get()));
    event_add(watch->handle.get(), nullptr);
    this->signals.push_back(std::move(watch));
}

timer::timer(event_loop& loop, std::function<void()> callback)
    : handler{std::make_shared<const std::function<void()>>(std::move(callback))} {
    const auto fire = [](evutil_socket_t, short, void* self) {
        auto& expired = *static_cast<timer*>(self);
        if (expired.period > microseconds::zero()) {
            expired.arm(expired.period);
        }
        const auto current_handler = expired.handler; // keeps the handler alive if it destroys the timer
        (*current_handler)();
    };
    this->handle = to_handle(evtimer_new(loop.base(), fire, this));
}

timer::~timer() = default;

void timer::start_once(microseconds delay) {
    this->period = microseconds::zero();
    this->arm(delay);
}

void timer::start_periodic(microseconds interval) {
    this->period = interval;
    this->arm(interval);
}

void timer::stop() noexcept {
    event_del(this->handle.get());
}

void timer::arm(microseconds delay) {
    const auto duration = to_timeval(delay);
    evtimer_add(this->handle.get(), &duration);
}

wake_up::wake_up(event_loop& loop, std::function<void()> callback) : handler{std::move(callback)} {
    const auto fire = [](evutil_socket_t, short, void* self) { static_cast<wake_up*>(self)->handler(); };
    this->handle = to_handle(event_new(loop.base(), -1, EV_PERSIST, fire, this));
}

wake_up::~wake_up() = default;

void wake_up::signal() noexcept {
    event_active(this->handle.get(), EV_READ, 0);
}

} // namespace chervilturn
