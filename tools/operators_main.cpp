// The operators' command: checks a settings tree, shows a node's status, explains where a call would go, and
// traces a request through the logs of many nodes.
#include "chervilturn/config/tree.hpp"
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
    std::vector<std::string> operands; // a file, a node's operators' address, or a request's id and files
    std::string team;
    std::string workspace;
    std::string service;
    std::string path;
};

[[nodiscard]] arguments read_arguments(int count, char** values) {
    TCLAP::CmdLine line{
        "Operators' command of chervilturn.\n"
        "  check FILE                 check a settings tree: {\"teams/T/KIND/NAME\": {...}}\n"
        "  status IP:PORT             show a node's status page\n"
        "  explain IP:PORT --team ... show where a call would go and why\n"
        "  trace ID FILE...           show a request's way, and why it ended so, from nodes' logs",
        ' ', CHERVILTURN_VERSION};
    TCLAP::UnlabeledValueArg<std::string> command{
        "command", "check, status, explain or trace", true, "", "COMMAND", line};
    TCLAP::UnlabeledMultiArg<std::string> operands{
        "operands", "FILE, operators' address of a node, or ID FILE...", true, "FILE|IP:PORT|ID", line};
    TCLAP::ValueArg<std::string> team{"", "team", "Team", false, "", "NAME", line};
    TCLAP::ValueArg<std::string> workspace{"", "workspace", "Workspace", false, "", "NAME", line};
    TCLAP::ValueArg<std::string> service{"", "service", "Service", false, "", "NAME", line};
    TCLAP::ValueArg<std::string> path{"", "path", "Path within the service", false, "/", "PATH", line};
    line.parse(count, values);
    return {command.getValue(),   operands.getValue(), team.getValue(),
            workspace.getValue(), service.getValue(),  path.getValue()};
}

int check_tree(const std::string& file) {
    std::ifstream stream{file};
    const auto tree = nlohmann::json::parse(stream, nullptr, false, true);
    if (!stream || !tree.is_object()) {
        std::cerr << file << ": is not a readable JSON object of leaves\n";
        return exit_invalid;
    }
    std::map<std::string, std::vector<leaf>> subtrees;
    for (const auto& [path, value] : tree.items()) {
        const auto subtree = subtree_of(path);
        if (subtree.empty()) {
            std::cerr << file << ": path \"" << path << "\" is not teams/TEAM/KIND/NAME or hosts/NAME\n";
            return exit_invalid;
        }
        subtrees[subtree].push_back({.path = path, .revision = 1, .value = value.dump()});
    }
    settings_tree checked;
    for (auto& [subtree, leaves] : subtrees) {
        static_cast<void>(checked.offer({.subtree = subtree, .revision = 1, .leaves = std::move(leaves)}));
    }
    for (const auto& [subtree, rejection] : checked.rejections()) {
        std::cerr << to_string(rejection.error) << '\n';
    }
    if (!checked.rejections().empty()) {
        return exit_invalid;
    }
    std::cout << subtrees.size() << " subtrees are valid\n";
    return 0;
}

[[nodiscard]] std::string escape(const std::string& text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned nibble = 4;
    std::string escaped;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '/') {
            escaped += character;
        } else {
            escaped += {'%', digits[byte >> nibble], digits[byte & 0x0FU]};
        }
    }
    return escaped;
}

int print_page(const std::string& where, const std::string& target) {
    const auto node = parse_address(where);
    if (!node) {
        std::cerr << '"' << where << "\" is not an address IP:PORT\n";
        return exit_invalid;
    }
    event_loop loop;
    http_client client{loop, *node, {}};
    int exit_code = exit_failure;
    static_cast<void>(client.send({.method = "GET", .target = target, .headers = {}, .body = {}},
                                  request_timeout, [&](const http_result& received) {
                                      if (const auto* response = std::get_if<http_response>(&received)) {
                                          std::cout << response->body;
                                          exit_code = response->status == 200 ? 0 : exit_failure;
                                      } else {
                                          std::cerr << "node at " << where << ": "
                                                    << to_string(std::get<http_failure>(received)) << '\n';
                                      }
                                      loop.stop();
                                  }));
    loop.run();
    return exit_code;
}

int trace_request(const std::string& id, const std::vector<std::string>& files) {
    request_trace traced{id};
    for (const auto& file : files) {
        std::ifstream stream{file};
        if (!stream) {
            std::cerr << file << ": cannot be read\n";
            return exit_invalid;
        }
        traced.read(stream);
    }
    if (traced.unreadable() > 0) {
        std::cerr << traced.unreadable() << " lines were cut or are no lines of a node; they are left out\n";
    }
    if (traced.dropped_lines() > 0) {
        std::cerr << "nodes left out " << traced.dropped_lines()
                  << " lines under load; steps may be missing\n";
    }
    if (!traced.found()) {
        std::cerr << "no line speaks of request \"" << id << "\"\n";
        return exit_failure;
    }
    std::cout << traced.text();
    return 0;
}

int run(const arguments& given) {
    const auto& operand = given.operands.front();
    if (given.command == "trace") {
        if (given.operands.size() < 2) {
            std::cerr << "trace needs the id of a request and the nodes' log files\n";
            return exit_invalid;
        }
        return trace_request(operand, {given.operands.begin() + 1, given.operands.end()});
    }
    if (given.operands.size() > 1) {
        std::cerr << "command \"" << given.command << "\" takes one operand\n";
        return exit_invalid;
    }
    if (given.command == "check") {
        return check_tree(operand);
    }
    if (given.command == "status") {
        return print_page(operand, "/status");
    }
    if (given.command == "explain") {
        return print_page(operand, "/explain?team=" + escape(given.team) +
                                       "&workspace=" + escape(given.workspace) +
                                       "&service=" + escape(given.service) + "&path=" + escape(given.path));
    }
    std::cerr << "command \"" << given.command << "\" is not check, status, explain or trace\n";
    return exit_invalid;
}

} // namespace

} // namespace chervilturn

int main(int count, char** values) {
    try {
        return chervilturn::run(chervilturn::read_arguments(count, values));
    } catch (const std::exception& failure) {
        std::cerr << "chervilturn: " << failure.what() << '\n';
        return chervilturn::exit_failure;
    }
}
