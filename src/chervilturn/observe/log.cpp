// Formats log lines with log4cxx and puts them into a buffer.
#include "chervilturn/observe/log.hpp"

#include "chervilturn/observe/log_buffer.hpp"

#include <array>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

namespace chervilturn {

namespace {

constexpr std::size_t max_value_length = 200; // in bytes; longer values are cut
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

[[nodiscard]] log_buffer& shared_buffer() {
    static log_buffer buffer{{.now = monotonic_clock::now()}};
    return buffer;
}

// Passes the priority to buffer_appender::append. A plain global is enough: all tasks of a process log on one
// thread, and log4cxx calls append before the logging call returns.
log_priority next_line_priority = log_priority::ordinary; // NOLINT(*-avoid-non-const-global-variables)

/// @brief Adds the lines that log4cxx formats to the shared buffer.
class buffer_appender final : public log4cxx::AppenderSkeleton {
  public:
    void close() override {}
    [[nodiscard]] bool requiresLayout() const override { return true; }

  protected:
    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override {
        log4cxx::LogString line;
        this->getLayout()->format(line, event, pool);
        shared_buffer().add(std::move(line), next_line_priority, monotonic_clock::now());
    }
};

void write_line(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    const auto log4cxx_level = to_log4cxx(level);
    if (!logger()->isEnabledFor(log4cxx_level)) {
        return;
    }
    std::string line = "event=" + std::string{event};
    for (const auto& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        line += escape_log_value(field.value);
    }
    logger()->forcedLog(log4cxx_level, line, LOG4CXX_LOCATION);
}

} // namespace

std::string escape_log_value(std::string_view value) {
    const auto truncated = value.substr(0, max_value_length);
    if (is_plain(truncated) && truncated.size() == value.size()) {
        return std::string{truncated};
    }
    std::string escaped = "\"";
    for (const char character : truncated) {
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
    return escaped + (truncated.size() < value.size() ? "...\"" : "\"");
}

void start_logging(const std::string& level, const std::string& host) {
    const auto pattern =
        "time=%d{yyyy-MM-dd}{GMT}T%d{HH:mm:ss.SSS}{GMT}Z level=%p host=" + escape_log_value(host) + " %m%n";
    const auto appender = std::make_shared<buffer_appender>();
    appender->setLayout(std::make_shared<log4cxx::PatternLayout>(pattern));
    log4cxx::BasicConfigurator::configure(appender);
    logger()->setLevel(log4cxx::Level::toLevel(level, log4cxx::Level::getInfo()));
}

void flush_log() {
    auto& buffer = shared_buffer();
    if (const auto dropped_lines = buffer.take_unreported_drops(); dropped_lines > 0) {
        log_event(log_level::warn, "log_lines_left_out",
                  {{"lines", dropped_lines}, {"total", buffer.dropped_lines()}});
    }
    buffer.write_to(STDOUT_FILENO);
}

std::uint64_t dropped_log_lines() noexcept {
    return shared_buffer().dropped_lines();
}

void set_log_level(const std::string& level) {
    logger()->setLevel(log4cxx::Level::toLevel(level, log4cxx::Level::getInfo()));
}

void log_call(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    next_line_priority = level >= log_level::warn ? log_priority::important : log_priority::ordinary;
    write_line(level, event, fields);
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    next_line_priority = log_priority::important;
    write_line(level, event, fields);
}

} // namespace chervilturn
