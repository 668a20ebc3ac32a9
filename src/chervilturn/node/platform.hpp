// Interface to the platform that holds the settings: a tree of leaves that can be watched and read.
#pragma once

#include "chervilturn/config/tree.hpp"
#include "chervilturn/transport/http.hpp"

#include <functional>
#include <memory>

namespace chervilturn {

/// @brief Why a request to the platform failed: no response, an error status or an invalid body.
struct platform_error {
    std::string message;
};

/// @brief Path of a leaf that changed and the revision of the change.
struct changed_leaf {
    std::string path;
    revision_number revision = 0;
};

/// @brief The leaves that changed after the requested revision, up to a newer one.
struct watch_result {
    revision_number revision = 0; // up to which changes are listed
    bool complete = false;        // every leaf is listed; any other leaf does not exist
    std::uint64_t number = 0;     // of the result, for confirm()
    std::vector<changed_leaf> changed;
};

/// @brief Read-only access to the platform. Handlers are called from the event loop.
class platform {
  public:
    using watch_handler = std::function<void(result<watch_result, platform_error>)>;
    using read_handler = std::function<void(result<leaf, platform_error>)>;

    platform() = default;
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;
    virtual ~platform() = default;

    /// @brief Waits for changes after a revision, at most for the given time. The result lists no leaf when
    /// nothing has changed by then. A call replaces the one before, whose handler may never be called.
    virtual void watch(revision_number after, microseconds wait, watch_handler handler) = 0;

    /// @brief Reads one leaf. The result is marked as removed when the leaf has no value.
    virtual void read(const std::string& path, read_handler handler) = 0;

    /// @brief The caller has read everything that a result of watch() lists. Until then the platform lists it
    /// again in later results, unless these depend on the requested revision alone.
    virtual void confirm(std::uint64_t result_number) = 0;

    /// @brief Compares the caller's settings with the state that was read last. What differs and is not newer
    /// is listed in the next result, which watch() then gives at once. Returns the number of these leaves:
    /// always 0 of a platform that numbers the changes of each leaf, where none can be missed.
    [[nodiscard]] virtual std::size_t reconcile(const settings_tree& held) = 0;
};

/// @brief Client for the HTTP interface that docs/PLATFORM.md describes. After a failed request, further
/// requests go to the next address.
class http_platform final : public platform {
  public:
    http_platform(event_loop& loop, const std::vector<address>& addresses);

    void watch(revision_number after, microseconds wait, watch_handler handler) override;
    void read(const std::string& path, read_handler handler) override;
    void confirm(std::uint64_t) override {}
    [[nodiscard]] std::size_t reconcile(const settings_tree&) override { return 0; }

  private:
    using body_handler = std::function<void(result<std::string, platform_error>)>;

    void get(const std::string& target, microseconds timeout, body_handler handler);

    std::vector<std::unique_ptr<http_client>> clients;
    std::size_t current_index = 0; // of the client for the next request
};

} // namespace chervilturn
