// Seeded random numbers; every randomised decision takes its source as an argument.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace chervilturn {

/// @brief A reproducible sequence for one task.
class random_source {
  public:
    explicit random_source(std::uint64_t seed) : engine{seed} {}

    /// @brief An index below count, which must be at least 1.
    [[nodiscard]] std::size_t index(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>{0, count - 1}(this->engine);
    }

    /// @brief A number in [low, high).
    [[nodiscard]] double uniform(double low, double high) {
        return std::uniform_real_distribution<double>{low, high}(this->engine);
    }

    /// @brief Sixty-four random bits.
    [[nodiscard]] std::uint64_t bits() { return this->engine(); }

  private:
    std::mt19937_64 engine;
};

} // namespace chervilturn
