// Clients read long answers over a narrow link; the operator shortens the idle timeout of connections.
#include "stand_ins-2/fleet.hpp"

#include <cstdlib>
#include <iostream>

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

constexpr auto time_budget = 60s;
constexpr int client_count = 3;
constexpr int round_count = 2;
constexpr std::size_t download_count = 6; // in both rounds
constexpr std::size_t answer_bytes = 7'500'000;
constexpr double link_bytes_per_second = 1'250'000; // 10 Mbit/s, for all clients together
constexpr int receive_buffer = 64 * 1024;
constexpr int allowed_cuts = 3; // the rule: "more than three times"

/// @brief What became of one answer.
struct download {
    std::string id;
    std::size_t received = 0;
    bool complete = false;
    bool closed = false; // the node ended the connection before the answer was complete
    std::chrono::milliseconds took{};
};

// Reads one answer at an even share of the link.
download run_client(int number, const endpoint& node, record_file& record) {
    download seen{.id = "d" + std::to_string(number)};
    auto connection = http_connection::connect(node, receive_buffer);
    if (!connection) {
        return seen;
    }
    const auto started_at = steady_clock::now();
    connection->write(
        message_text({.start_line = "GET /trail/50/" + std::to_string(answer_bytes) + " HTTP/1.1",
                      .headers = {{"Host", route_host},
                                  {"Chervilturn-Request-Id", seen.id},
                                  {"Chervilturn-Deadline-Ms",
                                   std::to_string(std::chrono::milliseconds{time_budget}.count())}},
                      .body = {}}));
    record.write("client sends " + seen.id);
    const std::string body = response_body(seen.id, answer_bytes);
    std::string text;
    std::string chunk(receive_buffer / 4, '\0');
    std::size_t needed = std::string::npos;
    while (text.size() < needed) {
        const auto read = connection->read_bytes(chunk.data(), chunk.size(), started_at + time_budget);
        if (read <= 0) {
            seen.closed = steady_clock::now() < started_at + time_budget;
            break;
        }
        text.append(chunk, 0, static_cast<std::size_t>(read));
        const auto head_end = text.find("\r\n\r\n");
        if (needed == std::string::npos && head_end != std::string::npos) {
            needed = head_end + 4 + answer_bytes;
        }
        const std::chrono::duration<double> due{static_cast<double>(text.size()) * client_count /
                                                link_bytes_per_second};
        std::this_thread::sleep_until(started_at + std::chrono::duration_cast<steady_clock::duration>(due));
    }
    seen.received = text.size();
    seen.complete = text.size() >= needed && text.ends_with(body);
    seen.took = std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - started_at);
    record.write("client has " + std::to_string(seen.received) + " bytes of " + seen.id +
                 (seen.complete ? ", all, after "
                  : seen.closed ? ", then the node closed, after "
                                : ", after ") +
                 std::to_string(seen.took.count()) + " ms");
    return seen;
}

int run_case(const std::string& folder, const std::string& record_path, bool trouble) {
    record_file record{record_path};
    std::vector<backend_options> backends;
    for (int index = 1; index <= 4; ++index) {
        backends.push_back({.id = "i-trail-" + std::to_string(index),
                            .service = "trail",
                            .address = {},
                            .seed = static_cast<unsigned>(index)});
    }
    fleet deployed{record, folder, ".", backends};
    deployment configured{.routes = {{.name = "trail",
                                      .path_prefix = "/trail/",
                                      .kind = "safe",
                                      .service = "trail",
                                      .timeout_ms = 60'000,
                                      .target_latency_ms = 30'000}},
                          .services = {"trail"},
                          .limits = {}};
    if (!deployed.start(configured)) {
        std::cerr << "the deployment did not start\n";
        return exit_not_run;
    }
    std::this_thread::sleep_for(5s);
    const auto& node = deployed.hosts().front().callers;
    std::vector<download> downloads(download_count);
    for (int round = 0; round < round_count; ++round) {
        std::vector<std::thread> clients;
        for (int number = round * client_count; number < (round + 1) * client_count; ++number) {
            clients.emplace_back([&, number] {
                downloads[static_cast<std::size_t>(number)] = run_client(number + 1, node, record);
            });
        }
        if (trouble && round == 0) {
            std::this_thread::sleep_for(2s);
            configured.limits.idle_timeout_ms = 5000;
            deployed.configure(configured);
        }
        for (auto& client : clients) {
            client.join();
        }
    }
    int whole = 0;
    int cut = 0;
    for (const auto& seen : downloads) {
        whole += seen.complete ? 1 : 0;
        cut += seen.closed && !seen.complete ? 1 : 0;
    }
    std::cout << "whole answers " << whole << ", cut by the node " << cut << '\n';
    record.write("LOST: " + std::to_string(cut) + " answers");
    if (whole + cut < static_cast<int>(download_count)) {
        return exit_not_run;
    }
    return cut > allowed_cuts ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        std::cerr << "usage: case FOLDER RECORD\n";
        return exit_not_run;
    }
    const char* trouble = std::getenv("TROUBLE");
    return run_case(argv[1], argv[2], trouble == nullptr || std::string{trouble} != "0");
}
