// Validated reading of JSON objects: every member must be known, have the right type and lie in its range.
#pragma once

#include "chervilturn/core/address.hpp"
#include "chervilturn/core/result.hpp"
#include "chervilturn/core/time.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chervilturn {

/// @brief One error in a settings file or in the published settings tree.
struct settings_error {
    std::string source;   // file name, or path of the leaf in the published tree
    std::string path;     // JSON path from the root, such as "backend_servers[2].slots", or "(root)"
    std::string value;    // the offending value as JSON, "absent", or words such as "the text"
    std::string expected; // description of a valid value

    [[nodiscard]] bool operator==(const settings_error&) const = default;
};

/// @brief Formats an error as one line.
[[nodiscard]] std::string to_string(const settings_error& error);

/// @brief Range of an integer member, including both limits.
struct integer_range {
    std::int64_t low;
    std::int64_t high;
};

/// @brief Range of a number member, including both limits.
struct number_range {
    double low;
    double high;
};

/// @brief Reads and validates the members of one JSON object.
///
/// Keeps the first error, which finish() returns. A member that is invalid or missing yields a default value.
/// The functions named _or return the fallback when the member is absent; section and the functions named
/// _or_none return an empty result. All other members are required.
class object_reader {
  public:
    /// @brief object must outlive the reader. source and path locate the object in error messages.
    object_reader(const nlohmann::json& object, std::string source, std::string path);

    /// @brief Reads a non-empty string.
    [[nodiscard]] std::string text(const char* key);

    [[nodiscard]] std::string text_or(const char* key, std::string fallback);
    [[nodiscard]] std::string one_of(const char* key, const std::vector<std::string>& allowed);
    [[nodiscard]] std::string one_of_or(const char* key, const std::vector<std::string>& allowed,
                                        std::string fallback);
    [[nodiscard]] std::int64_t integer(const char* key, integer_range range);
    [[nodiscard]] std::int64_t integer_or(const char* key, integer_range range, std::int64_t fallback);
    [[nodiscard]] double number(const char* key, number_range range);
    [[nodiscard]] double number_or(const char* key, number_range range, double fallback);
    [[nodiscard]] bool boolean_or(const char* key, bool fallback);
    [[nodiscard]] address address_at(const char* key);
    [[nodiscard]] address address_or(const char* key, const address& fallback);
    [[nodiscard]] std::vector<address> addresses_or_none(const char* key);

    /// @brief Reads a non-empty list of unique strings; an absent list is empty.
    [[nodiscard]] std::set<std::string> names_or_none(const char* key);

    /// @brief Reads an integer number of milliseconds.
    [[nodiscard]] microseconds milliseconds_or(const char* key, integer_range range, microseconds fallback);

    /// @brief Whether the object has a member.
    [[nodiscard]] bool has(const char* key) const;

    /// @brief Returns one reader per object of a list member; an absent list is an error.
    [[nodiscard]] std::vector<object_reader> objects(const char* key);

    /// @brief Returns one reader per object of a list member; none for an absent list.
    [[nodiscard]] std::vector<object_reader> objects_or_none(const char* key);

    /// @brief Returns a reader for a nested object; empty when the member is absent.
    [[nodiscard]] std::optional<object_reader> section(const char* key);

    /// @brief Records an error for a member whose value has the right type but is not valid.
    void reject(const std::string& key, std::string expected);

    /// @brief Takes over the error of a nested object's reader, unless this reader already has one.
    void take_error(const object_reader& nested);

    /// @brief Returns the first error; empty when all members are valid. A member that was never read is an
    /// error.
    [[nodiscard]] std::optional<settings_error> finish();

  private:
    [[nodiscard]] std::vector<object_reader> objects_of(const char* key, const nlohmann::json* value);
    [[nodiscard]] const nlohmann::json* member(const char* key, bool required, const char* expected);
    [[nodiscard]] address parse_address_member(const nlohmann::json& value, const std::string& key);
    void fail(const std::string& key, const nlohmann::json* value, std::string expected);

    const nlohmann::json* object; // outlives the reader
    std::string source;
    std::string path;
    std::vector<std::string_view> known_keys; // literals; keys that were read, some twice
    std::optional<settings_error> first_error;
};

} // namespace chervilturn
