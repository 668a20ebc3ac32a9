// A small deployment on loopback addresses: store, backends, and one node process beside each backend.
#pragma once

#include "stand_ins-2/backend.hpp"
#include "stand_ins-2/store.hpp"

#include <memory>
#include <sys/types.h>

namespace review {

/// @brief A route of the operator's configuration.
struct route_row {
    std::string name;
    std::string path_prefix;
    std::string kind; // "safe" or "unsafe"
    std::string service;
    int timeout_ms = 3000;
    int target_latency_ms = 1000;
    int max_attempts = 2;
    int priority = 1; // 0 is the highest
};

/// @brief Limits of what clients may send, as in the configuration.
struct client_limits {
    long max_body_bytes = 67'108'864;
    int header_timeout_ms = 3000;
    int idle_timeout_ms = 15'000;
};

/// @brief What the operator configures.
struct deployment {
    std::vector<route_row> routes;
    std::vector<std::string> services;
    client_limits limits;
    double cold_per_s = 35.0;
    bool stale_seeds = false; // the seeds of the nodes' settings are addresses that no node has any more
};

/// @brief A host with its backend and its node.
struct fleet_host {
    std::string name;
    std::string zone;
    std::string region;
    endpoint callers;
    endpoint peers;
    endpoint operators;
    std::unique_ptr<backend_server> backend;
    pid_t node = 0; // process id; 0 when not running
};

/// @brief The host name of all routes.
inline constexpr const char* route_host = "review.example";

/// @brief Starts and stops the processes of a deployment. Ends all of them when destroyed.
class fleet {
  public:
    /// @brief Plans one host for each of the backends, which lie in turn in two zones of two regions. Files
    /// go to `folder`; `repository` holds the programs and the settings template of the deploy file.
    fleet(record_file& written_record, std::string files_folder, std::string repository_folder,
          const std::vector<backend_options>& backends);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    ~fleet();

    /// @brief Starts the store, the backends and the nodes, and waits until all nodes are ready. False when
    /// that fails.
    [[nodiscard]] bool start(const deployment& configured);

    /// @brief Writes a configuration with the next version.
    void configure(const deployment& configured);

    /// @brief Writes the entry of a host's backend. The pages say that an entry changes when more than `seq`
    /// does, so backends that stay as they are write nothing more.
    void register_backend(const fleet_host& host);

    void start_node(fleet_host& host);
    void signal_node(const fleet_host& host, int number);

    /// @brief Waits for the end of a node's process; false when it still runs at the deadline.
    [[nodiscard]] bool wait_for_end(fleet_host& host, time_point deadline);

    [[nodiscard]] bool is_ready(const fleet_host& host);
    [[nodiscard]] bool wait_until_ready(const fleet_host& host, time_point deadline);
    [[nodiscard]] std::vector<fleet_host>& hosts() noexcept { return this->host_list; }
    [[nodiscard]] metadata_store& platform() noexcept { return this->store; }

  private:
    [[nodiscard]] bool choose_addresses();
    [[nodiscard]] std::string settings(const fleet_host& host) const;

    record_file* record;
    std::string folder;
    std::string repository;
    metadata_store store;
    endpoint store_address;
    std::vector<fleet_host> host_list;
    int version = 0;
    bool stale_seeds = false;
    int sequence = 0; // of entries
};

} // namespace review
