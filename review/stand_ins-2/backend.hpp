// Stand-in for the users' backend servers.
#pragma once

#include "stand_ins-2/http_stream.hpp"
#include "stand_ins-2/record.hpp"

#include <condition_variable>
#include <map>
#include <random>

namespace review {

/// @brief Capacity of a backend, and what it does at the limit of what the pages allow.
struct backend_options {
    std::string id;
    std::string service;
    endpoint address;
    int slots = 6;
    int queue = 12;              // requests that wait for a slot; any further one is rejected
    bool tells_load = true;      // load header in responses; its health path then responds immediately
    double extra_late_share = 0; // of responses that are sent once more before the connection's next response
    unsigned seed = 1;
};

/// @brief One request that a backend began to work on.
struct backend_run {
    std::string request_id;
    std::string backend;
    time_point at;
};

/// @brief Runs requests that name their work in the path ("/kind/WORK_MS/SIZE"), each for that time, and
/// answers with a body of that size. Goes on with a request whose connection has been closed.
class backend_server {
  public:
    backend_server(record_file& written_record, const backend_options& initial_options)
        : record{&written_record}, options{initial_options}, random{initial_options.seed} {}
    backend_server(const backend_server&) = delete;
    backend_server& operator=(const backend_server&) = delete;
    ~backend_server() { this->stop(); }

    [[nodiscard]] bool start();
    void stop();

    /// @brief Sets the share of responses that are sent again, late.
    void set_extra_late_share(double share);

    /// @brief Is cold from now on, as its health path tells, and ends when more than `most` requests begin to
    /// run in one second of that time.
    void become_cold(std::chrono::milliseconds duration, std::size_t most);

    /// @brief When it ended because it got too many requests while it was cold; nothing when it did not.
    [[nodiscard]] std::optional<time_point> fell_over();

    [[nodiscard]] std::vector<backend_run> runs();
    [[nodiscard]] const backend_options& server_options() const noexcept { return this->options; }

  private:
    void serve(http_connection& connection);
    [[nodiscard]] http_message respond(const http_message& request);
    [[nodiscard]] http_message health();
    [[nodiscard]] http_message run(const http_message& request, time_point deadline);

    // Takes a slot, after waiting for one if the queue has room. False when the request is rejected.
    [[nodiscard]] bool take_slot(time_point deadline);
    void release_slot();
    void add_load(http_message& response);
    [[nodiscard]] bool is_sent_again();

    record_file* record;
    backend_options options;
    http_listener listener;
    std::mutex guard;
    std::condition_variable slot_freed;
    int running = 0;
    int waiting = 0;
    std::atomic<bool> stopping = false;
    std::vector<backend_run> started_runs;
    time_point cold_from;
    time_point cold_until;
    std::size_t most_cold_runs = 0; // in one second
    std::optional<time_point> fell_over_at;
    std::mt19937 random;
};

/// @brief Body of the response to a request, of a given size.
[[nodiscard]] std::string response_body(const std::string& request_id, std::size_t size);

} // namespace review
