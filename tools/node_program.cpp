// Command line of a node: read the settings, check them, serve.
#include "node_program.hpp"

#include "chervilturn/node/node.hpp"
#include "chervilturn/observe/log.hpp"

#include <iostream>
#include <tclap/CmdLine.h>

namespace chervilturn {

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

int serve(const std::string& file, const node_settings& settings, const node_protocols& protocols) {
    start_logging(settings.log_level, settings.host);
    node served{settings, protocols};
    const auto started = served.start();
    if (!succeeded(started)) {
        std::cerr << "chervilturn-node: " << error_of(started).message << '\n';
        return exit_runtime_failure;
    }
    served.reload_from(file, [file] { return read_node_settings(file); });
    served.run();
    return 0;
}

int report(const settings_error& fault) {
    std::cerr << "chervilturn-node: " << to_string(fault) << '\n';
    return exit_settings_error;
}

} // namespace

int run_node_program(int count, char** values, const protocol_maker& make_protocols) {
    try {
        const auto given = read_arguments(count, values);
        const auto settings = read_node_settings(given.config);
        if (!succeeded(settings)) {
            return report(error_of(settings));
        }
        const auto protocols = make_protocols(value_of(settings));
        if (!succeeded(protocols)) {
            return report(error_of(protocols));
        }
        return given.check_only ? 0 : serve(given.config, value_of(settings), value_of(protocols));
    } catch (const std::exception& failure) {
        std::cerr << "chervilturn-node: " << failure.what() << '\n';
        return exit_runtime_failure;
    }
}

} // namespace chervilturn
