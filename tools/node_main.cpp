// The daemon: one node beside one backend server.
#include "chervilturn/node/node.hpp"
#include "chervilturn/observe/log.hpp"

#include <iostream>
#include <tclap/CmdLine.h>

namespace {

constexpr int exit_runtime_failure = 1;
constexpr int exit_settings_error = 2;

struct arguments {
    std::string config;
    bool check_only = false;
};

arguments read_arguments(int count, char** values) {
    TCLAP::CmdLine line{"A node of chervilturn: the load balancer process beside one backend server.", ' ',
                        CHERVILTURN_VERSION};
    TCLAP::ValueArg<std::string> config{"c",    "config", "Settings file in JSON with comments", true, "",
                                        "FILE", line};
    TCLAP::SwitchArg check{"", "check", "Check the settings file and exit", line};
    line.parse(count, values);
    return {config.getValue(), check.getValue()};
}

int serve(const chervilturn::node_settings& settings) {
    chervilturn::start_logging(settings.log_level, settings.host);
    chervilturn::node served{settings};
    const auto started = served.start();
    if (!chervilturn::succeeded(started)) {
        std::cerr << "chervilturn-node: " << chervilturn::error_of(started).message << '\n';
        return exit_runtime_failure;
    }
    served.run();
    return 0;
}

} // namespace

int main(int count, char** values) {
    try {
        const auto given = read_arguments(count, values);
        const auto settings = chervilturn::read_node_settings(given.config);
        if (!chervilturn::succeeded(settings)) {
            std::cerr << "chervilturn-node: " << to_string(chervilturn::error_of(settings)) << '\n';
            return exit_settings_error;
        }
        return given.check_only ? 0 : serve(chervilturn::value_of(settings));
    } catch (const std::exception& failure) {
        std::cerr << "chervilturn-node: " << failure.what() << '\n';
        return exit_runtime_failure;
    }
}
