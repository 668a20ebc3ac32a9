// Stand-in for the users' metadata store: ranges with pages, watches, limits of history, and its troubles.
#pragma once

#include "chervilturn/transport/http.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilturn::test {

/// @brief How the store meets the calls of a host.
enum class store_mode {
    up,
    down,         // 503
    throttled,    // 429
    slow,         // answers after a delay
    silent,       // takes calls and never answers
    lost_answers, // answers one call in two
};

/// @brief Bounds of the stand-in.
struct store_stand_in_options {
    std::size_t page_items = 500;
    std::size_t history = 1000; // changes that a watch can go back
    microseconds slow_delay = std::chrono::milliseconds{600};
};

/// @brief Keys with revisions, served at one address for each host, so that hosts can be treated unlike.
class store_stand_in {
  public:
    store_stand_in(event_loop& loop, const store_stand_in_options& options);

    /// @brief Serves one host at an address; fails when it cannot listen there.
    [[nodiscard]] result<success, transport_error> listen(const std::string& host, const address& where);

    std::uint64_t put(const std::string& key, const std::string& value);
    std::uint64_t remove(const std::string& key);

    void set_mode(store_mode wanted);
    void set_mode(const std::string& host, store_mode wanted);

    /// @brief Watches from before now get 410.
    void forget_history() { this->oldest = this->revision; }

    /// @brief Ends the watches that wait.
    void cut_watches();

    [[nodiscard]] std::uint64_t reads() const noexcept { return this->calls; }

  private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct change {
        std::string key;
        std::uint64_t revision = 0;
        bool removed = false;
        std::string value;
        std::uint64_t created = 0;
    };
    struct waiting_watch {
        std::shared_ptr<http_exchange> exchange;
        std::string prefix;
        std::uint64_t after = 0;
        std::unique_ptr<timer> expiry;
    };
    struct served_host {
        std::unique_ptr<http_server> server;
        store_mode mode = store_mode::up;
    };

    void on_call(const std::string& host, const std::shared_ptr<http_exchange>& exchange);
    void serve(const std::shared_ptr<http_exchange>& exchange);
    void serve_range(http_exchange& exchange, const std::string& prefix, const std::string& after) const;
    void serve_watch(const std::shared_ptr<http_exchange>& exchange, const std::string& prefix,
                     std::uint64_t after, microseconds wait);
    [[nodiscard]] bool answer_watch(http_exchange& exchange, const std::string& prefix, std::uint64_t after,
                                    bool even_if_empty) const;
    void record(change made);
    void wake_watches();

    event_loop* loop;
    store_stand_in_options options;
    std::map<std::string, served_host> hosts;
    std::map<std::string, item> items;
    std::deque<change> changes; // oldest first
    std::uint64_t revision = 1;
    std::uint64_t oldest = 0; // changes up to this revision are forgotten
    std::uint64_t calls = 0;
    std::list<waiting_watch> watches;
    std::vector<std::shared_ptr<http_exchange>> unanswered;
    std::list<std::unique_ptr<timer>> delayed;
};

} // namespace chervilturn::test
