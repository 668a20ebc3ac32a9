// What scenario scripts can do: start processes, send signals, speak HTTP, wait for events.
#pragma once

#include "chervilturn/transport/http.hpp"
#include "support/processes.hpp"

#include <map>
#include <string>

namespace chervilturn::test {

/// @brief Processes, reserved ports and HTTP exchanges of one scenario; all processes end with it.
class scenario_host : public processes {
  public:
    explicit scenario_host(std::string programs);

    /// @brief Starts an HTTP request; returns its number.
    [[nodiscard]] std::uint64_t start_request(const address& where, const http_request& request,
                                              microseconds timeout);

    /// @brief The outcome of a request; null while it is in progress.
    [[nodiscard]] const http_result* outcome_of(std::uint64_t number) const;

    /// @brief Handles events until one request ends or a time has passed.
    void pump(microseconds longest);

  private:
    event_loop loop;
    std::map<address, std::unique_ptr<http_client>> clients;
    std::map<std::uint64_t, http_result> outcomes;
    std::uint64_t requests = 0;
};

} // namespace chervilturn::test
