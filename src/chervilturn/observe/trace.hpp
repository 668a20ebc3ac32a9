// Traces one request through the fleet from the logs of many nodes, and explains how it ended.
#pragma once

#include "chervilturn/observe/log_line.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace chervilturn {

/// @brief Collects the log lines of one request and of the child requests sent while it ran. The id of a
/// child starts with the id of its parent and a dot.
class request_trace {
  public:
    explicit request_trace(std::string id) : request_id{std::move(id)} {}

    /// @brief Reads all lines of one log. Call it once for each log; lines that cannot be parsed are counted.
    void read(std::istream& log);

    /// @brief Whether the logs have any line on the request.
    [[nodiscard]] bool found() const noexcept { return !this->lines.empty(); }

    /// @brief Number of lines that were not empty and could not be parsed.
    [[nodiscard]] std::size_t unreadable() const noexcept { return this->unreadable_lines; }

    /// @brief Number of lines that the nodes reported as dropped, on any request.
    [[nodiscard]] std::size_t dropped_lines() const noexcept { return this->dropped_total; }

    /// @brief One line for each step of the request in order of time, with the other events of the hosts
    /// involved, and at the end the cause. Requires found().
    [[nodiscard]] std::string text() const;

    /// @brief One sentence on why the request ended as it did.
    [[nodiscard]] std::string cause() const;

  private:
    struct numbered_line {
        log_line line;
        std::size_t number = 0; // in order of reading; orders lines of the same millisecond
    };

    [[nodiscard]] bool matches(const log_line& line) const;
    [[nodiscard]] std::vector<const log_line*> ordered_lines() const;
    [[nodiscard]] const log_line* last_event(const std::string& request, std::string_view event) const;
    [[nodiscard]] std::string cause_of(const std::string& request) const;
    [[nodiscard]] std::string cause_of_unknown(const std::string& request, const log_line& call_ended) const;
    [[nodiscard]] std::string first_failed_child(const std::string& request) const;

    std::string request_id;
    std::vector<numbered_line> lines;       // of the request and its children
    std::vector<numbered_line> node_events; // of all hosts, not about requests
    std::size_t unreadable_lines = 0;
    std::size_t dropped_total = 0;
    std::size_t lines_read = 0;
};

} // namespace chervilturn
