// Processes and HTTP for scenario scripts.
#include "support/scenario_host.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace chervilturn::test {

namespace {

constexpr int still_running = -1000;

[[nodiscard]] std::string make_folder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "chervilturn-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error{"cannot make a folder for the scenario"};
    }
    return pattern;
}

} // namespace

scenario_host::scenario_host(std::string built) : programs{std::move(built)}, directory{make_folder()} {}

scenario_host::~scenario_host() {
    for (const auto process : this->running) {
        kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
    }
    for (const int socket_held : this->reserved) {
        close(socket_held);
    }
    if (std::getenv("KEEP_SCENARIO_LOGS") == nullptr) {
        std::filesystem::remove_all(this->directory);
    }
}

// A socket that is bound but does not listen keeps the port away from others; SO_REUSEADDR on both sides
// lets the program that is meant to have it listen there.
std::uint16_t scenario_host::reserve_port() {
    const int held = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(held, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(where);
    if (bind(held, reinterpret_cast<const sockaddr*>(&where), size) != 0 ||
        getsockname(held, reinterpret_cast<sockaddr*>(&where), &size) != 0) {
        throw std::runtime_error{"no free port"};
    }
    this->reserved.push_back(held);
    return ntohs(where.sin_port);
}

pid_t scenario_host::spawn(const std::vector<std::string>& arguments, const std::string& log_name) {
    auto words = arguments;
    words.front() = this->programs + '/' + words.front();
    std::vector<char*> raw;
    raw.reserve(words.size() + 1);
    for (auto& word : words) {
        raw.push_back(word.data());
    }
    raw.push_back(nullptr);
    const auto log = this->directory + '/' + log_name;
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t process = 0;
    const int failed = posix_spawn(&process, raw.front(), &actions, nullptr, raw.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error{"cannot start " + words.front()};
    }
    this->running.insert(process);
    return process;
}

void scenario_host::signal(pid_t process, int number) const {
    if (this->running.contains(process)) {
        kill(process, number);
    }
}

int scenario_host::exit_code(pid_t process) {
    if (this->running.contains(process)) {
        int status = 0;
        if (waitpid(process, &status, WNOHANG) != process) {
            return still_running;
        }
        this->running.erase(process);
        this->exit_codes[process] = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    return this->exit_codes.at(process);
}

std::uint64_t scenario_host::start_request(const address& where, const http_request& request,
                                           microseconds timeout) {
    auto& client = this->clients[where];
    if (client == nullptr) {
        client = std::make_unique<http_client>(this->loop, where, http_client_options{});
    }
    const auto number = ++this->requests;
    static_cast<void>(client->send(request, timeout, [this, number](http_result result) {
        this->outcomes.emplace(number, std::move(result));
        this->loop.stop();
    }));
    return number;
}

const http_result* scenario_host::outcome_of(std::uint64_t number) const {
    const auto found = this->outcomes.find(number);
    return found == this->outcomes.end() ? nullptr : &found->second;
}

void scenario_host::pump(microseconds longest) {
    timer limit{this->loop, [this] { this->loop.stop(); }};
    limit.start_once(longest);
    this->loop.run();
}

} // namespace chervilturn::test
