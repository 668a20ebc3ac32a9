// The way of one request through the fleet, put together from the logs of many nodes, and why it ended so.
#pragma once

#include "chervilturn/observe/log_line.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace chervilturn {

/// @brief Collects the lines of one request and of the requests that its runs made.
class request_trace {
  public:
    explicit request_trace(std::string wanted) : id{std::move(wanted)} {}

    /// @brief Takes all lines of a log; those that cannot be read are counted.
    void read(std::istream& log);

    /// @brief Whether any line speaks of the request.
    [[nodiscard]] bool found() const noexcept { return !this->lines.empty(); }
    [[nodiscard]] std::size_t unreadable() const noexcept { return this->unreadable_lines; }
    [[nodiscard]] std::size_t dropped_lines() const noexcept { return this->lines_left_out; }

    /// @brief Steps in order of time, what the hosts involved noticed meanwhile, and the cause.
    [[nodiscard]] std::string text() const;

    /// @brief One sentence on why the request ended as it did.
    [[nodiscard]] std::string cause() const;

  private:
    struct position {
        log_line line;
        std::size_t order = 0; // of reading, among lines of one millisecond
    };

    [[nodiscard]] bool concerns(const log_line& line) const;
    [[nodiscard]] std::vector<const log_line*> in_order() const;
    [[nodiscard]] const log_line* last_of(const std::string& request, std::string_view event) const;
    [[nodiscard]] std::string cause_of(const std::string& request) const;
    [[nodiscard]] std::string cause_of_unknown(const std::string& request, const log_line& ended) const;
    [[nodiscard]] std::string failed_child_of(const std::string& request) const;

    std::string id;
    std::vector<position> lines;   // of the request
    std::vector<position> beliefs; // of any host
    std::size_t unreadable_lines = 0;
    std::size_t lines_left_out = 0; // as the nodes reported
    std::size_t read_so_far = 0;
};

} // namespace chervilturn
