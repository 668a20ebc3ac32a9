// The log buffer limits size and rate, drops ordinary lines first, and never blocks on a slow reader.
#include "chervilturn/observe/log_buffer.hpp"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

namespace chervilturn {

using namespace std::chrono_literals;

namespace {

struct pipe_ends {
    int read_end = -1;
    int write_end = -1;

    pipe_ends() {
        int ends[2];
        REQUIRE(pipe(ends) == 0);
        this->read_end = ends[0];
        this->write_end = ends[1];
    }
    pipe_ends(const pipe_ends&) = delete;
    pipe_ends& operator=(const pipe_ends&) = delete;
    ~pipe_ends() {
        close(this->read_end);
        close(this->write_end);
    }

    // Reads everything that is in the pipe now.
    [[nodiscard]] std::string read_available() const {
        fcntl(this->read_end, F_SETFL, O_NONBLOCK);
        std::string received;
        char chunk[4096];
        for (auto length = read(this->read_end, chunk, sizeof(chunk)); length > 0;
             length = read(this->read_end, chunk, sizeof(chunk))) {
            received.append(chunk, static_cast<std::size_t>(length));
        }
        return received;
    }
};

} // namespace

TEST_CASE("a reader receives log lines complete and in order") {
    const instant now{1s};
    log_buffer buffer{{.now = now}};
    const pipe_ends ends;
    std::string expected;
    for (int number = 0; number < 2000; ++number) {
        const auto line = "line " + std::to_string(number) + '\n';
        REQUIRE(buffer.add(line, log_priority::ordinary, now));
        expected += line;
    }
    std::string received;
    while (buffer.bytes() > 0) {
        buffer.write_to(ends.write_end);
        received += ends.read_available();
    }
    CHECK(received == expected);
}

TEST_CASE("a reader that stops reading does not block the writer") {
    const instant now{1s};
    log_buffer buffer{{.max_bytes = 1000,
                       .reserved_bytes = 400,
                       .ordinary_lines_per_second = 1e6,
                       .important_lines_per_second = 1e6,
                       .now = now}};
    const pipe_ends ends;
    fcntl(ends.write_end, F_SETPIPE_SZ, 4096);
    const std::string line(99, 'x');
    // write_to returns at once although nothing is read, and the buffer stays within its limit.
    for (int number = 0; number < 10'000; ++number) {
        buffer.add(line + '\n', log_priority::ordinary, now);
        buffer.write_to(ends.write_end);
    }
    CHECK(buffer.bytes() <= 600);
    CHECK(buffer.dropped_lines() > 9000);

    SECTION("ordinary lines are dropped first") {
        CHECK_FALSE(buffer.add(line + '\n', log_priority::ordinary, now));
        CHECK(buffer.add(line + '\n', log_priority::important, now));
    }
    SECTION("dropped lines are reported once") {
        CHECK(buffer.take_unreported_drops() > 0);
        CHECK(buffer.take_unreported_drops() == 0);
    }
}

TEST_CASE("the rate of ordinary lines is limited") {
    const instant now{1s};
    log_buffer buffer{{.ordinary_lines_per_second = 10.0, .important_lines_per_second = 10.0, .now = now}};
    int added_lines = 0;
    for (int number = 0; number < 100; ++number) {
        added_lines += buffer.add("x\n", log_priority::ordinary, now) ? 1 : 0;
    }
    CHECK(added_lines == 10);
    CHECK(buffer.add("failure\n", log_priority::important, now));
    CHECK(buffer.add("x\n", log_priority::ordinary, now + 1s));
}

} // namespace chervilturn
