// Body of a request that all its holders share: the call, its attempts and the output to a socket.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace chervilturn {

class byte_share;

/// @brief The bytes of a body. Copies refer to the same bytes, which never change.
class shared_body {
  public:
    shared_body() = default;

    /// @brief Takes the bytes, and what the message draws from a byte budget if it does. Both live as long as
    /// the last copy.
    shared_body(std::string bytes, std::shared_ptr<byte_share> share = nullptr) {
        if (!bytes.empty() || share != nullptr) {
            this->content =
                std::make_shared<const held_bytes>(held_bytes{std::move(bytes), std::move(share)});
        }
    }
    shared_body(const char* bytes) : shared_body{std::string{bytes}} {}

    [[nodiscard]] std::string_view text() const noexcept {
        return this->content == nullptr ? std::string_view{} : std::string_view{this->content->bytes};
    }

    [[nodiscard]] std::size_t size() const noexcept { return this->text().size(); }
    [[nodiscard]] bool empty() const noexcept { return this->text().empty(); }

    /// @brief Keeps the bytes alive; null when there are none.
    [[nodiscard]] std::shared_ptr<const void> holder() const noexcept { return this->content; }

    friend bool operator==(const shared_body& left, const shared_body& right) noexcept {
        return left.text() == right.text();
    }

  private:
    struct held_bytes {
        std::string bytes;
        std::shared_ptr<byte_share> share;
    };

    std::shared_ptr<const held_bytes> content; // null when there is nothing to hold
};

} // namespace chervilturn
