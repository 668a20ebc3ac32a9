// Stand-in for the users' metadata store: serves ranges in pages and watches, keeps a limited history, and
// can be made to fail.
#pragma once

#include "chervilturn/transport/http.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilturn::test {

/// @brief How the store treats the calls of a host.
enum class store_mode {
    up,           // serves all calls
    down,         // responds with status 503
    throttled,    // responds with status 429
    slow,         // responds after a delay
    silent,       // accepts calls and never responds
    lost_answers, // leaves every second call unanswered
};

/// @brief Limits and delays of the stand-in.
struct store_stand_in_options {
    std::size_t page_items = 500; // at most, in a page of a range
    std::size_t history = 1000;   // number of latest changes that watches can request
    microseconds slow_delay = std::chrono::milliseconds{600}; // of responses in store_mode::slow
};

/// @brief Stores keys with revisions. Listens on one address per host, so that each host can get a mode of
/// its own.
class store_stand_in {
  public:
    store_stand_in(event_loop& shared_loop, const store_stand_in_options& store_options);

    /// @brief Listens for the calls of one host; fails when the address cannot be bound.
    [[nodiscard]] result<success, transport_error> listen(const std::string& host,
                                                          const address& listen_address);

    /// @brief Writes a key and returns the new revision of the store.
    std::uint64_t put(const std::string& key, const std::string& value);

    /// @brief Removes a key if it exists and returns the revision of the store.
    std::uint64_t remove(const std::string& key);

    /// @brief Sets the mode of all hosts and ends the unanswered calls with status 500. Any mode but `up`
    /// also cuts the watches.
    void set_mode(store_mode new_mode);

    /// @brief Sets the mode of one host; pending calls stay.
    void set_mode(const std::string& host, store_mode new_mode);

    /// @brief Discards the history: watches after an earlier revision get status 410.
    void forget_history() { this->forgotten_revision = this->revision; }

    /// @brief Copies all items, for restore().
    void save_copy();

    /// @brief Returns to the saved copy and begins a new era: revisions since the copy are given out again,
    /// and watches from a revision that the copy does not have get status 410. Cuts the watches.
    void restore();

    /// @brief Ends the pending watches with status 500.
    void cut_watches();

    /// @brief The keys that begin with a prefix.
    [[nodiscard]] std::vector<std::string> keys(const std::string& prefix) const;

    /// @brief Sets the era that responses state; 0 states none.
    void set_era(std::uint64_t era) noexcept { this->present_era = era; }

    /// @brief Sets a handler that is called before each call is served.
    void on_call(std::function<void()> handler) { this->call_handler = std::move(handler); }

    /// @brief Number of calls received, in all modes.
    [[nodiscard]] std::uint64_t reads() const noexcept { return this->call_count; }

  private:
    struct item {
        std::string value;
        std::uint64_t revision = 0; // of the latest write
        std::uint64_t created = 0;  // revision of the first write
    };
    struct change {
        std::string key;
        std::uint64_t revision = 0;
        bool removed = false;
        std::string value;         // empty when removed
        std::uint64_t created = 0; // revision of the first write; 0 when removed
    };
    struct pending_watch {
        std::shared_ptr<http_exchange> exchange;
        std::string prefix;
        std::uint64_t after = 0; // reports changes after this revision
        std::unique_ptr<timer> expiry;
    };
    struct served_host {
        std::unique_ptr<http_server> server;
        store_mode mode = store_mode::up;
    };

    void respond(http_exchange& exchange, std::uint16_t status, const std::string& body) const;
    void on_request(const std::string& host, const std::shared_ptr<http_exchange>& exchange);
    void serve(const std::shared_ptr<http_exchange>& exchange);
    void serve_range(http_exchange& exchange, const std::string& prefix, const std::string& after) const;
    void serve_watch(const std::shared_ptr<http_exchange>& exchange, const std::string& prefix,
                     std::uint64_t after, microseconds wait);

    // Responds with the changes of a prefix after a revision. False when there are none and nothing was sent.
    [[nodiscard]] bool answer_watch(http_exchange& exchange, const std::string& prefix, std::uint64_t after,
                                    bool even_if_empty) const;

    void record_change(change latest);
    void answer_watches();

    event_loop* loop;
    store_stand_in_options options;
    std::map<std::string, served_host> hosts;
    std::map<std::string, item> items;
    std::deque<change> changes; // oldest first
    std::uint64_t revision = 1;
    std::uint64_t forgotten_revision = 0; // changes up to this revision are not in the history
    std::uint64_t call_count = 0;
    std::uint64_t present_era = 1;
    std::function<void()> call_handler; // may be empty
    std::map<std::string, item> copied_items;
    std::uint64_t copied_revision = 1; // of the store at save_copy()
    std::list<pending_watch> watches;
    std::vector<std::shared_ptr<http_exchange>> unanswered_calls; // clearing them responds with status 500
    std::list<std::unique_ptr<timer>> delay_timers;               // of calls in store_mode::slow
};

} // namespace chervilturn::test
