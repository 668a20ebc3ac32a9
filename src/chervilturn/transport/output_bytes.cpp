// References long texts in libevent's buffers.
#include "chervilturn/transport/output_bytes.hpp"

#include <event2/buffer.h>
#include <utility>

namespace chervilturn::internal {

namespace {

constexpr std::size_t max_copied_bytes = 16UL * 1024;

struct referenced_bytes {
    std::string bytes;
    std::shared_ptr<const void> held;
};

} // namespace

bool add_without_copy(evbuffer* output, std::string&& bytes, std::shared_ptr<const void> held) {
    if (bytes.size() <= max_copied_bytes) {
        return evbuffer_add(output, bytes.data(), bytes.size()) == 0;
    }
    auto referenced = std::make_unique<referenced_bytes>(
        referenced_bytes{.bytes = std::move(bytes), .held = std::move(held)});
    const auto release = [](const void*, std::size_t, void* owner) {
        const std::unique_ptr<referenced_bytes> ended{static_cast<referenced_bytes*>(owner)};
    };
    if (evbuffer_add_reference(output, referenced->bytes.data(), referenced->bytes.size(), release,
                               referenced.get()) != 0) {
        return false;
    }
    static_cast<void>(referenced.release()); // the buffer owns it
    return true;
}

} // namespace chervilturn::internal
