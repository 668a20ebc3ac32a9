// Calls, revisions and pending watches of the stand-in for the users' store.
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

} // namespace

store_stand_in::store_stand_in(event_loop& shared_loop, const store_stand_in_options& store_options)
    : loop{&shared_loop}, options{store_options} {}

result<success, transport_error> store_stand_in::listen(const std::string& host,
                                                        const address& listen_address) {
    auto new_server = http_server::listen(
        *this->loop, listen_address, {},
        [this, host](const std::shared_ptr<http_exchange>& exchange) { this->on_request(host, exchange); });
    if (!succeeded(new_server)) {
        return error_of(new_server);
    }
    this->hosts[host].server = value_of(std::move(new_server));
    return success{};
}

std::uint64_t store_stand_in::put(const std::string& key, const std::string& value) {
    ++this->revision;
    auto& stored = this->items[key];
    stored.value = value;
    stored.revision = this->revision;
    stored.created = stored.created == 0 ? this->revision : stored.created;
    this->record_change({key, this->revision, false, value, stored.created});
    return this->revision;
}

std::uint64_t store_stand_in::remove(const std::string& key) {
    if (this->items.erase(key) > 0) {
        ++this->revision;
        this->record_change({key, this->revision, true, {}, 0});
    }
    return this->revision;
}

void store_stand_in::record_change(change latest) {
    this->changes.push_back(std::move(latest));
    if (this->changes.size() > this->options.history) {
        this->forgotten_revision = std::max(this->forgotten_revision, this->changes.front().revision);
        this->changes.pop_front();
    }
    this->answer_watches();
}

void store_stand_in::set_mode(store_mode new_mode) {
    for (auto& [name, host] : this->hosts) {
        host.mode = new_mode;
    }
    if (new_mode != store_mode::up) {
        this->cut_watches();
    }
    this->unanswered_calls.clear();
}

void store_stand_in::set_mode(const std::string& host, store_mode new_mode) {
    this->hosts.at(host).mode = new_mode;
}

void store_stand_in::save_copy() {
    this->copied_items = this->items;
    this->copied_revision = this->revision;
}

void store_stand_in::restore() {
    this->items = this->copied_items;
    this->revision = this->copied_revision;
    std::erase_if(this->changes,
                  [this](const change& past_change) { return past_change.revision > this->revision; });
    ++this->present_era;
    this->cut_watches();
}

std::vector<std::string> store_stand_in::keys(const std::string& prefix) const {
    std::vector<std::string> found;
    for (const auto& [key, stored] : this->items) {
        if (key.starts_with(prefix)) {
            found.push_back(key);
        }
    }
    return found;
}

void store_stand_in::respond(http_exchange& exchange, std::uint16_t status, const std::string& body) const {
    http_response response{.status = status, .headers = {{"Content-Type", "application/json"}}, .body = body};
    if (this->present_era > 0) {
        response.headers.push_back({"Store-Era", std::to_string(this->present_era)});
    }
    exchange.respond(response);
}

void store_stand_in::cut_watches() {
    this->watches.clear();
}

void store_stand_in::on_request(const std::string& host, const std::shared_ptr<http_exchange>& exchange) {
    ++this->call_count;
    if (this->call_handler) {
        this->call_handler();
    }
    switch (this->hosts.at(host).mode) {
    case store_mode::down:
        this->respond(*exchange, 503, "{}");
        return;
    case store_mode::throttled:
        this->respond(*exchange, 429, "{}");
        return;
    case store_mode::silent:
        this->unanswered_calls.push_back(exchange);
        return;
    case store_mode::slow: {
        this->delay_timers.push_back(
            std::make_unique<timer>(*this->loop, [this, exchange] { this->serve(exchange); }));
        this->delay_timers.back()->start_once(this->options.slow_delay);
        return;
    }
    case store_mode::lost_answers:
        if (this->call_count % 2 == 0) {
            this->unanswered_calls.push_back(exchange);
            return;
        }
        break;
    case store_mode::up:
        break;
    }
    this->serve(exchange);
}

void store_stand_in::serve(const std::shared_ptr<http_exchange>& exchange) {
    const stand_ins::query request_target{exchange->request().target};
    const auto prefix = decode_url(request_target.text("path_prefix"));
    const auto after = decode_url(request_target.text("after"));
    if (request_target.path == "/kv-range") {
        this->serve_range(*exchange, prefix, after);
    } else if (request_target.path == "/kv-watch") {
        this->serve_watch(exchange, prefix, std::strtoull(after.c_str(), nullptr, 10),
                          std::chrono::milliseconds{request_target.number("wait_ms", 0)});
    } else if (request_target.path == "/kv-key") {
        const auto key = decode_url(request_target.text("key"));
        const auto found = this->items.find(key);
        if (found == this->items.end()) {
            this->respond(*exchange, 404, json({{"at_rev", this->revision}}).dump());
            return;
        }
        auto body = item_json(key, found->second.value, found->second.revision, found->second.created);
        body["at_rev"] = this->revision;
        this->respond(*exchange, 200, body.dump());
    } else {
        this->respond(*exchange, 400, "{}");
    }
}

void store_stand_in::serve_range(http_exchange& exchange, const std::string& prefix,
                                 const std::string& after) const {
    auto item_list = json::array();
    bool more = false;
    for (auto found = after.empty() ? this->items.lower_bound(prefix) : this->items.upper_bound(after);
         found != this->items.end() && found->first.starts_with(prefix); ++found) {
        if (item_list.size() >= this->options.page_items) {
            more = true;
            break;
        }
        item_list.push_back(
            item_json(found->first, found->second.value, found->second.revision, found->second.created));
    }
    this->respond(
        exchange, 200,
        json({{"items", std::move(item_list)}, {"has_more", more}, {"at_rev", this->revision}}).dump());
}

void store_stand_in::serve_watch(const std::shared_ptr<http_exchange>& exchange, const std::string& prefix,
                                 std::uint64_t after, microseconds wait) {
    if (after < this->forgotten_revision || after > this->revision) {
        this->respond(*exchange, 410, "{}");
        return;
    }
    if (this->answer_watch(*exchange, prefix, after, wait == microseconds::zero())) {
        return;
    }
    this->watches.push_back({exchange, prefix, after, nullptr});
    const auto new_watch = std::prev(this->watches.end());
    new_watch->expiry = std::make_unique<timer>(*this->loop, [this, new_watch] {
        const auto expired_watch = std::move(*new_watch);
        this->watches.erase(new_watch);
        static_cast<void>(
            this->answer_watch(*expired_watch.exchange, expired_watch.prefix, expired_watch.after, true));
    });
    new_watch->expiry->start_once(wait);
}

bool store_stand_in::answer_watch(http_exchange& exchange, const std::string& prefix, std::uint64_t after,
                                  bool even_if_empty) const {
    auto events = json::array();
    for (const auto& past_change : this->changes) {
        if (past_change.revision <= after || !past_change.key.starts_with(prefix)) {
            continue;
        }
        events.push_back(
            past_change.removed
                ? json{{"key", past_change.key}, {"rev", past_change.revision}, {"removed", true}}
                : item_json(past_change.key, past_change.value, past_change.revision, past_change.created));
    }
    if (events.empty() && !even_if_empty) {
        return false;
    }
    this->respond(exchange, 200, json({{"events", std::move(events)}, {"at_rev", this->revision}}).dump());
    return true;
}

void store_stand_in::answer_watches() {
    std::erase_if(this->watches, [this](const pending_watch& watch) {
        return this->answer_watch(*watch.exchange, watch.prefix, watch.after, false);
    });
}

} // namespace chervilturn::test
