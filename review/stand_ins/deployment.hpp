// A small deployment on loopback addresses: the platform's store as a stand-in, and the project's nodes as
// processes with the command and the settings template of the deploy file.
#pragma once

#include "http.hpp"

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// @brief What a case sends, answers and runs: lines in record.txt, and checks of its own.
class record {
  public:
    explicit record(const std::string& file);

    void add(const std::string& line);

  private:
    std::mutex guard;
    std::ofstream stream;
    steady::time_point start = steady::now();
};

/// @brief The platform's store: ranges and watches over HTTP/1.1, with one revision counter.
class store {
  public:
    explicit store(const endpoint& where);

    void put(const std::string& key, const std::string& value);

  private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };

    void serve(connection& client);
    [[nodiscard]] std::string range(const std::map<std::string, std::string>& query);
    [[nodiscard]] std::string watch(const std::map<std::string, std::string>& query);

    std::mutex guard;
    std::condition_variable changed;
    std::map<std::string, item> items;
    std::uint64_t revision = 1;
    server listener;
};

/// @brief A machine with one backend and one node beside it.
struct machine {
    std::string name;
    std::string zone;
    std::string service;
    std::string ip;
};

/// @brief Ports of all machines; the same on each.
struct machine_ports {
    std::uint16_t app = 0;
    std::uint16_t outbound = 0;
    std::uint16_t ready = 0;
    std::uint16_t control = 0;
};

/// @brief Settings of the deployment that the template of the deploy file takes.
struct deployment_options {
    std::string program;       // of the deploy file's `run`, built into target/
    std::string template_file; // of the deploy file's `template`
    std::string folder;        // temporary: settings files and logs
    std::vector<machine> machines;
    std::map<std::string, std::string> zones; // region of each
    endpoint store_address;
    machine_ports ports;
    int grace_s = 6;
};

/// @brief Starts, signals and ends the nodes. It ends all of them with the case.
class deployment {
  public:
    explicit deployment(deployment_options chosen);
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    ~deployment() { this->end_all(); }

    void start(const machine& which);
    void signal(const machine& which, int number);

    /// @brief Waits for the end of a node's process and returns its wait status.
    [[nodiscard]] int wait_for_end(const machine& which);

    /// @brief Kills all nodes that run and waits for their ends.
    void end_all();

    /// @brief Whether a node's process still runs.
    [[nodiscard]] bool is_running(const machine& which);

    /// @brief Resident memory of a node's process in bytes; 0 when it does not run.
    [[nodiscard]] std::size_t resident_bytes(const machine& which) const;

    /// @brief Whether all nodes answer 200 at their ready address before a time.
    [[nodiscard]] bool wait_until_ready(steady::time_point until) const;

    [[nodiscard]] endpoint outbound(const machine& which) const {
        return {which.ip, this->options.ports.outbound};
    }
    [[nodiscard]] endpoint app(const machine& which) const { return {which.ip, this->options.ports.app}; }
    [[nodiscard]] const deployment_options& chosen() const noexcept { return this->options; }

  private:
    [[nodiscard]] std::string settings_text(const machine& which) const;

    deployment_options options;
    std::map<std::string, pid_t> processes; // by machine
};

/// @brief The entry with which a backend registers itself in the store.
[[nodiscard]] std::string registration(const endpoint& app, const machine& which, int slots);

/// @brief One route of the operator's configuration.
struct route_row {
    std::string name;
    std::string prefix;
    std::string kind; // safe or unsafe
    int timeout_ms = 0;
    int target_latency_ms = 0;
    std::string service;
    int max_attempts = 2;
};

/// @brief The operator's configuration: routes of one host, the services and the limits of clients.
[[nodiscard]] std::string configuration(const std::string& host, const std::vector<route_row>& routes,
                                        const std::vector<std::string>& services, int idle_timeout_ms);

/// @brief Ends the nodes and then this process, whose detached threads still use the stand-ins.
[[noreturn]] void finish(deployment& nodes, int exit_status);

/// @brief Whether the disruption of the case is played: not with TROUBLE=0.
[[nodiscard]] bool has_trouble();

} // namespace review
