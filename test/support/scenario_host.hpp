// What scenario scripts can do: start processes, send signals, speak HTTP, wait for events.
#pragma once

#include "chervilturn/transport/http.hpp"

#include <map>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace chervilturn::test {

/// @brief Processes, reserved ports and HTTP exchanges of one scenario; all processes end with it.
class scenario_host {
  public:
    explicit scenario_host(std::string programs);
    scenario_host(const scenario_host&) = delete;
    scenario_host& operator=(const scenario_host&) = delete;
    ~scenario_host();

    /// @brief A loopback port from the kernel, reserved while the scenario runs.
    [[nodiscard]] std::uint16_t reserve_port();

    /// @brief Starts a program of the build; its output goes to a file of the scenario's folder.
    [[nodiscard]] pid_t spawn(const std::vector<std::string>& arguments, const std::string& log_name);

    void signal(pid_t process, int number) const;

    /// @brief The exit code once the process has ended, or minus the signal that ended it; -1000 before.
    [[nodiscard]] int exit_code(pid_t process);

    /// @brief Starts an HTTP request; returns its number.
    [[nodiscard]] std::uint64_t start_request(const address& where, const http_request& request,
                                              microseconds timeout);

    /// @brief The outcome of a request; null while it is in progress.
    [[nodiscard]] const http_result* outcome_of(std::uint64_t number) const;

    /// @brief Handles events until one request ends or a time has passed.
    void pump(microseconds longest);

    [[nodiscard]] const std::string& folder() const noexcept { return this->directory; }

  private:
    std::string programs;
    std::string directory;
    event_loop loop;
    std::map<address, std::unique_ptr<http_client>> clients;
    std::map<std::uint64_t, http_result> outcomes;
    std::uint64_t requests = 0;
    std::vector<int> reserved; // bound sockets that hold ports
    std::set<pid_t> running;
    std::map<pid_t, int> exit_codes;
};

} // namespace chervilturn::test
