// What was sent, answered and run in a case, one line each, in record.txt.
#pragma once

#include "stand_ins-2/http_stream.hpp"

#include <fstream>

namespace review {

/// @brief Writes lines that begin with the milliseconds since the start.
class record_file {
  public:
    explicit record_file(const std::string& path) : stream{path} {}

    void write(const std::string& line) {
        const auto now = steady_clock::now();
        const auto since_start =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - this->start).count();
        const std::lock_guard lock{this->guard};
        this->stream << since_start << " ms " << line << std::endl;
    }

  private:
    std::mutex guard;
    std::ofstream stream;
    time_point start = steady_clock::now();
};

} // namespace review
