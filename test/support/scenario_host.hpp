// Processes, ports and HTTP requests that scenario scripts use.
#pragma once

#include "chervilturn/transport/http.hpp"
#include "support/crowd.hpp"
#include "support/processes.hpp"

#include <map>
#include <string>

namespace chervilturn::test {

/// @brief The processes, reserved ports and HTTP requests of one scenario. Its processes are killed when it
/// is destroyed.
class scenario_host : public processes {
  public:
    explicit scenario_host(std::string build_folder);

    /// @brief Starts an HTTP request; returns the number by which result_of finds it.
    [[nodiscard]] std::uint64_t start_request(const address& server, const http_request& request,
                                              microseconds timeout);

    /// @brief The response to a request or its failure; null while the request is in progress.
    [[nodiscard]] const http_result* result_of(std::uint64_t number) const;

    /// @brief Starts a crowd; returns the number by which crowd_of finds it.
    [[nodiscard]] std::uint64_t start_crowd(crowd_options options);

    [[nodiscard]] const crowd& crowd_of(std::uint64_t number) const { return *this->crowds.at(number); }

    /// @brief Ends the connections of a crowd.
    void end_crowd(std::uint64_t number) { this->crowds.erase(number); }

    /// @brief Runs the event loop until any request ends or max_duration has passed.
    void run_events(microseconds max_duration);

  private:
    event_loop loop;
    std::map<address, std::unique_ptr<http_client>> clients;
    std::map<std::uint64_t, http_result> results;
    std::map<std::uint64_t, std::unique_ptr<crowd>> crowds;
    std::uint64_t last_number = 0;
};

} // namespace chervilturn::test
