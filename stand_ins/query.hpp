// Parser of request targets for the stand-ins.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <map>
#include <sstream>
#include <string>

namespace chervilturn::stand_ins {

/// @brief The path and the query parameters of a request target. Values are not percent-decoded; a parameter
/// without '=' has an empty value.
struct query {
    explicit query(const std::string& target) {
        const auto question_mark = target.find('?');
        this->path = target.substr(0, question_mark);
        std::istringstream pairs{question_mark == std::string::npos ? std::string{}
                                                                    : target.substr(question_mark + 1)};
        for (std::string pair; std::getline(pairs, pair, '&');) {
            const auto equals = pair.find('=');
            this->parameters[pair.substr(0, equals)] =
                equals == std::string::npos ? std::string{} : pair.substr(equals + 1);
        }
    }

    [[nodiscard]] bool has(const std::string& name) const { return this->parameters.contains(name); }

    /// @brief The value of a parameter; empty when it is missing.
    [[nodiscard]] std::string text(const std::string& name) const {
        const auto found = this->parameters.find(name);
        return found == this->parameters.end() ? std::string{} : found->second;
    }

    /// @brief The value of a parameter as a decimal number: 0 when it is not one, the default when it is
    /// missing.
    [[nodiscard]] std::int64_t number(const std::string& name, std::int64_t default_value) const {
        return this->has(name) ? std::strtoll(this->text(name).c_str(), nullptr, 10) : default_value;
    }

    std::string path;
    std::map<std::string, std::string> parameters;
};

} // namespace chervilturn::stand_ins
