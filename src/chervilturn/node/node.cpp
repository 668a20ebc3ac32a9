// Wiring and shutdown of a node.
#include "chervilturn/node/node.hpp"

#include "chervilturn/node/control_task.hpp"
#include "chervilturn/node/entry_task.hpp"
#include "chervilturn/node/operators_task.hpp"
#include "chervilturn/node/owner_task.hpp"
#include "chervilturn/node/peer_client_task.hpp"
#include "chervilturn/node/peer_server_task.hpp"
#include "chervilturn/node/shutdown.hpp"
#include "chervilturn/observe/log.hpp"

#include <csignal>
#include <filesystem>
#include <optional>

namespace chervilturn {

namespace {

constexpr microseconds drain_check_period = std::chrono::milliseconds{20};
constexpr microseconds log_flush_period = std::chrono::milliseconds{20};
constexpr microseconds settings_file_period = std::chrono::seconds{1};
// Peers may still have calls on the way when this node finishes its last one.
constexpr std::uint32_t quiet_checks_before_stop = 10;

[[nodiscard]] node_context make_context(event_loop& loop, node_settings&& settings,
                                        node_protocols&& protocols, metrics& stats,
                                        node_mailboxes& mailboxes) {
    std::random_device device;
    const auto draw = [&device] { return (static_cast<std::uint64_t>(device()) << 32U) | device(); };
    node_context context{.loop = &loop,
                         .settings = std::move(settings),
                         .stats = &stats,
                         .protocols = std::move(protocols),
                         .mailboxes = &mailboxes};
    context.incarnation = draw() | 1U;
    if (context.settings.seed == 0) {
        context.settings.seed = draw();
    }
    return context;
}

} // namespace

struct node::parts {
    parts(node_settings&& settings, node_protocols&& protocols);

    [[nodiscard]] result<success, transport_error> open_sockets();
    void announce_stop();
    void drain();
    void check_drained();
    void reload();
    void check_settings_file();
    void stop(shutdown_event cause);

    event_loop loop;
    metrics stats;
    node_mailboxes mailboxes;
    node_context context;
    control_task control;
    owner_task owner;
    peer_client_task links;
    peer_server_task peers;
    entry_task entry;
    operators_task operators;
    shutdown_machine shutdown;
    instant stop_by{};
    std::uint32_t quiet_checks = 0;
    std::string settings_file; // empty when reloads were not asked for
    settings_source read_settings;
    std::optional<std::filesystem::file_time_type> file_time; // of the settings in force
    timer log_flush;
    timer drain_check;
    timer notice;
    timer file_check;
};

node::parts::parts(node_settings&& settings, node_protocols&& protocols)
    : mailboxes{this->loop}, context{make_context(this->loop, std::move(settings), std::move(protocols),
                                                  this->stats, this->mailboxes)},
      control{this->context}, owner{this->context}, links{this->context}, peers{this->context},
      entry{this->context}, operators{this->context,
                                      [this] {
                                          return this->shutdown.state() == shutdown_state::serving &&
                                                 this->entry.has_settings();
                                      }},
      shutdown{default_shutdown_chart()}, log_flush{this->loop, [] { flush_log(); }},
      drain_check{this->loop, [this] { this->check_drained(); }}, notice{this->loop,
                                                                         [this] { this->drain(); }},
      file_check{this->loop, [this] { this->check_settings_file(); }} {}

result<success, transport_error> node::parts::open_sockets() {
    if (auto opened = this->peers.start(); !succeeded(opened)) {
        return opened;
    }
    if (auto opened = this->entry.start(); !succeeded(opened)) {
        return opened;
    }
    return this->operators.start();
}

// Whoever asks whether this node is ready hears no from now on; calls are taken until the notice is over.
void node::parts::announce_stop() {
    if (this->shutdown.state() != shutdown_state::serving) {
        return;
    }
    const auto& limits = this->context.settings.limits;
    this->shutdown.apply(shutdown_event::stop_requested);
    this->stop_by = now_monotonic() + limits.shutdown_grace;
    log_event(log_level::info, "shutdown_started",
              {{"notice_us", limits.drain_delay.count()}, {"grace_us", limits.shutdown_grace.count()}});
    this->notice.start_once(limits.drain_delay);
}

void node::parts::drain() {
    this->mailboxes.entry.post(shutdown_started{});
    this->mailboxes.owner.post(shutdown_started{});
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

// Addresses, the platform and the policy are only taken at the start; the rest holds from now on.
void node::parts::reload() {
    const auto read = this->read_settings();
    if (!succeeded(read)) {
        log_event(log_level::error, "settings_reload_failed", {{"because", to_string(error_of(read))}});
        return;
    }
    auto& held = this->context.settings;
    auto fresh = value_of(read);
    const bool restart = fresh.callers != held.callers || fresh.peers != held.peers ||
                         fresh.reachable_at != held.reachable_at || fresh.operators != held.operators ||
                         fresh.backend_server != held.backend_server || fresh.platform != held.platform ||
                         fresh.policy != held.policy;
    fresh.callers = held.callers;
    fresh.peers = held.peers;
    fresh.reachable_at = held.reachable_at;
    fresh.operators = held.operators;
    fresh.backend_server = held.backend_server;
    fresh.platform = held.platform;
    fresh.policy = held.policy;
    fresh.seed = held.seed;
    held = std::move(fresh);
    set_log_level(held.log_level);
    log_event(log_level::info, "settings_reloaded",
              {{"file", this->settings_file}, {"needs_restart", restart ? "yes" : "no"}});
}

void node::parts::check_settings_file() {
    std::error_code failure;
    const auto changed_at = std::filesystem::last_write_time(this->settings_file, failure);
    if (failure || changed_at == this->file_time) {
        return;
    }
    this->file_time = changed_at;
    this->reload();
}

void node::parts::stop(shutdown_event cause) {
    this->shutdown.apply(cause);
    log_event(log_level::info, "shutdown_complete", {{"cause", name_of(cause)}});
    this->loop.stop();
}

node::node(node_settings settings, node_protocols protocols)
    : held{std::make_unique<parts>(std::move(settings), std::move(protocols))} {}

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

void node::reload_from(const std::string& file, settings_source source) {
    auto& parts = *this->held;
    parts.settings_file = file;
    parts.read_settings = std::move(source);
    std::error_code failure;
    const auto written_at = std::filesystem::last_write_time(file, failure);
    if (!failure) {
        parts.file_time = written_at;
    }
    parts.loop.on_signal(SIGHUP, [&parts] { parts.reload(); });
    parts.file_check.start_periodic(settings_file_period);
}

void node::run() {
    this->held->log_flush.start_periodic(log_flush_period);
    this->held->loop.run();
    flush_log();
}

void node::request_shutdown() {
    this->held->announce_stop();
}

} // namespace chervilturn
