// Keys, revisions and watches of the stand-in for the users' store.
#include "platform/store_stand_in.hpp"

#include "stand_ins/query.hpp"

#include <event2/http.h>
#include <kj/encoding.h>
#include <nlohmann/json.hpp>

namespace chervilturn::test {

namespace {

using nlohmann::json;

[[nodiscard]] std::string decode_url(const std::string& text) {
    std::size_t size = 0;
    char* decoded = evhttp_uridecode(text.c_str(), 0, &size);
    std::string copy{decoded, size};
    std::free(decoded);
    return copy;
}

[[nodiscard]] std::string encode_base64(const std::string& text) {
    const auto encoded = kj::encodeBase64(
        kj::ArrayPtr<const kj::byte>{reinterpret_cast<const kj::byte*>(text.data()), text.size()}, false);
    return encoded.cStr();
}

[[nodiscard]] json item_json(const std::string& key, const std::string& value, std::uint64_t revision,
                             std::uint64_t created) {
    return {{"key", key},
            {"value", encode_base64(value)},
            {"rev", revision},
            {"created_rev", created},
            {"lease_id", 0}};
}

void respond(http_exchange& exchange, std::uint16_t status, const json& body) {
    exchange.respond(
        {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()});
}

} // namespace

store_stand_in::store_stand_in(event_loop& used, const store_stand_in_options& given)
    : loop{&used}, options{given} {}

result<success, transport_error> store_stand_in::listen(const std::string& host, const address& where) {
    auto made = http_server::listen(
        *this->loop, where, {},
        [this, host](const std::shared_ptr<http_exchange>& exchange) { this->on_call(host, exchange); });
    if (!succeeded(made)) {
        return error_of(made);
    }
    this->hosts[host].server = value_of(std::move(made));
    return success{};
}

std::uint64_t store_stand_in::put(const std::string& key, const std::string& value) {
    ++this->revision;
    auto& held = this->items[key];
    held.value = value;
    held.revision = this->revision;
    held.created = held.created == 0 ? this->revision : held.created;
    this->record({key, this->revision, false, value, held.created});
    return this->revision;
}

std::uint64_t store_stand_in::remove(const std::string& key) {
    if (this->items.erase(key) > 0) {
        ++this->revision;
        this->record({key, this->revision, true, {}, 0});
    }
    return this->revision;
}

void store_stand_in::record(change made) {
    this->changes.push_back(std::move(made));
    if (this->changes.size() > this->options.history) {
        this->oldest = std::max(this->oldest, this->changes.front().revision);
        this->changes.pop_front();
    }
    this->wake_watches();
}

void store_stand_in::set_mode(store_mode wanted) {
    for (auto& [name, host] : this->hosts) {
        host.mode = wanted;
    }
    if (wanted != store_mode::up) {
        this->cut_watches();
    }
    this->unanswered.clear();
}

void store_stand_in::set_mode(const std::string& host, store_mode wanted) {
    this->hosts.at(host).mode = wanted;
}

void store_stand_in::cut_watches() {
    this->watches.clear();
}

void store_stand_in::on_call(const std::string& host, const std::shared_ptr<http_exchange>& exchange) {
    ++this->calls;
    switch (this->hosts.at(host).mode) {
    case store_mode::down:
        respond(*exchange, 503, json::object());
        return;
    case store_mode::throttled:
        respond(*exchange, 429, json::object());
        return;
    case store_mode::silent:
        this->unanswered.push_back(exchange);
        return;
    case store_mode::slow: {
        this->delayed.push_back(
            std::make_unique<timer>(*this->loop, [this, exchange] { this->serve(exchange); }));
        this->delayed.back()->start_once(this->options.slow_delay);
        return;
    }
    case store_mode::lost_answers:
        if (this->calls % 2 == 0) {
            this->unanswered.push_back(exchange);
            return;
        }
        break;
    case store_mode::up:
        break;
    }
    this->serve(exchange);
}

void store_stand_in::serve(const std::shared_ptr<http_exchange>& exchange) {
    const stand_ins::query asked{exchange->request().target};
    const auto prefix = decode_url(asked.text("path_prefix"));
    const auto after = decode_url(asked.text("after"));
    if (asked.path == "/kv-range") {
        this->serve_range(*exchange, prefix, after);
    } else if (asked.path == "/kv-watch") {
        this->serve_watch(exchange, prefix, std::strtoull(after.c_str(), nullptr, 10),
                          std::chrono::milliseconds{asked.number("wait_ms", 0)});
    } else if (asked.path == "/kv-key") {
        const auto key = decode_url(asked.text("key"));
        const auto found = this->items.find(key);
        if (found == this->items.end()) {
            respond(*exchange, 404, {{"at_rev", this->revision}});
            return;
        }
        auto body = item_json(key, found->second.value, found->second.revision, found->second.created);
        body["at_rev"] = this->revision;
        respond(*exchange, 200, body);
    } else {
        respond(*exchange, 400, json::object());
    }
}

void store_stand_in::serve_range(http_exchange& exchange, const std::string& prefix,
                                 const std::string& after) const {
    auto listed = json::array();
    bool more = false;
    for (auto found = after.empty() ? this->items.lower_bound(prefix) : this->items.upper_bound(after);
         found != this->items.end() && found->first.starts_with(prefix); ++found) {
        if (listed.size() >= this->options.page_items) {
            more = true;
            break;
        }
        listed.push_back(
            item_json(found->first, found->second.value, found->second.revision, found->second.created));
    }
    respond(exchange, 200, {{"items", std::move(listed)}, {"has_more", more}, {"at_rev", this->revision}});
}

void store_stand_in::serve_watch(const std::shared_ptr<http_exchange>& exchange, const std::string& prefix,
                                 std::uint64_t after, microseconds wait) {
    if (after < this->oldest) {
        respond(*exchange, 410, json::object());
        return;
    }
    if (this->answer_watch(*exchange, prefix, after, wait == microseconds::zero())) {
        return;
    }
    this->watches.push_back({exchange, prefix, after, nullptr});
    const auto added = std::prev(this->watches.end());
    added->expiry = std::make_unique<timer>(*this->loop, [this, added] {
        const auto held = std::move(*added);
        this->watches.erase(added);
        static_cast<void>(this->answer_watch(*held.exchange, held.prefix, held.after, true));
    });
    added->expiry->start_once(wait);
}

bool store_stand_in::answer_watch(http_exchange& exchange, const std::string& prefix, std::uint64_t after,
                                  bool even_if_empty) const {
    auto events = json::array();
    for (const auto& made : this->changes) {
        if (made.revision <= after || !made.key.starts_with(prefix)) {
            continue;
        }
        events.push_back(made.removed ? json{{"key", made.key}, {"rev", made.revision}, {"removed", true}}
                                      : item_json(made.key, made.value, made.revision, made.created));
    }
    if (events.empty() && !even_if_empty) {
        return false;
    }
    respond(exchange, 200, {{"events", std::move(events)}, {"at_rev", this->revision}});
    return true;
}

void store_stand_in::wake_watches() {
    std::erase_if(this->watches, [this](const waiting_watch& held) {
        return this->answer_watch(*held.exchange, held.prefix, held.after, false);
    });
}

} // namespace chervilturn::test
