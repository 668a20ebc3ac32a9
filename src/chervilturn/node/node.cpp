// Builds the tasks of a node, reloads its settings file and shuts it down gracefully.
#include "chervilturn/node/node.hpp"

#include "chervilturn/node/control_task.hpp"
#include "chervilturn/node/crash_reports_task.hpp"
#include "chervilturn/node/entry_task.hpp"
#include "chervilturn/node/operators_task.hpp"
#include "chervilturn/node/owner_task.hpp"
#include "chervilturn/node/peer_client_task.hpp"
#include "chervilturn/node/peer_server_task.hpp"
#include "chervilturn/node/shutdown.hpp"
#include "chervilturn/observe/log.hpp"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <optional>

namespace chervilturn {

namespace {

constexpr microseconds drain_check_period = std::chrono::milliseconds{20};
constexpr microseconds log_flush_period = std::chrono::milliseconds{20};
constexpr microseconds settings_file_period = std::chrono::seconds{1};
// When this node finishes its last call, calls from peers may still be in transit to it, so it stops only
// after several idle checks in a row.
constexpr std::uint32_t idle_checks_before_stop = 10;
// Before the end of the grace time, for the last answers on their way.
constexpr microseconds shutdown_margin = std::chrono::milliseconds{100};

// One body of the largest size may go on while the others wait.
[[nodiscard]] byte_budget_options body_budget(const node_limits& limits) {
    return {.limit = limits.max_held_bytes(),
            .headroom = std::min(limits.max_body_bytes, limits.max_response_bytes() / 2),
            .response_limit = limits.max_response_bytes()};
}

[[nodiscard]] node_context make_context(event_loop& loop, node_settings&& settings,
                                        node_protocols&& protocols, metrics& stats, byte_budget& bodies,
                                        node_mailboxes& mailboxes) {
    std::random_device device;
    const auto random_bits = [&device] { return (static_cast<std::uint64_t>(device()) << 32U) | device(); };
    node_context context{.loop = &loop,
                         .settings = std::move(settings),
                         .stats = &stats,
                         .bodies = &bodies,
                         .protocols = std::move(protocols),
                         .mailboxes = &mailboxes};
    context.incarnation = random_bits() | 1U;
    if (context.settings.seed == 0) {
        context.settings.seed = random_bits();
    }
    return context;
}

} // namespace

struct node::parts {
    parts(node_settings&& settings, node_protocols&& protocols);

    [[nodiscard]] result<success, transport_error> open_sockets();
    void begin_shutdown();
    void drain();
    void check_drained();
    void reload();
    void check_settings_file();
    void stop(shutdown_event cause);

    event_loop loop;
    metrics stats;
    byte_budget bodies;
    node_mailboxes mailboxes;
    node_context context;
    control_task control;
    crash_reports_task crash_reports;
    owner_task owner;
    peer_client_task peer_client;
    peer_server_task peer_server;
    entry_task entry;
    operators_task operators;
    shutdown_machine shutdown;
    instant shutdown_deadline{};
    std::uint32_t idle_checks = 0;
    std::string settings_file; // empty without reload_from
    settings_source load_settings;
    std::optional<std::filesystem::file_time_type> settings_file_time; // modification time at the last load
    timer log_flush_timer;
    timer drain_check_timer;
    timer drain_timer;
    timer file_check_timer;
};

node::parts::parts(node_settings&& settings, node_protocols&& protocols)
    : bodies{body_budget(settings.limits)}, mailboxes{this->loop}, context{make_context(
                                                                       this->loop, std::move(settings),
                                                                       std::move(protocols), this->stats,
                                                                       this->bodies, this->mailboxes)},
      control{this->context}, crash_reports{this->context}, owner{this->context}, peer_client{this->context},
      peer_server{this->context}, entry{this->context}, operators{this->context,
                                                                  [this] {
                                                                      return this->shutdown.state() ==
                                                                                 shutdown_state::serving &&
                                                                             this->entry.has_settings();
                                                                  }},
      shutdown{default_shutdown_chart()}, log_flush_timer{this->loop, [] { flush_log(); }},
      drain_check_timer{this->loop, [this] { this->check_drained(); }},
      drain_timer{this->loop, [this] { this->drain(); }}, file_check_timer{this->loop, [this] {
                                                                               this->check_settings_file();
                                                                           }} {}

result<success, transport_error> node::parts::open_sockets() {
    if (auto listening = this->peer_server.start(); !succeeded(listening)) {
        return listening;
    }
    if (auto listening = this->entry.start(); !succeeded(listening)) {
        return listening;
    }
    return this->operators.start();
}

// GET /ready answers 503 from now on. Calls that end before the grace time does are still accepted until the
// drain delay has passed, so that callers have time to choose another node.
void node::parts::begin_shutdown() {
    if (this->shutdown.state() != shutdown_state::serving) {
        return;
    }
    const auto& limits = this->context.settings.limits;
    this->shutdown.apply(shutdown_event::stop_requested);
    this->shutdown_deadline = now_monotonic() + limits.shutdown_grace;
    const shutdown_announced announcement{this->shutdown_deadline - shutdown_margin};
    this->mailboxes.entry.post(announcement);
    this->mailboxes.owner.post(announcement);
    log_event(log_level::info, "shutdown_started",
              {{"notice_us", limits.drain_delay.count()}, {"grace_us", limits.shutdown_grace.count()}});
    this->drain_timer.start_once(limits.drain_delay);
}

void node::parts::drain() {
    this->mailboxes.entry.post(shutdown_started{});
    this->mailboxes.owner.post(shutdown_started{});
    this->drain_check_timer.start_periodic(drain_check_period);
}

void node::parts::check_drained() {
    const bool all_idle = this->entry.idle() && this->owner.idle() && this->peer_server.idle();
    this->idle_checks = all_idle ? this->idle_checks + 1 : 0;
    if (this->idle_checks >= idle_checks_before_stop) {
        this->stop(shutdown_event::work_finished);
    } else if (now_monotonic() >= this->shutdown_deadline) {
        this->stop(shutdown_event::grace_expired);
    }
}

// Addresses, the platform, the policy and the seed keep the values of the start, and so do settings that
// tasks copied when they were built, such as the list of seeds, the probe rate and the size limits of HTTP
// messages. All other settings apply from now on.
void node::parts::reload() {
    const auto loaded = this->load_settings();
    if (!succeeded(loaded)) {
        log_event(log_level::error, "settings_reload_failed", {{"because", to_string(error_of(loaded))}});
        return;
    }
    auto& current = this->context.settings;
    auto reloaded = value_of(loaded);
    const bool needs_restart = reloaded.callers != current.callers || reloaded.peers != current.peers ||
                               reloaded.reachable_at != current.reachable_at ||
                               reloaded.operators != current.operators ||
                               reloaded.backend_server != current.backend_server ||
                               reloaded.platform != current.platform || reloaded.policy != current.policy;
    reloaded.callers = current.callers;
    reloaded.peers = current.peers;
    reloaded.reachable_at = current.reachable_at;
    reloaded.operators = current.operators;
    reloaded.backend_server = current.backend_server;
    reloaded.platform = current.platform;
    reloaded.policy = current.policy;
    reloaded.seed = current.seed;
    current = std::move(reloaded);
    set_log_level(current.log_level);
    log_event(log_level::info, "settings_reloaded",
              {{"file", this->settings_file}, {"needs_restart", needs_restart ? "yes" : "no"}});
}

void node::parts::check_settings_file() {
    std::error_code failure;
    const auto modified_at = std::filesystem::last_write_time(this->settings_file, failure);
    if (failure || modified_at == this->settings_file_time) {
        return;
    }
    this->settings_file_time = modified_at;
    this->reload();
}

void node::parts::stop(shutdown_event cause) {
    this->shutdown.apply(cause);
    log_event(log_level::info, "shutdown_complete", {{"cause", name_of(cause)}});
    this->loop.stop();
}

node::node(node_settings settings, node_protocols protocols)
    : impl{std::make_unique<parts>(std::move(settings), std::move(protocols))} {}

node::~node() = default;

result<success, node_error> node::start() {
    const auto listening = this->impl->open_sockets();
    if (!succeeded(listening)) {
        return node_error{error_of(listening).message};
    }
    std::signal(SIGPIPE, SIG_IGN);
    for (const int number : {SIGTERM, SIGINT}) {
        this->impl->loop.on_signal(number, [this] { this->request_shutdown(); });
    }
    const auto& settings = this->impl->context.settings;
    log_event(log_level::info, "started",
              {{"data_centre", settings.data_centre},
               {"callers", to_string(settings.callers)},
               {"peers", to_string(settings.reachable_at)},
               {"operators", to_string(settings.operators)},
               {"seed", settings.seed}});
    this->impl->control.start();
    return success{};
}

void node::reload_from(const std::string& file, settings_source source) {
    auto& parts = *this->impl;
    parts.settings_file = file;
    parts.load_settings = std::move(source);
    std::error_code failure;
    const auto modified_at = std::filesystem::last_write_time(file, failure);
    if (!failure) {
        parts.settings_file_time = modified_at;
    }
    parts.loop.on_signal(SIGHUP, [&parts] { parts.reload(); });
    parts.file_check_timer.start_periodic(settings_file_period);
}

void node::run() {
    this->impl->log_flush_timer.start_periodic(log_flush_period);
    this->impl->loop.run();
    flush_log();
}

void node::request_shutdown() {
    this->impl->begin_shutdown();
}

} // namespace chervilturn
