// A bounded buffer of log lines that are written to a descriptor without blocking.
#pragma once

#include "chervilturn/core/time.hpp"
#include "chervilturn/core/token_bucket.hpp"

#include <cstdint>
#include <deque>
#include <string>

namespace chervilturn {

/// @brief Limits on the log lines of one process.
struct log_buffer_options {
    std::size_t max_bytes = 512UL * 1024;       // buffered while the reader is slow
    std::size_t reserved_bytes = 128UL * 1024;  // part of max_bytes that only important lines may use
    double ordinary_lines_per_second = 3000.0;  // lines of normal calls; further ones are dropped
    double important_lines_per_second = 1000.0; // warnings and events of the node; further ones are dropped
    instant now{};
};

/// @brief Priority of a line. When the buffer fills up, ordinary lines are dropped first.
enum class log_priority { ordinary, important };

/// @brief Holds lines until they are written, and counts the lines that it drops.
class log_buffer {
  public:
    explicit log_buffer(const log_buffer_options& options);

    /// @brief Adds a line, which includes its line break. Returns false when the line is dropped: its rate
    /// limit is reached or the buffer is full.
    bool add(std::string line, log_priority priority, instant now);

    /// @brief Writes as many lines as the descriptor accepts without blocking. The rest of a partly written
    /// line is written by the next call.
    void write_to(int descriptor);

    /// @brief Bytes that are not written yet.
    [[nodiscard]] std::size_t bytes() const noexcept { return this->buffered_bytes; }

    /// @brief Lines dropped since construction.
    [[nodiscard]] std::uint64_t dropped_lines() const noexcept { return this->dropped_total; }

    /// @brief Lines dropped since the previous call of this function.
    [[nodiscard]] std::uint64_t take_unreported_drops() noexcept;

  private:
    [[nodiscard]] bool has_room(std::size_t size, log_priority priority) const noexcept;

    log_buffer_options options;
    token_bucket ordinary;
    token_bucket important;
    std::deque<std::string> lines;
    std::size_t first_line_written = 0; // bytes of the first line that are written already
    std::size_t buffered_bytes = 0;     // not yet written
    std::uint64_t dropped_total = 0;
    std::uint64_t dropped_reported = 0;
};

} // namespace chervilturn
