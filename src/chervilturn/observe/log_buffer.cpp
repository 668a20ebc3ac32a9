// Limits the rate and size of buffered log lines and writes them.
#include "chervilturn/observe/log_buffer.hpp"

#include <algorithm>
#include <cerrno>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

namespace chervilturn {

namespace {

constexpr double burst_seconds = 1.0; // capacity of each bucket, in seconds of its rate

[[nodiscard]] token_bucket make_bucket(double rate, instant now) {
    return token_bucket{{.tokens_per_second = rate, .capacity = rate * burst_seconds, .now = now}};
}

[[nodiscard]] bool is_writable(int descriptor) {
    pollfd poll_request{.fd = descriptor, .events = POLLOUT, .revents = 0};
    return poll(&poll_request, 1, 0) == 1 && (poll_request.revents & POLLOUT) != 0;
}

} // namespace

log_buffer::log_buffer(const log_buffer_options& buffer_options)
    : options{buffer_options}, ordinary{make_bucket(buffer_options.ordinary_lines_per_second,
                                                    buffer_options.now)},
      important{make_bucket(buffer_options.important_lines_per_second, buffer_options.now)} {}

bool log_buffer::add(std::string line, log_priority priority, instant now) {
    auto& bucket = priority == log_priority::important ? this->important : this->ordinary;
    if (!this->has_room(line.size(), priority) || !bucket.take(1.0, now)) {
        ++this->dropped_total;
        return false;
    }
    this->buffered_bytes += line.size();
    this->lines.push_back(std::move(line));
    return true;
}

// A writable pipe accepts PIPE_BUF bytes without blocking, so no single write is longer than that.
void log_buffer::write_to(int descriptor) {
    while (!this->lines.empty() && is_writable(descriptor)) {
        std::string chunk = this->lines.front().substr(this->first_line_written);
        for (std::size_t next = 1; next < this->lines.size() && chunk.size() < PIPE_BUF; ++next) {
            chunk += this->lines[next];
        }
        const auto bytes_written =
            write(descriptor, chunk.data(), std::min<std::size_t>(chunk.size(), PIPE_BUF));
        if (bytes_written <= 0) {
            return;
        }
        auto remaining = static_cast<std::size_t>(bytes_written);
        this->buffered_bytes -= remaining;
        while (remaining > 0) {
            const auto unwritten = this->lines.front().size() - this->first_line_written;
            if (remaining < unwritten) {
                this->first_line_written += remaining;
                break;
            }
            remaining -= unwritten;
            this->first_line_written = 0;
            this->lines.pop_front();
        }
    }
}

std::uint64_t log_buffer::take_unreported_drops() noexcept {
    const auto unreported = this->dropped_total - this->dropped_reported;
    this->dropped_reported = this->dropped_total;
    return unreported;
}

bool log_buffer::has_room(std::size_t size, log_priority priority) const noexcept {
    const auto limit = priority == log_priority::important
                           ? this->options.max_bytes
                           : this->options.max_bytes - this->options.reserved_bytes;
    return this->buffered_bytes + size <= limit;
}

} // namespace chervilturn
