// Checked reading of JSON objects: every member is known, has its type and lies in its range.
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

/// @brief One fault in a settings file or settings tree.
struct settings_error {
    std::string source;   // file name or path in the published tree
    std::string path;     // members from the root, such as "backend_servers[2].slots"
    std::string value;    // the offending value as JSON, or "absent"
    std::string expected; // what would have been accepted
};

/// @brief Writes an error as one line.
[[nodiscard]] std::string to_string(const settings_error& error);

/// @brief Limits of a whole-number member, both included.
struct integer_range {
    std::int64_t low;
    std::int64_t high;
};

/// @brief Limits of a number member, both included.
struct number_range {
    double low;
    double high;
};

/// @brief Reads members of one object; remembers the first fault and yields defaults after it.
class object_reader {
  public:
    object_reader(const nlohmann::json& object, std::string source, std::string path);

    [[nodiscard]] std::string text(const char* key);
    [[nodiscard]] std::string text_or(const char* key, std::string fallback);
    [[nodiscard]] std::string one_of(const char* key, const std::vector<std::string>& allowed);
    [[nodiscard]] std::string one_of_or(const char* key, const std::vector<std::string>& allowed,
                                        std::string fallback);
    [[nodiscard]] std::int64_t integer(const char* key, integer_range range);
    [[nodiscard]] std::int64_t integer_or(const char* key, integer_range range, std::int64_t fallback);
    [[nodiscard]] double number_or(const char* key, number_range range, double fallback);
    [[nodiscard]] bool boolean_or(const char* key, bool fallback);
    [[nodiscard]] address address_at(const char* key);
    [[nodiscard]] address address_or(const char* key, const address& fallback);
    [[nodiscard]] std::vector<address> addresses_or_none(const char* key);
    [[nodiscard]] std::set<std::string> names_or_none(const char* key);

    /// @brief Milliseconds as a duration.
    [[nodiscard]] microseconds milliseconds_or(const char* key, integer_range range, microseconds fallback);

    /// @brief Readers for the objects of a list member; an absent list is a fault.
    [[nodiscard]] std::vector<object_reader> objects(const char* key);

    /// @brief The same; an absent list is empty.
    [[nodiscard]] std::vector<object_reader> objects_or_none(const char* key);

    /// @brief A reader for a nested object that may be absent.
    [[nodiscard]] std::optional<object_reader> section(const char* key);

    /// @brief Records a fault of a member that has the right type but a value that does not fit.
    void reject(const std::string& key, std::string expected);

    /// @brief Takes over a fault found by a reader of a nested object.
    void adopt(const object_reader& nested);

    /// @brief Reports members that were never asked for, then returns the first fault.
    [[nodiscard]] std::optional<settings_error> finish();

  private:
    [[nodiscard]] std::vector<object_reader> objects_of(const char* key, const nlohmann::json* value);
    [[nodiscard]] const nlohmann::json* member(const char* key, bool required, const char* expected);
    [[nodiscard]] address parse_address_member(const nlohmann::json& value, const std::string& key);
    void fail(const std::string& key, const nlohmann::json* value, std::string expected);

    const nlohmann::json* object; // outlives the reader
    std::string source;
    std::string path;
    std::set<std::string> asked;
    std::optional<settings_error> fault; // the first one found
};

} // namespace chervilturn
