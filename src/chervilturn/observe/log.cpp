// Log lines through log4cxx.
#include "chervilturn/observe/log.hpp"

#include <array>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace chervilturn {

namespace {

constexpr std::size_t max_value_length = 200; // characters; longer values are cut
constexpr unsigned char first_printable = 0x20;
constexpr unsigned char delete_character = 0x7F;

[[nodiscard]] bool is_plain(std::string_view value) {
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte <= first_printable || byte >= delete_character || character == '"' || character == '=' ||
            character == '\\') {
            return false;
        }
    }
    return !value.empty();
}

[[nodiscard]] log4cxx::LevelPtr to_log4cxx(log_level level) {
    switch (level) {
    case log_level::trace:
        return log4cxx::Level::getTrace();
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warn:
        return log4cxx::Level::getWarn();
    default:
        return log4cxx::Level::getError();
    }
}

[[nodiscard]] const log4cxx::LoggerPtr& logger() {
    static const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    return root;
}

[[nodiscard]] std::string escape_byte(unsigned char byte) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned nibble = 4;
    return std::string{"\\x"} + digits[byte >> nibble] + digits[byte & 0x0FU];
}

} // namespace

std::string escape_log_value(std::string_view value) {
    const auto shown = value.substr(0, max_value_length);
    if (is_plain(shown) && shown.size() == value.size()) {
        return std::string{shown};
    }
    std::string escaped = "\"";
    for (const char character : shown) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            escaped += '\\';
            escaped += character;
        } else if (byte < first_printable || byte >= delete_character) {
            escaped += escape_byte(byte);
        } else {
            escaped += character;
        }
    }
    return escaped + (shown.size() < value.size() ? "...\"" : "\"");
}

void start_logging(const std::string& level, const std::string& host) {
    const auto pattern =
        "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSSZ} level=%p host=" + escape_log_value(host) + " %m%n";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    const auto appender =
        std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    logger()->setLevel(log4cxx::Level::toLevel(level, log4cxx::Level::getInfo()));
}

void set_log_level(const std::string& level) {
    logger()->setLevel(log4cxx::Level::toLevel(level, log4cxx::Level::getInfo()));
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    const auto target = to_log4cxx(level);
    if (!logger()->isEnabledFor(target)) {
        return;
    }
    std::string line = "event=" + std::string{event};
    for (const auto& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        line += escape_log_value(field.value);
    }
    logger()->forcedLog(target, line, LOG4CXX_LOCATION);
}

} // namespace chervilturn
