// Command-line tool for operators: checks a settings tree, shows a node's status, explains how a call would
// be routed, and traces a request through the logs of several nodes.
#include "chervilturn/config/tree.hpp"
#include "chervilturn/core/json.hpp"
#include "chervilturn/observe/trace.hpp"
#include "chervilturn/transport/http.hpp"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <tclap/CmdLine.h>

namespace chervilturn {

namespace {

constexpr int exit_failure = 1;
constexpr int exit_invalid = 2;
constexpr microseconds request_timeout = std::chrono::seconds{5};

struct arguments {
    std::string command;
    std::vector<std::string> operands; // a file, a node's operators address, or a request id and log files
    std::string team;
    std::string workspace;
    std::string service;
    std::string path;
};

[[nodiscard]] arguments read_arguments(int argc, char** argv) {
    TCLAP::CmdLine command_line{
        "Command-line tool for operators of chervilturn.\n"
        "  check FILE                 check a settings tree: {\"teams/T/KIND/NAME\": {...}}\n"
        "  status IP:PORT             show a node's status page\n"
        "  explain IP:PORT --team ... show how a call would be routed and why\n"
        "  trace ID FILE...           show how a request was routed and why it ended so, from nodes' logs",
        ' ', CHERVILTURN_VERSION};
    TCLAP::UnlabeledValueArg<std::string> command{
        "command", "check, status, explain or trace", true, "", "COMMAND", command_line};
    TCLAP::UnlabeledMultiArg<std::string> operands{"operands",
                                                   "FILE, operators address of a node, or ID FILE...", true,
                                                   "FILE|IP:PORT|ID", command_line};
    TCLAP::ValueArg<std::string> team{"", "team", "Team", false, "", "NAME", command_line};
    TCLAP::ValueArg<std::string> workspace{"", "workspace", "Workspace", false, "", "NAME", command_line};
    TCLAP::ValueArg<std::string> service{"", "service", "Service", false, "", "NAME", command_line};
    TCLAP::ValueArg<std::string> path{"",     "path",      "Path within the service", false, "/",
                                      "PATH", command_line};
    command_line.parse(argc, argv);
    return {command.getValue(),   operands.getValue(), team.getValue(),
            workspace.getValue(), service.getValue(),  path.getValue()};
}

int check_tree(const std::string& file) {
    std::ifstream stream{file};
    const std::string text{std::istreambuf_iterator<char>{stream}, {}};
    const auto document = parse_json(text, json_comments::allowed);
    if (!stream || !document.is_object()) {
        std::cerr << file << ": cannot be read as a JSON object of leaves\n";
        return exit_invalid;
    }
    std::map<std::string, std::vector<leaf>> subtrees;
    for (const auto& [path, value] : document.items()) {
        const auto subtree = subtree_of(path);
        if (subtree.empty()) {
            std::cerr << file << ": path \"" << path << "\" is not teams/TEAM/KIND/NAME or hosts/NAME\n";
            return exit_invalid;
        }
        subtrees[subtree].push_back({.path = path, .revision = 1, .value = value.dump()});
    }
    settings_tree tree;
    for (auto& [subtree, leaves] : subtrees) {
        static_cast<void>(tree.offer({.subtree = subtree, .revision = 1, .leaves = std::move(leaves)}));
    }
    for (const auto& [subtree, rejection] : tree.rejections()) {
        std::cerr << to_string(rejection.error) << '\n';
    }
    if (!tree.rejections().empty()) {
        return exit_invalid;
    }
    std::cout << subtrees.size() << " subtrees are valid\n";
    return 0;
}

// Percent-encodes a value of the query.
[[nodiscard]] std::string percent_encode(const std::string& text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned nibble_bits = 4;
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '/') {
            encoded += character;
        } else {
            encoded += {'%', digits[byte >> nibble_bits], digits[byte & 0x0FU]};
        }
    }
    return encoded;
}

// Requests a page from a node's operators address, given as IP:PORT, and prints it.
int print_page(const std::string& address_text, const std::string& target) {
    const auto node_address = parse_address(address_text);
    if (!node_address) {
        std::cerr << '"' << address_text << "\" is not an address IP:PORT\n";
        return exit_invalid;
    }
    event_loop loop;
    http_client client{loop, *node_address, {}};
    int exit_code = exit_failure;
    static_cast<void>(client.send({.method = "GET", .target = target, .headers = {}, .body = {}},
                                  request_timeout, [&](const http_result& outcome) {
                                      if (const auto* response = std::get_if<http_response>(&outcome)) {
                                          std::cout << response->body;
                                          exit_code = response->status == 200 ? 0 : exit_failure;
                                      } else {
                                          std::cerr << "node at " << address_text
                                                    << " sent no valid response: "
                                                    << to_string(std::get<http_failure>(outcome)) << '\n';
                                      }
                                      loop.stop();
                                  }));
    loop.run();
    return exit_code;
}

int trace_request(const std::string& id, const std::vector<std::string>& files) {
    request_trace trace{id};
    for (const auto& file : files) {
        std::ifstream stream{file};
        if (!stream) {
            std::cerr << file << ": cannot be read\n";
            return exit_invalid;
        }
        trace.read(stream);
    }
    if (trace.unreadable() > 0) {
        std::cerr << trace.unreadable()
                  << " lines were cut off or are not log lines of a node; they were skipped\n";
    }
    if (trace.dropped_lines() > 0) {
        std::cerr << "nodes dropped " << trace.dropped_lines()
                  << " log lines under load; steps may be missing\n";
    }
    if (!trace.found()) {
        std::cerr << "no log line mentions request \"" << id << "\"\n";
        return exit_failure;
    }
    std::cout << trace.text();
    return 0;
}

int run(const arguments& parsed_arguments) {
    const auto& first_operand = parsed_arguments.operands.front();
    if (parsed_arguments.command == "trace") {
        if (parsed_arguments.operands.size() < 2) {
            std::cerr << "trace needs the id of a request and the nodes' log files\n";
            return exit_invalid;
        }
        return trace_request(first_operand,
                             {parsed_arguments.operands.begin() + 1, parsed_arguments.operands.end()});
    }
    if (parsed_arguments.operands.size() > 1) {
        std::cerr << "command \"" << parsed_arguments.command << "\" takes one operand\n";
        return exit_invalid;
    }
    if (parsed_arguments.command == "check") {
        return check_tree(first_operand);
    }
    if (parsed_arguments.command == "status") {
        return print_page(first_operand, "/status");
    }
    if (parsed_arguments.command == "explain") {
        return print_page(first_operand, "/explain?team=" + percent_encode(parsed_arguments.team) +
                                             "&workspace=" + percent_encode(parsed_arguments.workspace) +
                                             "&service=" + percent_encode(parsed_arguments.service) +
                                             "&path=" + percent_encode(parsed_arguments.path));
    }
    std::cerr << "command \"" << parsed_arguments.command << "\" is not check, status, explain or trace\n";
    return exit_invalid;
}

} // namespace

} // namespace chervilturn

int main(int argc, char** argv) {
    try {
        return chervilturn::run(chervilturn::read_arguments(argc, argv));
    } catch (const std::exception& error) {
        std::cerr << "chervilturn: " << error.what() << '\n';
        return chervilturn::exit_failure;
    }
}
