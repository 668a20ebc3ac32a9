// Bounding and writing of log lines.
#include "chervilturn/observe/log_buffer.hpp"

#include <algorithm>
#include <cerrno>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

namespace chervilturn {

namespace {

constexpr double burst_seconds = 1.0; // of each rate

[[nodiscard]] token_bucket bucket_of(double rate, instant now) {
    return token_bucket{{.tokens_per_second = rate, .capacity = rate * burst_seconds, .now = now}};
}

[[nodiscard]] bool takes_bytes(int descriptor) {
    pollfd asked{.fd = descriptor, .events = POLLOUT, .revents = 0};
    return poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT) != 0;
}

} // namespace

log_buffer::log_buffer(const log_buffer_options& given)
    : options{given}, ordinary{bucket_of(given.ordinary_lines_per_second, given.now)},
      important{bucket_of(given.important_lines_per_second, given.now)} {}

bool log_buffer::add(std::string line, log_weight weight, instant now) {
    auto& rate = weight == log_weight::important ? this->important : this->ordinary;
    if (!this->has_room(line.size(), weight) || !rate.take(1.0, now)) {
        ++this->left_out_total;
        return false;
    }
    this->held_bytes += line.size();
    this->lines.push_back(std::move(line));
    return true;
}

// A pipe that is ready takes PIPE_BUF bytes without waiting, so no write is longer.
void log_buffer::write_to(int descriptor) {
    while (!this->lines.empty() && takes_bytes(descriptor)) {
        std::string chunk = this->lines.front().substr(this->written);
        for (std::size_t next = 1; next < this->lines.size() && chunk.size() < PIPE_BUF; ++next) {
            chunk += this->lines[next];
        }
        const auto taken = write(descriptor, chunk.data(), std::min<std::size_t>(chunk.size(), PIPE_BUF));
        if (taken <= 0) {
            return;
        }
        auto left = static_cast<std::size_t>(taken);
        this->held_bytes -= left;
        while (left > 0) {
            const auto rest = this->lines.front().size() - this->written;
            if (left < rest) {
                this->written += left;
                break;
            }
            left -= rest;
            this->written = 0;
            this->lines.pop_front();
        }
    }
}

std::uint64_t log_buffer::take_left_out() noexcept {
    const auto since = this->left_out_total - this->left_out_reported;
    this->left_out_reported = this->left_out_total;
    return since;
}

bool log_buffer::has_room(std::size_t size, log_weight weight) const noexcept {
    const auto limit = weight == log_weight::important
                           ? this->options.max_bytes
                           : this->options.max_bytes - this->options.reserved_bytes;
    return this->held_bytes + size <= limit;
}

} // namespace chervilturn
