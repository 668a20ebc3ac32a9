// Processes that a test starts, the ports reserved for them and the folder of their output.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace chervilturn::test {

/// @brief Starts programs of the build folder and owns their processes. The destructor kills those that still
/// run, frees the ports, and removes the output folder unless keep_folder was called or the environment
/// variable KEEP_SCENARIO_LOGS is set.
class processes {
  public:
    /// @brief Result of exit_code for a process that still runs; scenario scripts compare with the number.
    static constexpr int still_running = -1000;

    explicit processes(std::string build_folder);
    processes(const processes&) = delete;
    processes& operator=(const processes&) = delete;
    ~processes();

    /// @brief Returns a free loopback port chosen by the kernel, reserved until this object is destroyed.
    /// Throws std::runtime_error when there is none.
    [[nodiscard]] std::uint16_t reserve_port();

    /// @brief Starts a program of the build folder; the first argument is its name. Its standard output and
    /// error are appended to the file log_name of the output folder. Throws std::runtime_error when it can't
    /// be started.
    [[nodiscard]] pid_t spawn(const std::vector<std::string>& arguments, const std::string& log_name);

    /// @brief The processes that are started from now on may have this many open files; 0: as many as this
    /// one.
    void limit_descriptors(std::size_t most) noexcept { this->max_descriptors = most; }

    /// @brief Sends a signal; does nothing for a process whose exit code was already read.
    void signal(pid_t process, int number) const;

    /// @brief The exit code of a process, or minus the number of the signal that killed it; still_running
    /// until it has ended.
    [[nodiscard]] int exit_code(pid_t process);

    /// @brief Keeps the output folder when this object is destroyed.
    void keep_folder() noexcept { this->keep_output = true; }

    /// @brief The output folder: log files of the processes, and files that the test writes.
    [[nodiscard]] const std::string& folder() const noexcept { return this->output_folder; }

  private:
    std::string program_folder;
    std::string output_folder;
    bool keep_output = false;
    std::size_t max_descriptors = 0;
    std::vector<int> reserved_sockets; // bound but not listening, one for each port
    std::set<pid_t> running;           // started, exit code not read yet
    std::map<pid_t, int> exit_codes;
};

} // namespace chervilturn::test
