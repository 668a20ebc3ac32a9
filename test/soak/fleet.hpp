// The hosts of a soak: node processes, relays in front of them, backend servers, and the metadata store.
#pragma once

#include "invariant_checker.hpp"
#include "platform/backend_stand_in.hpp"
#include "platform/store_stand_in.hpp"
#include "stand_ins/relay.hpp"
#include "support/processes.hpp"

#include <deque>

namespace chervilturn::soak {

/// @brief Host name that all routes match.
inline constexpr const char* route_host = "soak.example";

/// @brief Size of a fleet and the files and bounds that it uses.
struct fleet_options {
    std::size_t hosts = 16;
    std::string settings_template; // path of the template of the nodes' settings
    std::uint64_t seed = 1;
    bounds limits;
};

/// @brief One host: a node, the relay in front of it, and its backend server.
struct host {
    std::string name;
    std::string data_centre;
    std::string region;
    std::string service;         // of its backend server
    address caller_address;      // at which its node accepts the requests of callers
    address operator_address;    // of its readiness endpoint
    address store_address;       // at which the store serves this host
    address relay_address;       // of the relay, at which other nodes reach it
    address peer_address;        // at which its node accepts connections of the relay
    pid_t process = 0;           // of its node; 0 while none runs
    std::uint32_t lifetime = 0;  // number of starts of its node
    bool stop_requested = false; // by SIGTERM, for the current process
    instant stop_requested_at{};
    bool killed = false;     // by SIGKILL from the soak, for the current process
    bool recovering = false; // from the end of a process until the next one is ready
    instant restart_at{};    // earliest start of the next process
    std::unique_ptr<test::backend_stand_in> server;
    bool draining = false;            // its backend server
    std::uint32_t entry_sequence = 0; // of the entry of its backend server in the store
    std::int64_t clock_error_ms = 0;  // added to the start time in that entry
    std::unique_ptr<stand_ins::relay_stand_in> relay;
    std::unique_ptr<http_client> readiness; // client of the readiness endpoint
};

/// @brief Starts and stops nodes and backend servers, and writes configurations to the store.
class fleet {
  public:
    fleet(event_loop& loop, invariant_checker& checker, test::processes& process_runner,
          const fleet_options& values);

    /// @brief Starts all nodes and backend servers. Does not wait until they are ready.
    void start();

    [[nodiscard]] std::deque<host>& hosts() noexcept { return this->host_list; }
    [[nodiscard]] test::store_stand_in& store() noexcept { return this->metadata_store; }
    [[nodiscard]] const std::vector<std::string>& data_centres() const noexcept {
        return this->data_centre_names;
    }

    /// @brief Whether the latest readiness check of every node succeeded.
    [[nodiscard]] bool all_ready() const noexcept;

    /// @brief Starts the node of a host if no process runs. A node whose process ended is restarted
    /// automatically.
    void start_node(host& member);
    /// @brief Asks a node to stop, by SIGTERM.
    void stop_node(host& member);
    void kill_node(host& member);
    void pause_node(const host& member);
    void resume_node(const host& member);

    /// @brief Writes the settings file of a node with a random log level; truncates it unless `readable`.
    void write_settings(const host& member, bool readable);
    /// @brief Sends SIGHUP, on which a node reloads its settings.
    void signal_reload(const host& member);

    void start_server(host& member, bool cold);
    /// @brief Ends a backend server at once. Its connections break.
    void crash_server(host& member);
    /// @brief Marks a backend server as draining in the store. It continues to serve.
    void drain_server(host& member);

    /// @brief Writes the next version of the configuration to the store, if the store is reachable.
    void publish_configuration();
    void evacuate(const std::string& data_centre);
    void end_evacuation(const std::string& data_centre);
    /// @brief Writes again what a restored store may lack: the latest configuration, evacuations and entries.
    /// Entries of backend servers that ended are removed after the usual number of heartbeats.
    void write_again();
    /// @brief Whether the soak itself can write entries and configurations.
    void set_store_reachable(bool reachable) { this->store_reachable = reachable; }

    /// @brief Asks all nodes to stop and restarts none.
    void stop_all();

    /// @brief Latest version of the configuration; 0 before the first.
    [[nodiscard]] std::uint32_t version() const noexcept { return this->current_version; }
    /// @brief First version of the configuration without the route that `version` added.
    [[nodiscard]] static std::uint32_t dropped_in(std::uint32_t version) noexcept;

    /// @brief Number of nodes with a running process.
    [[nodiscard]] std::size_t running() const noexcept;

  private:
    /// A backend server that ended and whose entry is still in the store.
    struct ended_server {
        std::string name;
        std::uint32_t missed_heartbeats = 0;
    };

    void add_host(std::size_t index);
    void write_server_entry(host& member);
    /// Rewrites the entries of running backend servers and removes those of ended ones after some heartbeats.
    void heartbeat();
    void poll_readiness();
    void check_processes();
    void on_process_ended(host& member, int code);
    [[nodiscard]] std::string settings_text(const host& member, const std::string& log_level) const;

    event_loop* loop;
    invariant_checker* checker;
    test::processes* node_processes;
    fleet_options options;
    random_source random;
    std::vector<std::string> data_centre_names;
    std::deque<host> host_list;
    test::store_stand_in metadata_store;
    bool store_reachable = true;
    bool shutting_down = false;
    std::vector<ended_server> ended_servers;
    std::uint32_t current_version = 0;
    std::string current_config;        // text of that version
    std::set<std::string> evacuated;   // data centres
    std::uint64_t started_servers = 0; // makes names of backend servers unique
    std::set<std::string> ready_hosts; // hosts whose latest readiness check succeeded
    timer heartbeat_timer;
    timer readiness_timer;
    timer process_timer;
};

} // namespace chervilturn::soak
