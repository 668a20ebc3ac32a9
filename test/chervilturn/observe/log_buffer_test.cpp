// Log lines are bounded, ordinary ones go first, and a reader that has stopped stops nobody.
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

    // Everything that is in the pipe now.
    [[nodiscard]] std::string take() const {
        fcntl(this->read_end, F_SETFL, O_NONBLOCK);
        std::string taken;
        char chunk[4096];
        for (auto got = read(this->read_end, chunk, sizeof(chunk)); got > 0;
             got = read(this->read_end, chunk, sizeof(chunk))) {
            taken.append(chunk, static_cast<std::size_t>(got));
        }
        return taken;
    }
};

} // namespace

TEST_CASE("log lines reach a reader in order and whole") {
    const instant now{1s};
    log_buffer buffer{{.now = now}};
    const pipe_ends ends;
    std::string expected;
    for (int number = 0; number < 2000; ++number) {
        const auto line = "line " + std::to_string(number) + '\n';
        REQUIRE(buffer.add(line, log_weight::ordinary, now));
        expected += line;
    }
    std::string received;
    while (buffer.bytes() > 0) {
        buffer.write_to(ends.write_end);
        received += ends.take();
    }
    CHECK(received == expected);
}

TEST_CASE("a reader that has stopped") {
    const instant now{1s};
    log_buffer buffer{{.max_bytes = 1000,
                       .reserved_bytes = 400,
                       .ordinary_lines_per_second = 1e6,
                       .important_lines_per_second = 1e6,
                       .now = now}};
    const pipe_ends ends;
    fcntl(ends.write_end, F_SETPIPE_SZ, 4096);
    const std::string line(99, 'x');
    // Returns at once though nobody reads, and holds no more than its bound.
    for (int number = 0; number < 10'000; ++number) {
        buffer.add(line + '\n', log_weight::ordinary, now);
        buffer.write_to(ends.write_end);
    }
    CHECK(buffer.bytes() <= 600);
    CHECK(buffer.left_out() > 9000);

    SECTION("costs ordinary lines first") {
        CHECK_FALSE(buffer.add(line + '\n', log_weight::ordinary, now));
        CHECK(buffer.add(line + '\n', log_weight::important, now));
    }
    SECTION("and what was left out is told once") {
        CHECK(buffer.take_left_out() > 0);
        CHECK(buffer.take_left_out() == 0);
    }
}

TEST_CASE("lines of calls that go well are bounded in number") {
    const instant now{1s};
    log_buffer buffer{{.ordinary_lines_per_second = 10.0, .important_lines_per_second = 10.0, .now = now}};
    int taken = 0;
    for (int number = 0; number < 100; ++number) {
        taken += buffer.add("x\n", log_weight::ordinary, now) ? 1 : 0;
    }
    CHECK(taken == 10);
    CHECK(buffer.add("failure\n", log_weight::important, now));
    CHECK(buffer.add("x\n", log_weight::ordinary, now + 1s));
}

} // namespace chervilturn
