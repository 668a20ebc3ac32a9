// The platform as the control task sees it: a tree of leaves that can be read and watched.
#pragma once

#include "chervilturn/config/tree.hpp"
#include "chervilturn/transport/http.hpp"

#include <functional>
#include <memory>

namespace chervilturn {

/// @brief A platform that did not answer, or answered nonsense.
struct platform_error {
    std::string message;
};

/// @brief A leaf that changed.
struct changed_leaf {
    std::string path;
    revision_number revision = 0;
};

/// @brief Everything that changed after a revision, up to another.
struct watch_result {
    revision_number revision = 0;
    bool complete = false; // every leaf is listed; all others do not exist
    std::vector<changed_leaf> changed;
};

/// @brief Reads the platform. Implementations never write to it.
class platform {
  public:
    using watch_handler = std::function<void(result<watch_result, platform_error>)>;
    using read_handler = std::function<void(result<leaf, platform_error>)>;

    platform() = default;
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;
    virtual ~platform() = default;

    /// @brief Waits for changes after a revision, for a time at the most; an empty result is normal.
    virtual void watch(revision_number after, microseconds wait, watch_handler handler) = 0;

    /// @brief Reads one leaf.
    virtual void read(const std::string& path, read_handler handler) = 0;
};

/// @brief The platform over HTTP, as docs/PLATFORM.md describes it. Turns to the next address on failure.
class http_platform final : public platform {
  public:
    http_platform(event_loop& loop, const std::vector<address>& addresses);

    void watch(revision_number after, microseconds wait, watch_handler handler) override;
    void read(const std::string& path, read_handler handler) override;

  private:
    using body_handler = std::function<void(result<std::string, platform_error>)>;

    void get(const std::string& target, microseconds timeout, body_handler handler);

    std::vector<std::unique_ptr<http_client>> clients;
    std::size_t current = 0;
};

} // namespace chervilturn
