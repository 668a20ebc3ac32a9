// Stand-in for the users' metadata store: pages of items and watches with a history.
#pragma once

#include "stand_ins-2/http_stream.hpp"

#include <condition_variable>
#include <map>

namespace review {

/// @brief Keeps all items and all changes since its start, and answers kv-range and kv-watch.
class metadata_store {
  public:
    metadata_store() = default;
    metadata_store(const metadata_store&) = delete;
    metadata_store& operator=(const metadata_store&) = delete;
    ~metadata_store() { this->stop(); }

    [[nodiscard]] bool start(const endpoint& address);
    void stop();

    /// @brief Writes an item.
    void put(const std::string& key, const std::string& value);

    /// @brief Removes an item if it exists.
    void remove(const std::string& key);

    /// @brief Closes the connections of all watches that are waiting; returns their number.
    int cut_watches();

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
        item written;
    };

    void serve(http_connection& connection);
    [[nodiscard]] std::string range(const std::string& after);
    // Nothing when the watch is cut.
    [[nodiscard]] std::optional<std::string> watch(std::uint64_t after, std::chrono::milliseconds wait);

    http_listener listener;
    std::mutex guard;
    std::condition_variable changed;
    std::map<std::string, item> items;
    std::vector<change> changes;
    std::uint64_t revision = 1;
    std::uint64_t cuts = 0; // calls of cut_watches
    int waiting = 0;        // watches
    bool stopping = false;
};

} // namespace review
