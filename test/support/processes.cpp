// Processes that a test starts, on POSIX.
#include "support/processes.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <spawn.h>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace chervilturn::test {

namespace {

[[nodiscard]] std::string make_output_folder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "chervilturn-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error{"cannot create a folder for the output of processes"};
    }
    return pattern;
}

// Sets the limit of open files that a started process inherits, and restores it.
class descriptor_limit {
  public:
    explicit descriptor_limit(std::size_t most) {
        getrlimit(RLIMIT_NOFILE, &this->restored);
        if (most > 0) {
            const rlimit lowered{.rlim_cur = most, .rlim_max = this->restored.rlim_max};
            setrlimit(RLIMIT_NOFILE, &lowered);
        }
    }
    descriptor_limit(const descriptor_limit&) = delete;
    descriptor_limit& operator=(const descriptor_limit&) = delete;
    ~descriptor_limit() { setrlimit(RLIMIT_NOFILE, &this->restored); }

  private:
    rlimit restored{};
};

} // namespace

processes::processes(std::string build_folder)
    : program_folder{std::move(build_folder)}, output_folder{make_output_folder()} {}

processes::~processes() {
    for (const auto process : this->running) {
        kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
    }
    for (const int reserved_socket : this->reserved_sockets) {
        close(reserved_socket);
    }
    if (!this->keep_output && std::getenv("KEEP_SCENARIO_LOGS") == nullptr) {
        std::filesystem::remove_all(this->output_folder);
    }
}

// The kernel gives the port of a bound socket to nobody else, also when the socket does not listen. With
// SO_REUSEADDR on this socket and on its own, the started program can still listen there.
std::uint16_t processes::reserve_port() {
    const int new_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(new_socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    sockaddr_in bound_address{};
    bound_address.sin_family = AF_INET;
    bound_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(bound_address);
    if (bind(new_socket, reinterpret_cast<const sockaddr*>(&bound_address), size) != 0 ||
        getsockname(new_socket, reinterpret_cast<sockaddr*>(&bound_address), &size) != 0) {
        throw std::runtime_error{"no free port"};
    }
    this->reserved_sockets.push_back(new_socket);
    return ntohs(bound_address.sin_port);
}

pid_t processes::spawn(const std::vector<std::string>& arguments, const std::string& log_name) {
    auto command = arguments;
    command.front() = this->program_folder + '/' + command.front();
    std::vector<char*> argv;
    argv.reserve(command.size() + 1);
    for (auto& argument : command) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    const auto log_path = this->output_folder + '/' + log_name;
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t process = 0;
    const descriptor_limit limit{this->max_descriptors};
    const int error = posix_spawn(&process, argv.front(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error{"cannot start " + command.front()};
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
