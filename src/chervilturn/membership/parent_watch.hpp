// When a node reads the platform itself because the peer that relays settings to it may have failed.
#pragma once

#include "chervilturn/core/time.hpp"

#include <optional>

namespace chervilturn {

/// @brief Measures how long the followed parent has not been heard.
///
/// One period covers everything that a node tries meanwhile: a replacement connection to the parent, further
/// attempts, other parents. So the time without a source of settings has one bound, whatever these attempts
/// take and however the parent failed.
class parent_watch {
  public:
    /// @brief The patience is how long a parent may be unheard.
    explicit parent_watch(microseconds initial_patience) : patience{initial_patience} {}

    /// @brief The parent has not been heard since then: it was asked to send settings, its connection ended,
    /// or it fell silent. Of several times, the earliest counts until a parent responds.
    void on_unheard(instant since) noexcept;

    /// @brief A parent has responded.
    void on_responded() noexcept { this->unheard_since.reset(); }

    /// @brief When to read the platform; nothing while a parent is heard.
    [[nodiscard]] std::optional<instant> own_reading_due() const noexcept;

    /// @brief How long no parent has been heard; zero while one is.
    [[nodiscard]] microseconds unheard_for(instant now) const noexcept;

  private:
    microseconds patience;
    std::optional<instant> unheard_since; // empty while a parent is heard
};

} // namespace chervilturn
