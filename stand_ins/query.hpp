// Query strings of the stand-ins' control requests.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <map>
#include <sstream>
#include <string>

namespace chervilturn::stand_ins {

/// @brief A target split into its path and its parameters. Values are taken as they stand.
struct query {
    explicit query(const std::string& target) {
        const auto mark = target.find('?');
        this->path = target.substr(0, mark);
        std::istringstream pairs{mark == std::string::npos ? std::string{} : target.substr(mark + 1)};
        for (std::string pair; std::getline(pairs, pair, '&');) {
            const auto equals = pair.find('=');
            this->parameters[pair.substr(0, equals)] =
                equals == std::string::npos ? std::string{} : pair.substr(equals + 1);
        }
    }

    [[nodiscard]] bool has(const std::string& name) const { return this->parameters.contains(name); }

    [[nodiscard]] std::string text(const std::string& name) const {
        const auto found = this->parameters.find(name);
        return found == this->parameters.end() ? std::string{} : found->second;
    }

    [[nodiscard]] std::int64_t number(const std::string& name, std::int64_t fallback) const {
        return this->has(name) ? std::strtoll(this->text(name).c_str(), nullptr, 10) : fallback;
    }

    std::string path;
    std::map<std::string, std::string> parameters;
};

} // namespace chervilturn::stand_ins
