// Wiring and shutdown of a node.
#include "chervilturn/node/node.hpp"

#include "chervilturn/node/control_task.hpp"
#include "chervilturn/node/entry_task.hpp"
#include "chervilturn/node/links_task.hpp"
#include "chervilturn/node/operators_task.hpp"
#include "chervilturn/node/owner_task.hpp"
#include "chervilturn/node/peer_server_task.hpp"
#include "chervilturn/node/shutdown.hpp"
#include "chervilturn/observe/log.hpp"

#include <csignal>

namespace chervilturn {

namespace {

constexpr microseconds drain_check_period = std::chrono::milliseconds{20};
// Peers may still have calls on the way when this node finishes its last one.
constexpr std::uint32_t quiet_checks_before_stop = 10;

[[nodiscard]] node_context make_context(event_loop& loop, node_settings&& settings, metrics& measured,
                                        node_mailboxes& boxes) {
    std::random_device device;
    const auto draw = [&device] { return (static_cast<std::uint64_t>(device()) << 32U) | device(); };
    node_context context{
        .loop = &loop, .settings = std::move(settings), .measured = &measured, .boxes = &boxes};
    context.incarnation = draw() | 1U;
    if (context.settings.seed == 0) {
        context.settings.seed = draw();
    }
    return context;
}

} // namespace

struct node::parts {
    explicit parts(node_settings&& settings);

    [[nodiscard]] result<success, transport_error> open_sockets();
    void drain();
    void check_drained();
    void stop(shutdown_event cause);

    event_loop loop;
    metrics measured;
    node_mailboxes boxes;
    node_context context;
    control_task control;
    owner_task owner;
    links_task links;
    peer_server_task peers;
    entry_task entry;
    operators_task operators;
    shutdown_machine shutdown;
    instant stop_by{};
    std::uint32_t quiet_checks = 0;
    timer drain_check;
};

node::parts::parts(node_settings&& settings)
    : boxes{this->loop}, context{make_context(this->loop, std::move(settings), this->measured, this->boxes)},
      control{this->context}, owner{this->context}, links{this->context}, peers{this->context},
      entry{this->context}, operators{this->context}, shutdown{default_shutdown_chart()},
      drain_check{this->loop, [this] { this->check_drained(); }} {}

result<success, transport_error> node::parts::open_sockets() {
    if (auto opened = this->peers.start(); !succeeded(opened)) {
        return opened;
    }
    if (auto opened = this->entry.start(); !succeeded(opened)) {
        return opened;
    }
    return this->operators.start();
}

void node::parts::drain() {
    if (this->shutdown.state() != shutdown_state::serving) {
        return;
    }
    this->shutdown.apply(shutdown_event::stop_requested);
    this->stop_by = now_monotonic() + this->context.settings.limits.shutdown_grace;
    log_event(log_level::info, "shutdown_started", {});
    this->boxes.entry.post(shutdown_started{});
    this->boxes.owner.post(shutdown_started{});
    this->drain_check.start_periodic(drain_check_period);
}

void node::parts::check_drained() {
    const bool quiet = this->entry.idle() && this->owner.idle() && this->peers.idle();
    this->quiet_checks = quiet ? this->quiet_checks + 1 : 0;
    if (this->quiet_checks >= quiet_checks_before_stop) {
        this->stop(shutdown_event::work_finished);
    } else if (now_monotonic() >= this->stop_by) {
        this->stop(shutdown_event::grace_expired);
    }
}

void node::parts::stop(shutdown_event cause) {
    this->shutdown.apply(cause);
    log_event(log_level::info, "shutdown_complete", {{"cause", name_of(cause)}});
    this->loop.stop();
}

node::node(node_settings settings) : held{std::make_unique<parts>(std::move(settings))} {}

node::~node() = default;

result<success, node_error> node::start() {
    const auto opened = this->held->open_sockets();
    if (!succeeded(opened)) {
        return node_error{error_of(opened).message};
    }
    std::signal(SIGPIPE, SIG_IGN);
    for (const int number : {SIGTERM, SIGINT}) {
        this->held->loop.on_signal(number, [this] { this->request_shutdown(); });
    }
    const auto& settings = this->held->context.settings;
    log_event(log_level::info, "started",
              {{"data_centre", settings.data_centre},
               {"callers", to_string(settings.callers)},
               {"peers", to_string(settings.reachable_at)},
               {"operators", to_string(settings.operators)},
               {"seed", settings.seed}});
    this->held->control.start();
    return success{};
}

void node::run() {
    this->held->loop.run();
}

void node::request_shutdown() {
    this->held->drain();
}

} // namespace chervilturn
