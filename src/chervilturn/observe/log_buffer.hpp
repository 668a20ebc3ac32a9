// Log lines on their way to standard output: bounded, and never waited for.
#pragma once

#include "chervilturn/core/time.hpp"
#include "chervilturn/core/token_bucket.hpp"

#include <cstdint>
#include <deque>
#include <string>

namespace chervilturn {

/// @brief Bounds on the lines of one process.
struct log_buffer_options {
    std::size_t max_bytes = 512UL * 1024;       // held for a reader that is slow
    std::size_t reserved_bytes = 128UL * 1024;  // of these, for important lines alone
    double ordinary_lines_per_second = 3000.0;  // lines of calls that go well; further ones are left out
    double important_lines_per_second = 1000.0; // failures and beliefs; further ones are left out
    instant now{};
};

/// @brief How a line fares when there are too many: ordinary ones are the first to go.
enum class log_weight { ordinary, important };

/// @brief Holds lines until they are written. Lines that are left out are counted, and a line says so.
class log_buffer {
  public:
    explicit log_buffer(const log_buffer_options& options);

    /// @brief Takes a line with its end of line; false when it is left out.
    bool add(std::string line, log_weight weight, instant now);

    /// @brief Writes what a descriptor takes without waiting. A partly written line goes on next time.
    void write_to(int descriptor);

    [[nodiscard]] std::size_t bytes() const noexcept { return this->held_bytes; }
    [[nodiscard]] std::uint64_t left_out() const noexcept { return this->left_out_total; }

    /// @brief Lines left out since this was asked last.
    [[nodiscard]] std::uint64_t take_left_out() noexcept;

  private:
    [[nodiscard]] bool has_room(std::size_t size, log_weight weight) const noexcept;

    log_buffer_options options;
    token_bucket ordinary;
    token_bucket important;
    std::deque<std::string> lines;
    std::size_t written = 0;    // bytes of the first line that are written
    std::size_t held_bytes = 0; // not yet written
    std::uint64_t left_out_total = 0;
    std::uint64_t left_out_reported = 0;
};

} // namespace chervilturn
