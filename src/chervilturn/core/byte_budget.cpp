// Decides which body may grow, and tells those that wait when room appears.
#include "chervilturn/core/byte_budget.hpp"

#include <algorithm>
#include <numeric>

namespace chervilturn {

byte_budget::byte_budget(const byte_budget_options& initial_options) : options{initial_options} {}

std::size_t byte_budget::waiting() const noexcept {
    return static_cast<std::size_t>(std::count_if(this->growing.begin(), this->growing.end(),
                                                  [](const auto* share) { return share->is_waiting; }));
}

byte_grant byte_budget::decide(const byte_share& share, std::size_t further) const {
    const auto wanted = this->used_bytes + further;
    if (wanted + this->options.headroom <= this->options.limit) {
        return byte_grant::granted;
    }
    if (!this->is_largest_growing(share)) {
        return byte_grant::wait;
    }
    if (wanted <= this->options.limit) {
        return byte_grant::granted;
    }
    return this->growing_bytes() + further <= this->options.limit ? byte_grant::wait : byte_grant::refused;
}

std::size_t byte_budget::growing_bytes() const noexcept {
    return std::accumulate(this->growing.begin(), this->growing.end(), std::size_t{0},
                           [](std::size_t sum, const auto* share) { return sum + share->held; });
}

// Of several equal ones, the first.
bool byte_budget::is_largest_growing(const byte_share& share) const noexcept {
    const auto largest =
        std::max_element(this->growing.begin(), this->growing.end(),
                         [](const auto* left, const auto* right) { return left->held < right->held; });
    return largest != this->growing.end() && *largest == &share;
}

void byte_budget::remove(const byte_share& share) noexcept {
    std::erase(this->growing, &share);
}

void byte_budget::call_waiting() {
    for (const auto* share : this->growing) {
        if (share->is_waiting) {
            share->room_handler();
        }
    }
}

byte_share::byte_share(byte_budget& owning_budget, std::function<void()> on_room)
    : budget{&owning_budget}, room_handler{std::move(on_room)} {
    this->budget->growing.push_back(this);
}

byte_share::byte_share(byte_budget& owning_budget, std::size_t held_bytes)
    : budget{&owning_budget}, held{held_bytes} {
    this->budget->used_bytes += held_bytes;
}

byte_share::~byte_share() {
    this->budget->used_bytes -= this->held;
    this->budget->remove(*this);
    this->budget->call_waiting();
}

byte_grant byte_share::grow_to(std::size_t bytes) {
    const auto further = bytes > this->held ? bytes - this->held : 0;
    const auto grant = further == 0 ? byte_grant::granted : this->budget->decide(*this, further);
    this->is_waiting = grant == byte_grant::wait;
    if (grant == byte_grant::granted) {
        this->budget->used_bytes += further;
        this->held += further;
    }
    return grant;
}

void byte_share::complete(std::size_t bytes) {
    this->budget->used_bytes -= this->held;
    this->budget->used_bytes += bytes;
    this->held = bytes;
    this->is_waiting = false;
    this->budget->remove(*this);
    this->budget->call_waiting();
}

} // namespace chervilturn
