// Command line of the node program: reads and checks the settings, then runs the node.
#include "node_program.hpp"

#include "chervilturn/node/node.hpp"
#include "chervilturn/observe/log.hpp"

#include <csignal>
#include <iostream>
#include <malloc.h>
#include <tclap/CmdLine.h>

namespace chervilturn {

namespace {

constexpr int exit_runtime_failure = 1;
constexpr int exit_settings_error = 2;
// Larger blocks are returned to the system as soon as they are freed; a fixed threshold also keeps the
// allocator from raising it after the first long body.
constexpr int min_mapped_block = 256 * 1024; // bytes

struct arguments {
    std::string config;
    bool check_only = false;
};

arguments read_arguments(int argc, char** argv) {
    TCLAP::CmdLine command_line{"A node of chervilturn: the load balancer process beside one backend server.",
                                ' ', CHERVILTURN_VERSION};
    TCLAP::ValueArg<std::string> config{"c",    "config",    "Settings file in JSON with comments", true, "",
                                        "FILE", command_line};
    TCLAP::SwitchArg check{"", "check", "Check the settings file and exit", command_line};
    command_line.parse(argc, argv);
    return {config.getValue(), check.getValue()};
}

// Blocks the node's signals for the rest of the process: destroying the node restores their default action,
// which ends the process with an error.
void block_signals() {
    sigset_t blocked{};
    sigemptyset(&blocked);
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&blocked, number);
    }
    pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
}

int run_node(const std::string& file, const node_settings& settings, const node_protocols& protocols) {
    mallopt(M_MMAP_THRESHOLD, min_mapped_block);
    std::signal(SIGHUP, SIG_IGN); // until reload_from() handles it: the settings were read a moment ago
    start_logging(settings.log_level, settings.host);
    node local_node{settings, protocols};
    const auto start_result = local_node.start();
    if (!succeeded(start_result)) {
        std::cerr << "chervilturn-node: " << error_of(start_result).message << '\n';
        return exit_runtime_failure;
    }
    local_node.reload_from(file, [file] { return read_node_settings(file); });
    local_node.run();
    block_signals(); // a repeated request to stop must not turn a proper stop into a failure
    return 0;
}

int print_error(const settings_error& error) {
    std::cerr << "chervilturn-node: " << to_string(error) << '\n';
    return exit_settings_error;
}

} // namespace

int run_node_program(int argc, char** argv, const protocol_factory& create_protocols) {
    try {
        const auto parsed_arguments = read_arguments(argc, argv);
        const auto settings = read_node_settings(parsed_arguments.config);
        if (!succeeded(settings)) {
            return print_error(error_of(settings));
        }
        const auto protocols = create_protocols(value_of(settings));
        if (!succeeded(protocols)) {
            return print_error(error_of(protocols));
        }
        return parsed_arguments.check_only
                   ? 0
                   : run_node(parsed_arguments.config, value_of(settings), value_of(protocols));
    } catch (const std::exception& error) {
        std::cerr << "chervilturn-node: " << error.what() << '\n';
        return exit_runtime_failure;
    }
}

} // namespace chervilturn
