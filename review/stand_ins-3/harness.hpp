// Stand-ins for the users' platform, backend servers and clients, and the processes of a small deployment.
// Each object runs on threads of its own; the test's main thread plays the script.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;
using headers = std::vector<std::pair<std::string, std::string>>;

/// @brief Exit statuses of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/// @brief Milliseconds since the start of the case.
[[nodiscard]] double now_ms();

void sleep_ms(double milliseconds_to_wait);

/// @brief Writes record.txt: one line an event, with the time since the start.
class record {
  public:
    explicit record(const std::string& path);
    record(const record&) = delete;
    record& operator=(const record&) = delete;
    ~record();

    void line(const std::string& text);

  private:
    std::mutex guard;
    std::FILE* file;
};

/// @brief One HTTP/1.1 message.
struct message {
    std::string method; // of a request
    std::string target; // of a request
    int status = 0;     // of a response
    headers fields;
    std::string body;

    /// @brief The value of a header, by its name in any case; empty when there is none.
    [[nodiscard]] std::string get(const std::string& name) const;
};

/// @brief How reading a message ended.
enum class read_end { complete, closed, timed_out };

/// @brief A connected TCP socket with blocking calls and time-outs.
class connection {
  public:
    explicit connection(int connected_socket) : socket{connected_socket} {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();

    /// @brief Connects within a second; null on failure.
    [[nodiscard]] static std::shared_ptr<connection> open(const std::string& ip, int port);

    /// @brief Reads a message whose body has a length, or none.
    [[nodiscard]] read_end read(message& received, double timeout_ms, bool head_only = false);
    bool write(const std::string& bytes);
    /// @brief Whether the peer has closed the connection, or has sent bytes.
    [[nodiscard]] bool has_input() const;
    void close();
    /// @brief Closes with a reset.
    void reset();
    /// @brief Ends blocked calls of other threads.
    void shut_down() const;

  private:
    int socket;
    std::string buffered;
};

using connection_pointer = std::shared_ptr<connection>;

[[nodiscard]] std::string format_request(const message& request);
[[nodiscard]] std::string format_response(int status, const headers& fields, const std::string& body);

/// @brief Accepts connections and runs a handler for each on a thread of its own.
class listener {
  public:
    using handler = std::function<void(const connection_pointer&)>;

    listener(const std::string& ip, int port, handler on_accepted);
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    ~listener();

    /// @brief Whether it listens.
    [[nodiscard]] bool open() const noexcept { return this->socket >= 0; }
    /// @brief Closes the socket and all connections.
    void stop();

  private:
    void accept_all();

    handler on_connection;
    int socket = -1;
    std::atomic<bool> stopping = false;
    std::mutex guard;
    std::vector<std::weak_ptr<connection>> connections;
    std::vector<std::thread> workers;
    std::thread acceptor;
};

/// @brief A port that is free on all loopback addresses that a case uses.
[[nodiscard]] int free_port();

/// @brief The platform's store: items with revisions, range and watch.
class store {
  public:
    store(const std::string& ip, int port);

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    void stop() { this->server.stop(); }
    /// @brief While paused, every call is reset.
    void pause(bool pauses) { this->paused = pauses; }
    [[nodiscard]] bool open() const noexcept { return this->server.open(); }

  private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };

    void serve(const connection_pointer& client);
    [[nodiscard]] std::string range(const std::string& after);
    [[nodiscard]] std::string watch(std::uint64_t after, double wait_ms);

    std::mutex guard;
    std::condition_variable changed;
    std::map<std::string, item> items;
    std::uint64_t revision = 100;
    std::atomic<bool> paused = false;
    listener server;
};

/// @brief Arrival of a request at a backend server.
struct arrival {
    double at_ms = 0;
    std::string id;
    std::string path;
    std::string server;
    bool ran = false;
};

/// @brief Options of a backend server.
struct backend_options {
    std::string name{}; // its id
    std::string ip{};
    int port = 0;
    int slots = 6;
    int queue = 12; // requests that wait for a slot; others are refused
    double work_ms = 30;
    // Its responses tell no load, and status checks wait for a slot, or are rejected, like any other request.
    bool tells_load = true;
};

/// @brief A sound backend server as PROTOCOL.md describes it.
class backend {
  public:
    explicit backend(const backend_options& backend_settings);
    ~backend() { this->stop(); }
    backend(const backend&) = delete;
    backend& operator=(const backend&) = delete;

    /// @brief Makes it cold for a time.
    void become_cold(double cold_ms);
    [[nodiscard]] bool is_cold() const;
    [[nodiscard]] std::vector<arrival> arrivals();
    [[nodiscard]] bool open() const noexcept { return this->server.open(); }
    /// @brief From now on rejections of status checks are sent once more, late, where the response to the
    /// next request on their connection is expected, up to a share of all answers since this call; 0 ends it.
    void double_rejections(double share);
    /// @brief Second copies sent so far, and all answers.
    [[nodiscard]] std::pair<int, int> doubled() const { return {this->copies, this->answers}; }
    void set_draining(bool drains) { this->draining = drains; }
    void stop();

    /// @brief Called in place of the usual answer to a request that runs; returns false to go on as usual.
    std::function<bool(const message&, const connection_pointer&)> instead;

  private:
    void serve(const connection_pointer& client);
    [[nodiscard]] std::string health() const;
    [[nodiscard]] std::string load() const;
    [[nodiscard]] std::string run(const message& request, const connection_pointer& client);
    [[nodiscard]] std::string check_in_turn();
    // Waits for a slot until a time; false when the request is rejected. The lock is held.
    [[nodiscard]] bool take_slot(std::unique_lock<std::mutex>& lock, double until);
    void free_slot();
    [[nodiscard]] bool may_double();

    backend_options options;
    std::mutex guard;
    std::condition_variable slot_free;
    std::vector<arrival> log;
    std::atomic<int> running = 0;
    std::atomic<int> waiting = 0;
    std::atomic<double> cold_until_ms = 0;
    std::atomic<bool> draining = false;
    std::atomic<bool> stopping = false;
    std::atomic<double> copy_share = 0;
    std::atomic<int> copies = 0; // since the last call of double_rejections
    std::atomic<int> answers = 0;
    listener server;
};

/// @brief What a client saw of one request.
struct outcome {
    std::string id;
    double sent_at_ms = 0;
    double ended_at_ms = 0;
    int status = 0; // 0: the connection ended or nothing came in time
    std::string how;
    message response;
};

/// @brief Sends one request and waits for its answer.
[[nodiscard]] outcome send_request(const connection_pointer& client, const message& request,
                                   const std::string& id, double deadline_ms);

/// @brief One process of the project.
class node {
  public:
    node(std::string program, std::string settings_file, std::string log_file)
        : path{std::move(program)}, settings{std::move(settings_file)}, log{std::move(log_file)} {}
    ~node() { this->end(); }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    bool start();
    void signal(int number) const;
    /// @brief Whether the process has ended by itself.
    [[nodiscard]] bool has_ended();
    /// @brief Kills the process and waits for its end.
    void end();
    [[nodiscard]] pid_t id() const noexcept { return this->process; }

  private:
    std::string path;
    std::string settings;
    std::string log;
    pid_t process = -1;
};

/// @brief Places and bounds of a small deployment; the bounds are those of sites/tvr-mesh.toml.
struct host_options {
    std::string name;
    std::string ip{};
    std::string zone;
    std::string service;
    std::string seeds; // JSON list items
};

struct ports {
    int callers = 0;
    int peers = 0;
    int operators = 0;
    int backend = 0;
    int store = 0;
};

/// @brief The settings file of a node: deploy/node.json with its fields filled in.
[[nodiscard]] std::string node_settings(const host_options& host, const ports& used,
                                        const std::string& store_ip, const std::string& zones_json);

/// @brief The store's entry of a backend server.
[[nodiscard]] std::string server_entry(const std::string& service, const std::string& address,
                                       const std::string& zone, int slots, const std::string& state, int seq);

void write_file(const std::string& path, const std::string& text);

/// @brief Whether GET /ready of a node answers 200 within a time.
[[nodiscard]] bool wait_ready(const std::string& ip, int port, double timeout_ms);

/// @brief A new folder for settings and logs, removed at the end.
class temporary_folder {
  public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    [[nodiscard]] const std::string& path() const noexcept { return this->folder; }

  private:
    std::string folder;
};

/// @brief Nodes and backend servers of one service, `svc-a`: host number N has the address 127.0.0.N, the
/// node `node-N` and the backend server `i-N`. The store is at 127.0.0.9.
struct deployment {
    /// @brief Starts all of them, and returns when every node is ready; false if one is not.
    [[nodiscard]] bool start(int hosts, const std::string& program, const std::string& config,
                             const backend_options& server_options);
    /// @brief Whether the node of a host reads the store, by its status page.
    [[nodiscard]] bool is_reader(int host) const;
    [[nodiscard]] static std::string ip_of(int host) { return "127.0.0." + std::to_string(host); }
    [[nodiscard]] static std::string key_of(int host) { return "servers/i-" + std::to_string(host); }

    bool zone_each = false; // each host in a zone and region of its own, at most three; else all in one zone
    temporary_folder folder;
    ports used{.callers = free_port(),
               .peers = free_port(),
               .operators = free_port(),
               .backend = free_port(),
               .store = free_port()};
    store platform{"127.0.0.9", used.store};
    std::vector<std::unique_ptr<backend>> backends;
    std::vector<std::unique_ptr<node>> nodes;
};

/// @brief The value of TROUBLE is not 0.
[[nodiscard]] bool with_trouble();

} // namespace review
