// Processes that a test starts, the ports it holds for them and the folder of their output.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace chervilturn::test {

/// @brief Starts programs of the build; all of them end with it.
class processes {
  public:
    static constexpr int still_running = -1000;

    explicit processes(std::string programs);
    processes(const processes&) = delete;
    processes& operator=(const processes&) = delete;
    ~processes();

    /// @brief A loopback port from the kernel, reserved while this lives.
    [[nodiscard]] std::uint16_t reserve_port();

    /// @brief Starts a program of the build; its output goes to a file of the folder.
    [[nodiscard]] pid_t spawn(const std::vector<std::string>& arguments, const std::string& log_name);

    void signal(pid_t process, int number) const;

    /// @brief The exit code once the process has ended, or minus the signal that ended it;
    /// still_running before.
    [[nodiscard]] int exit_code(pid_t process);

    /// @brief Keeps the folder when this ends.
    void keep_folder() noexcept { this->folder_kept = true; }

    [[nodiscard]] const std::string& folder() const noexcept { return this->directory; }

  private:
    std::string programs;
    std::string directory;
    bool folder_kept = false;
    std::vector<int> reserved; // bound sockets that hold ports
    std::set<pid_t> running;
    std::map<pid_t, int> exit_codes;
};

} // namespace chervilturn::test
