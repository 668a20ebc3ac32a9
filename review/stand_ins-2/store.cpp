// Calls of the stand-in for the store.
#include "stand_ins-2/store.hpp"

#include <nlohmann/json.hpp>

namespace review {

namespace {

using nlohmann::json;

constexpr std::size_t page_items = 500;
constexpr auto keep_connection = std::chrono::minutes{10};

[[nodiscard]] std::string encode_base64(const std::string& bytes) {
    constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        unsigned group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            const auto position = index + offset;
            group =
                group << 8U | (position < bytes.size() ? static_cast<unsigned char>(bytes[position]) : 0U);
        }
        for (std::size_t offset = 0; offset < 4; ++offset) {
            const bool is_padding = index + offset > bytes.size();
            text += is_padding ? '=' : letters[group >> (18U - 6U * offset) & 63U];
        }
    }
    return text;
}

[[nodiscard]] std::string parameter(const std::string& target, const std::string& name) {
    for (const auto* separator : {"?", "&"}) {
        const auto found = target.find(separator + name + '=');
        if (found != std::string::npos) {
            const auto start = found + name.size() + 2;
            return target.substr(start, target.find('&', start) - start);
        }
    }
    return {};
}

[[nodiscard]] std::string decode_percent(const std::string& text) {
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            decoded += static_cast<char>(std::strtol(text.substr(index + 1, 2).c_str(), nullptr, 16));
            index += 2;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

} // namespace

bool metadata_store::start(const endpoint& address) {
    return this->listener.start(address, [this](http_connection& connection) { this->serve(connection); });
}

void metadata_store::stop() {
    {
        const std::lock_guard lock{this->guard};
        this->stopping = true;
    }
    this->changed.notify_all();
    this->listener.stop();
}

void metadata_store::put(const std::string& key, const std::string& value) {
    const std::lock_guard lock{this->guard};
    auto& written = this->items[key];
    written = {.value = value,
               .revision = ++this->revision,
               .created = written.created == 0 ? this->revision : written.created};
    this->changes.push_back({.key = key, .revision = this->revision, .removed = false, .written = written});
    this->changed.notify_all();
}

void metadata_store::remove(const std::string& key) {
    const std::lock_guard lock{this->guard};
    if (this->items.erase(key) > 0) {
        this->changes.push_back({.key = key, .revision = ++this->revision, .removed = true, .written = {}});
        this->changed.notify_all();
    }
}

void metadata_store::serve(http_connection& connection) {
    http_message request;
    while (connection.read(request, steady_clock::now() + keep_connection) == read_end::complete) {
        const auto target = request.target();
        const auto after = decode_percent(parameter(target, "after"));
        http_message response{
            .start_line = "HTTP/1.1 200 OK", .headers = {{"Content-Type", "application/json"}}, .body = {}};
        if (target.starts_with("/kv-range?")) {
            response.body = this->range(after);
        } else if (target.starts_with("/kv-watch?")) {
            const auto wait = std::atoi(parameter(target, "wait_ms").c_str());
            auto changes =
                this->watch(std::strtoull(after.c_str(), nullptr, 10), std::chrono::milliseconds{wait});
            if (!changes) {
                return;
            }
            response.body = std::move(*changes);
        } else {
            response.start_line = "HTTP/1.1 404 Not Found";
        }
        if (!connection.write(message_text(response))) {
            return;
        }
    }
}

std::string metadata_store::range(const std::string& after) {
    const std::lock_guard lock{this->guard};
    auto listed = json::array();
    auto next = after.empty() ? this->items.begin() : this->items.upper_bound(after);
    for (; next != this->items.end() && listed.size() < page_items; ++next) {
        listed.push_back({{"key", next->first},
                          {"value", encode_base64(next->second.value)},
                          {"rev", next->second.revision},
                          {"created_rev", next->second.created},
                          {"lease_id", 0}});
    }
    return json{{"items", listed}, {"has_more", next != this->items.end()}, {"at_rev", this->revision}}
        .dump();
}

int metadata_store::cut_watches() {
    const std::lock_guard lock{this->guard};
    ++this->cuts;
    this->changed.notify_all();
    return this->waiting;
}

std::optional<std::string> metadata_store::watch(std::uint64_t after, std::chrono::milliseconds wait) {
    std::unique_lock lock{this->guard};
    const auto cuts_before = this->cuts;
    ++this->waiting;
    this->changed.wait_for(lock, wait, [this, after, cuts_before] {
        return this->stopping || this->cuts > cuts_before || this->revision > after;
    });
    --this->waiting;
    if (this->cuts > cuts_before) {
        return std::nullopt;
    }
    auto events = json::array();
    for (const auto& known : this->changes) {
        if (known.revision <= after) {
            continue;
        }
        if (known.removed) {
            events.push_back({{"key", known.key}, {"rev", known.revision}, {"removed", true}});
        } else {
            events.push_back({{"key", known.key},
                              {"value", encode_base64(known.written.value)},
                              {"rev", known.revision},
                              {"created_rev", known.written.created},
                              {"lease_id", 0}});
        }
    }
    return json{{"events", events}, {"at_rev", this->revision}}.dump();
}

} // namespace review
