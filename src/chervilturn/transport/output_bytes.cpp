// References long texts in libevent's buffers.
#include "chervilturn/transport/output_bytes.hpp"

#include <event2/buffer.h>
#include <utility>

namespace chervilturn::internal {

namespace {

constexpr std::size_t max_copied_bytes = 16UL * 1024;

struct owned_bytes {
    std::string bytes;
    std::shared_ptr<const void> held;
};

} // namespace

bool add_without_copy(evbuffer* output, std::string&& bytes, std::shared_ptr<const void> held) {
    if (bytes.size() <= max_copied_bytes) {
        return evbuffer_add(output, bytes.data(), bytes.size()) == 0;
    }
    const auto owned = std::make_shared<const owned_bytes>(owned_bytes{std::move(bytes), std::move(held)});
    return add_without_copy(output, std::string_view{owned->bytes}, owned);
}

bool add_without_copy(evbuffer* output, std::string_view bytes, std::shared_ptr<const void> holder) {
    if (bytes.size() <= max_copied_bytes) {
        return evbuffer_add(output, bytes.data(), bytes.size()) == 0;
    }
    using holder_pointer = std::shared_ptr<const void>;
    auto referenced = std::make_unique<holder_pointer>(std::move(holder));
    const auto release = [](const void*, std::size_t, void* owner) {
        const std::unique_ptr<holder_pointer> ended{static_cast<holder_pointer*>(owner)};
    };
    if (evbuffer_add_reference(output, bytes.data(), bytes.size(), release, referenced.get()) != 0) {
        return false;
    }
    static_cast<void>(referenced.release()); // the buffer owns it
    return true;
}

} // namespace chervilturn::internal
