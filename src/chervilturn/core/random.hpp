// Seeded random numbers. Every randomised decision takes its random source as an argument, so that tests are
// reproducible.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace chervilturn {

/// @brief A random sequence that its seed determines. Not thread-safe; each task has its own.
class random_source {
  public:
    explicit random_source(std::uint64_t seed) : engine{seed} {}

    /// @brief A uniformly distributed index in [0, count); count must be at least 1.
    [[nodiscard]] std::size_t index(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>{0, count - 1}(this->engine);
    }

    /// @brief At most count of the items, drawn without repetition, in random order.
    template<typename Item>
    [[nodiscard]] std::vector<Item> sample(std::vector<Item> items, std::size_t count) {
        std::shuffle(items.begin(), items.end(), this->engine);
        items.resize(std::min(items.size(), count));
        return items;
    }

    /// @brief A uniformly distributed number in [low, high).
    [[nodiscard]] double uniform(double low, double high) {
        return std::uniform_real_distribution<double>{low, high}(this->engine);
    }

    /// @brief 64 random bits.
    [[nodiscard]] std::uint64_t bits() { return this->engine(); }

  private:
    std::mt19937_64 engine;
};

} // namespace chervilturn
