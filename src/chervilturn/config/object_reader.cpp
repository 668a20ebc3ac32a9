// Checks of members of JSON objects.
#include "chervilturn/config/object_reader.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr std::size_t max_shown_value = 60; // characters of an offending value in an error line

[[nodiscard]] std::string shown(const nlohmann::json& value) {
    auto text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > max_shown_value) {
        text = text.substr(0, max_shown_value) + "...";
    }
    return text;
}

[[nodiscard]] std::string joined(const std::vector<std::string>& words) {
    std::string text;
    for (const auto& word : words) {
        text += (text.empty() ? "\"" : ", \"") + word + "\"";
    }
    return text;
}

} // namespace

std::string to_string(const settings_error& error) {
    return error.source + ": at \"" + error.path + "\": " + error.value + " is not " + error.expected;
}

object_reader::object_reader(const nlohmann::json& read, std::string read_source, std::string read_path)
    : object{&read}, source{std::move(read_source)}, path{std::move(read_path)} {
    if (!read.is_object()) {
        this->fault = settings_error{this->source, this->path.empty() ? "(root)" : this->path, shown(read),
                                     "an object"};
    }
}

std::string object_reader::text(const char* key) {
    const auto* value = this->member(key, true, "a non-empty string");
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
        this->fail(key, value, "a non-empty string");
        return {};
    }
    return value->get<std::string>();
}

std::string object_reader::text_or(const char* key, std::string fallback) {
    const auto* value = this->member(key, false, "");
    return value == nullptr ? std::move(fallback) : this->text(key);
}

std::string object_reader::one_of(const char* key, const std::vector<std::string>& allowed) {
    auto word = this->text(key);
    if (!this->fault && std::find(allowed.begin(), allowed.end(), word) == allowed.end()) {
        this->reject(key, "one of " + joined(allowed));
    }
    return word;
}

std::string object_reader::one_of_or(const char* key, const std::vector<std::string>& allowed,
                                     std::string fallback) {
    const auto* value = this->member(key, false, "");
    return value == nullptr ? std::move(fallback) : this->one_of(key, allowed);
}

std::int64_t object_reader::integer(const char* key, integer_range range) {
    const auto expected =
        "a whole number from " + std::to_string(range.low) + " to " + std::to_string(range.high);
    const auto* value = this->member(key, true, expected.c_str());
    if (value == nullptr) {
        return range.low;
    }
    const bool fits_type =
        value->is_number_unsigned() ? value->get<std::uint64_t>() <= INT64_MAX : value->is_number_integer();
    if (!fits_type || value->get<std::int64_t>() < range.low || value->get<std::int64_t>() > range.high) {
        this->fail(key, value, expected);
        return range.low;
    }
    return value->get<std::int64_t>();
}

std::int64_t object_reader::integer_or(const char* key, integer_range range, std::int64_t fallback) {
    const auto* value = this->member(key, false, "");
    return value == nullptr ? fallback : this->integer(key, range);
}

double object_reader::number_or(const char* key, number_range range, double fallback) {
    const auto expected = "a number from " + std::to_string(range.low) + " to " + std::to_string(range.high);
    const auto* value = this->member(key, false, expected.c_str());
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_number() || value->get<double>() < range.low || value->get<double>() > range.high) {
        this->fail(key, value, expected);
        return fallback;
    }
    return value->get<double>();
}

bool object_reader::boolean_or(const char* key, bool fallback) {
    const auto* value = this->member(key, false, "");
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        this->fail(key, value, "true or false");
        return fallback;
    }
    return value->get<bool>();
}

address object_reader::address_at(const char* key) {
    const auto* value = this->member(key, true, "an address \"ip:port\"");
    return value == nullptr ? address{} : this->parse_address_member(*value, key);
}

address object_reader::address_or(const char* key, const address& fallback) {
    const auto* value = this->member(key, false, "");
    return value == nullptr ? fallback : this->parse_address_member(*value, key);
}

std::vector<address> object_reader::addresses_or_none(const char* key) {
    const auto* value = this->member(key, false, "");
    std::vector<address> found;
    if (value == nullptr) {
        return found;
    }
    if (!value->is_array()) {
        this->fail(key, value, "a list of addresses \"ip:port\"");
        return found;
    }
    for (std::size_t index = 0; index < value->size(); ++index) {
        found.push_back(this->parse_address_member((*value)[index],
                                                   std::string{key} + '[' + std::to_string(index) + ']'));
    }
    return found;
}

std::set<std::string> object_reader::names_or_none(const char* key) {
    const auto* value = this->member(key, false, "");
    std::set<std::string> found;
    if (value == nullptr) {
        return found;
    }
    if (!value->is_array() || value->empty()) {
        this->fail(key, value, "a non-empty list of names");
        return found;
    }
    for (const auto& entry : *value) {
        if (!entry.is_string() || !found.insert(entry.get<std::string>()).second) {
            this->fail(key, value, "a list of different names");
        }
    }
    return found;
}

microseconds object_reader::milliseconds_or(const char* key, integer_range range, microseconds fallback) {
    const auto* value = this->member(key, false, "");
    if (value == nullptr) {
        return fallback;
    }
    return std::chrono::milliseconds{this->integer(key, range)};
}

std::vector<object_reader> object_reader::objects(const char* key) {
    return this->objects_of(key, this->member(key, true, "a list of objects"));
}

std::vector<object_reader> object_reader::objects_or_none(const char* key) {
    return this->objects_of(key, this->member(key, false, ""));
}

std::vector<object_reader> object_reader::objects_of(const char* key, const nlohmann::json* value) {
    std::vector<object_reader> found;
    if (value == nullptr) {
        return found;
    }
    if (!value->is_array()) {
        this->fail(key, value, "a list of objects");
        return found;
    }
    const auto prefix = this->path.empty() ? std::string{key} : this->path + '.' + key;
    for (std::size_t index = 0; index < value->size(); ++index) {
        found.emplace_back((*value)[index], this->source, prefix + '[' + std::to_string(index) + ']');
    }
    return found;
}

std::optional<object_reader> object_reader::section(const char* key) {
    const auto* value = this->member(key, false, "");
    if (value == nullptr) {
        return std::nullopt;
    }
    return object_reader{*value, this->source,
                         this->path.empty() ? std::string{key} : this->path + '.' + key};
}

void object_reader::reject(const std::string& key, std::string expected) {
    const bool present = this->object->is_object() && this->object->contains(key);
    this->fail(key, present ? &(*this->object)[key] : nullptr, std::move(expected));
}

void object_reader::adopt(const object_reader& nested) {
    if (!this->fault) {
        this->fault = nested.fault;
    }
}

std::optional<settings_error> object_reader::finish() {
    if (this->fault) {
        return this->fault;
    }
    for (const auto& [key, value] : this->object->items()) {
        if (!this->asked.contains(key)) {
            this->fail(key, &value, "a known setting");
            break;
        }
    }
    return this->fault;
}

const nlohmann::json* object_reader::member(const char* key, bool required, const char* expected) {
    this->asked.insert(key);
    if (!this->object->is_object()) {
        return nullptr;
    }
    const auto found = this->object->find(key);
    if (found != this->object->end()) {
        return &*found;
    }
    if (required) {
        this->fail(key, nullptr, expected);
    }
    return nullptr;
}

address object_reader::parse_address_member(const nlohmann::json& value, const std::string& key) {
    const auto parsed = value.is_string() ? parse_address(value.get_ref<const std::string&>()) : std::nullopt;
    if (!parsed) {
        this->fail(key, &value, "an address \"ip:port\" with an IPv4 number and a port from 1 to 65535");
        return {};
    }
    return *parsed;
}

void object_reader::fail(const std::string& key, const nlohmann::json* value, std::string expected) {
    if (this->fault) {
        return;
    }
    const auto where = this->path.empty() ? key : this->path + '.' + key;
    this->fault =
        settings_error{this->source, where, value == nullptr ? "absent" : shown(*value), std::move(expected)};
}

} // namespace chervilturn
