// Parsing of a backend server's statements and the order in which they apply.
#include "chervilturn/node/server_statement.hpp"

#include "chervilturn/core/decimal.hpp"
#include "chervilturn/transport/http.hpp"

namespace chervilturn {

namespace {

// Whether a stated rate limits more than the one in force; nothing stands for no limit.
[[nodiscard]] bool is_stricter(std::optional<double> stated, std::optional<double> in_force) {
    return stated && (!in_force || *stated < *in_force);
}

} // namespace

server_statement read_statement(const std::vector<header>& response_headers, const statement_headers& names) {
    server_statement stated;
    stated.leaving = find_header(response_headers, names.leaving) == "1";
    const auto rate_text = find_header(response_headers, names.calls_per_second);
    if (rate_text.empty()) {
        return stated;
    }
    stated.calls_per_second = parse_decimal(rate_text);
    if (!stated.calls_per_second) {
        stated.unreadable_rate = rate_text;
    }
    return stated;
}

bool server_statements::on_response(const server_statement& stated, instant sent_at, instant now) {
    const bool rate_changed = this->update_rate(stated, sent_at, now);
    const bool leaving_changed = this->update_leaving(stated.leaving, sent_at, now);
    return rate_changed || leaving_changed;
}

bool server_statements::update_rate(const server_statement& stated, instant sent_at, instant now) {
    if (!stated.unreadable_rate.empty()) {
        return false;
    }
    if (stated.calls_per_second == this->rate) {
        this->rate_stated_at = now;
        return false;
    }
    if (!is_stricter(stated.calls_per_second, this->rate) && sent_at < this->rate_stated_at) {
        return false;
    }
    this->rate = stated.calls_per_second;
    this->rate_stated_at = now;
    return true;
}

bool server_statements::update_leaving(bool stated, instant sent_at, instant now) noexcept {
    if (stated) {
        this->leaving_stated_at = now;
    } else if (sent_at < this->leaving_stated_at) {
        return false;
    }
    return std::exchange(this->is_leaving, stated) != stated;
}

} // namespace chervilturn
