// Processes, ports and output of a test.
#include "support/processes.hpp"

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

[[nodiscard]] std::string make_folder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "chervilturn-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error{"cannot make a folder for the output of processes"};
    }
    return pattern;
}

} // namespace

processes::processes(std::string built) : programs{std::move(built)}, directory{make_folder()} {}

processes::~processes() {
    for (const auto process : this->running) {
        kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
    }
    for (const int socket_held : this->reserved) {
        close(socket_held);
    }
    if (!this->folder_kept && std::getenv("KEEP_SCENARIO_LOGS") == nullptr) {
        std::filesystem::remove_all(this->directory);
    }
}

// A socket that is bound but does not listen keeps the port away from others; SO_REUSEADDR on both sides
// lets the program that is meant to have it listen there.
std::uint16_t processes::reserve_port() {
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

pid_t processes::spawn(const std::vector<std::string>& arguments, const std::string& log_name) {
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
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t process = 0;
    const int failed = posix_spawn(&process, raw.front(), &actions, nullptr, raw.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error{"cannot start " + words.front()};
    }
    this->running.insert(process);
    return process;
}

void processes::signal(pid_t process, int number) const {
    if (this->running.contains(process)) {
        kill(process, number);
    }
}

int processes::exit_code(pid_t process) {
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

} // namespace chervilturn::test
