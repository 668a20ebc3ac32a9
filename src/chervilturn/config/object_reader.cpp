// Validation of members of JSON objects.
#include "chervilturn/config/object_reader.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr std::size_t max_formatted_length = 60; // characters of an invalid value in an error message

[[nodiscard]] std::string format_value(const nlohmann::json& value) {
    auto text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > max_formatted_length) {
        text = text.substr(0, max_formatted_length) + "...";
    }
    return text;
}

[[nodiscard]] std::string join_quoted(const std::vector<std::string>& choices) {
    std::string text;
    for (const auto& choice : choices) {
        text += (text.empty() ? "\"" : ", \"") + choice + "\"";
    }
    return text;
}

} // namespace

std::string to_string(const settings_error& error) {
    return error.source + ": at \"" + error.path + "\": " + error.value + " is not " + error.expected;
}

object_reader::object_reader(const nlohmann::json& json_object, std::string error_source,
                             std::string object_path)
    : object{&json_object}, source{std::move(error_source)}, path{std::move(object_path)} {
    if (!json_object.is_object()) {
        this->first_error = settings_error{this->source, this->path.empty() ? "(root)" : this->path,
                                           format_value(json_object), "an object"};
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
    auto choice = this->text(key);
    if (!this->first_error && std::find(allowed.begin(), allowed.end(), choice) == allowed.end()) {
        this->reject(key, "one of " + join_quoted(allowed));
    }
    return choice;
}

std::string object_reader::one_of_or(const char* key, const std::vector<std::string>& allowed,
                                     std::string fallback) {
    const auto* value = this->member(key, false, "");
    return value == nullptr ? std::move(fallback) : this->one_of(key, allowed);
}

std::int64_t object_reader::integer(const char* key, integer_range range) {
    const auto describe = [&range] {
        return "a whole number from " + std::to_string(range.low) + " to " + std::to_string(range.high);
    };
    const auto* value = this->member(key, false, "");
    if (value == nullptr) {
        this->fail(key, nullptr, describe());
        return range.low;
    }
    const bool fits_type =
        value->is_number_unsigned() ? value->get<std::uint64_t>() <= INT64_MAX : value->is_number_integer();
    if (!fits_type || value->get<std::int64_t>() < range.low || value->get<std::int64_t>() > range.high) {
        this->fail(key, value, describe());
        return range.low;
    }
    return value->get<std::int64_t>();
}

std::int64_t object_reader::integer_or(const char* key, integer_range range, std::int64_t fallback) {
    const auto* value = this->member(key, false, "");
    return value == nullptr ? fallback : this->integer(key, range);
}

double object_reader::number(const char* key, number_range range) {
    const auto expected = "a number from " + std::to_string(range.low) + " to " + std::to_string(range.high);
    const auto* value = this->member(key, false, "");
    if (value == nullptr) {
        this->fail(key, nullptr, expected);
        return range.low;
    }
    if (!value->is_number() || value->get<double>() < range.low || value->get<double>() > range.high) {
        this->fail(key, value, expected);
        return range.low;
    }
    return value->get<double>();
}

double object_reader::number_or(const char* key, number_range range, double fallback) {
    const auto* value = this->member(key, false, "");
    return value == nullptr ? fallback : this->number(key, range);
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
    std::vector<address> addresses;
    if (value == nullptr) {
        return addresses;
    }
    if (!value->is_array()) {
        this->fail(key, value, "a list of addresses \"ip:port\"");
        return addresses;
    }
    for (std::size_t index = 0; index < value->size(); ++index) {
        addresses.push_back(this->parse_address_member((*value)[index],
                                                       std::string{key} + '[' + std::to_string(index) + ']'));
    }
    return addresses;
}

std::set<std::string> object_reader::names_or_none(const char* key) {
    const auto* value = this->member(key, false, "");
    std::set<std::string> names;
    if (value == nullptr) {
        return names;
    }
    if (!value->is_array() || value->empty()) {
        this->fail(key, value, "a non-empty list of names");
        return names;
    }
    for (const auto& name : *value) {
        if (!name.is_string() || !names.insert(name.get<std::string>()).second) {
            this->fail(key, value, "a list of unique names");
        }
    }
    return names;
}

microseconds object_reader::milliseconds_or(const char* key, integer_range range, microseconds fallback) {
    const auto* value = this->member(key, false, "");
    if (value == nullptr) {
        return fallback;
    }
    return std::chrono::milliseconds{this->integer(key, range)};
}

bool object_reader::has(const char* key) const {
    return this->object->is_object() && this->object->contains(key);
}

std::vector<object_reader> object_reader::objects(const char* key) {
    return this->objects_of(key, this->member(key, true, "a list of objects"));
}

std::vector<object_reader> object_reader::objects_or_none(const char* key) {
    return this->objects_of(key, this->member(key, false, ""));
}

std::vector<object_reader> object_reader::objects_of(const char* key, const nlohmann::json* value) {
    std::vector<object_reader> readers;
    if (value == nullptr) {
        return readers;
    }
    if (!value->is_array()) {
        this->fail(key, value, "a list of objects");
        return readers;
    }
    const auto prefix = this->path.empty() ? std::string{key} : this->path + '.' + key;
    for (std::size_t index = 0; index < value->size(); ++index) {
        readers.emplace_back((*value)[index], this->source, prefix + '[' + std::to_string(index) + ']');
    }
    return readers;
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
    const bool present = this->has(key.c_str());
    this->fail(key, present ? &(*this->object)[key] : nullptr, std::move(expected));
}

void object_reader::take_error(const object_reader& nested) {
    if (!this->first_error) {
        this->first_error = nested.first_error;
    }
}

std::optional<settings_error> object_reader::finish() {
    if (this->first_error) {
        return this->first_error;
    }
    for (const auto& [key, value] : this->object->items()) {
        if (std::find(this->known_keys.begin(), this->known_keys.end(), key) == this->known_keys.end()) {
            this->fail(key, &value, "a known setting");
            break;
        }
    }
    return this->first_error;
}

const nlohmann::json* object_reader::member(const char* key, bool required, const char* expected) {
    this->known_keys.push_back(key);
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
        this->fail(key, &value, "an address \"ip:port\" with an IPv4 address and a port from 1 to 65535");
        return {};
    }
    return *parsed;
}

void object_reader::fail(const std::string& key, const nlohmann::json* value, std::string expected) {
    if (this->first_error) {
        return;
    }
    const auto error_path = this->path.empty() ? key : this->path + '.' + key;
    this->first_error = settings_error{
        this->source, error_path, value == nullptr ? "absent" : format_value(*value), std::move(expected)};
}

} // namespace chervilturn
