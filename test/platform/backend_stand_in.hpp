// Stand-in for the users' backend servers, with slots, cold starts, load reports, nested calls and faulty
// responses.
#pragma once

#include "chervilturn/core/address.hpp"
#include "chervilturn/core/random.hpp"
#include "chervilturn/transport/http.hpp"
#include "platform/observations.hpp"

#include <list>
#include <memory>
#include <optional>
#include <string>

namespace chervilturn::test {

/// @brief Faults of a response.
enum class answer_fault {
    cut,           // ends before its Content-Length
    garbage,       // bytes that are not HTTP
    extra_bytes,   // bytes after the response
    second_answer, // followed by a response to another request
    foreign,       // replaced by a response to another request
    silent,        // no response, and the connection stays open
    dropped,       // no response, and the connection is closed
    unframed       // complete but without Content-Length; the connection closes after it
};

/// @brief Signature and body of a response. A caller can check with them that the response is complete and
/// belongs to its request.
struct genuine_answer {
    /// @brief Makes the answer of one run of a request, with a body of `size` bytes unless the signature is
    /// longer.
    genuine_answer(const std::string& id, std::uint64_t run, std::size_t size);

    /// @brief Whether a response is the complete answer of any run of the request.
    [[nodiscard]] static bool is_whole(const std::string& id, const http_response& response);

    std::string signature;
    std::string body;
};

/// @brief Location, addresses and capacity of a backend server.
struct backend_options {
    std::string host;
    std::string service;
    std::string data_centre;
    std::string region;
    address listen_address; // on which it listens
    address outbound;       // of the node on its host, for nested calls
    std::uint32_t slots = 6;
    microseconds work = std::chrono::milliseconds{40}; // mean time of a request when warm, without slowdown
    microseconds cold_start = std::chrono::seconds{3};
    std::uint64_t seed = 1;
};

/// @brief One backend server. It reports all requests and cold starts to a watcher.
class backend_stand_in {
  public:
    backend_stand_in(event_loop& shared_loop, backend_watcher& observer,
                     const backend_options& initial_options);
    backend_stand_in(const backend_stand_in&) = delete;
    backend_stand_in& operator=(const backend_stand_in&) = delete;
    ~backend_stand_in();

    /// @brief Starts to listen, under a new name; throws when the address cannot be bound.
    void start(const std::string& name);

    /// @brief Stops at once: ends all requests and closes all connections. Does nothing when stopped.
    void end();

    /// @brief Begins a cold start, in which requests take three times as long.
    void become_cold();

    double slowdown = 1.0;               // factor of the time that requests take
    double fault_share = 0.0;            // share of responses with a fault
    bool closes_connections = false;     // closes the connection after one proper response in four
    bool refuses = false;                // refuses every request as not run
    std::optional<double> stated_rate{}; // requests a second, stated in every response; empty: none
    bool says_leaving = false;           // in every response
    bool fails_probes = false;           // fails probes although it serves requests
    bool passes_probes = false;          // passes probes although it refuses requests

    [[nodiscard]] const std::string& name() const noexcept { return this->id; }
    [[nodiscard]] const backend_options& server_options() const noexcept { return this->options; }
    [[nodiscard]] bool running() const noexcept { return this->listener != nullptr; }

    /// @brief Milliseconds left of the cold start; 0 when warm.
    [[nodiscard]] std::int64_t cold_left_ms() const;

    /// @brief Number of faulty responses.
    [[nodiscard]] std::uint64_t faulty_responses() const noexcept { return this->fault_count; }

  private:
    class connection;
    struct job;

    void accept(int socket);
    void drop_connection(const connection& closed);
    void on_request(connection& client, const http_request& request);
    void run(const std::shared_ptr<job>& next_job);
    void on_work_done(const std::shared_ptr<job>& finished_job);
    void send_nested_call(const std::shared_ptr<job>& calling_job);
    void answer(const std::shared_ptr<job>& finished_job, std::uint16_t status);

    // Removes a job and runs the next one that waits.
    void release(const std::shared_ptr<job>& finished_job);

    // A response with the headers of name and load; without length, the end of the connection ends the body.
    [[nodiscard]] std::string response_text(const std::string& request_id, std::uint16_t status,
                                            const std::string& extra_headers, const std::string& body,
                                            bool has_length) const;

    event_loop* loop;
    backend_watcher* watcher;
    backend_options options;
    random_source random;
    std::string id;
    evconnlistener* listener = nullptr;
    std::list<std::unique_ptr<connection>> connections;
    std::list<std::unique_ptr<connection>> closed_connections; // freed after the event in progress
    wake_up free_closed_connections;
    std::list<std::shared_ptr<job>> jobs;      // that run or wait for a slot
    std::unique_ptr<http_client> nested_calls; // null when stopped
    std::uint32_t running_jobs = 0;
    std::uint64_t run_count = 0;
    std::uint64_t fault_count = 0;
    instant cold_until{};
};

} // namespace chervilturn::test
