// Decides which body may grow, and tells those that wait when room appears.
#include "chervilturn/core/byte_budget.hpp"

#include <algorithm>
#include <numeric>

namespace chervilturn {

byte_budget::byte_budget(const byte_budget_options& initial_options) : options{initial_options} {}

std::size_t byte_budget::waiting() const noexcept {
    const auto count = [](const auto& shares) {
        return std::count_if(shares.begin(), shares.end(),
                             [](const auto* share) { return share->is_waiting; });
    };
    return static_cast<std::size_t>(count(this->growing) + count(this->requests));
}

byte_grant byte_budget::decide(const byte_share& share, std::size_t further) const {
    return share.kind == share_kind::request ? this->decide_request(share, further)
                                             : this->decide_response(share, further);
}

byte_grant byte_budget::decide_request(const byte_share& share, std::size_t further) const {
    const auto total = share.held + further;
    if (total > this->options.limit) {
        return byte_grant::refused;
    }
    const bool never_fits_beside = total + this->options.headroom > this->options.limit;
    const bool may_use_headroom = total <= max_short_request || never_fits_beside;
    const auto kept_free = may_use_headroom ? this->options.headroom / 2 : this->options.headroom;
    const bool is_alone = this->used_bytes == share.held;
    return is_alone || this->used_bytes + further + kept_free <= this->options.limit ? byte_grant::granted
                                                                                     : byte_grant::wait;
}

byte_grant byte_budget::decide_response(const byte_share& share, std::size_t further) const {
    const auto limit = std::min(this->options.limit, this->options.response_limit);
    const auto wanted = this->response_bytes + further;
    const bool has_room = this->used_bytes + further <= this->options.limit;
    if (has_room && wanted + this->options.headroom <= limit) {
        return byte_grant::granted;
    }
    if (!this->is_largest_growing(share)) {
        return byte_grant::wait;
    }
    if (has_room && wanted <= limit) {
        return byte_grant::granted;
    }
    return this->growing_bytes() + further <= limit ? byte_grant::wait : byte_grant::refused;
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
    std::erase(this->requests, &share);
}

void byte_budget::call_waiting() {
    for (const auto* shares : {&this->growing, &this->requests}) {
        for (const auto* share : *shares) {
            if (share->is_waiting) {
                share->room_handler();
            }
        }
    }
}

void byte_budget::count(const byte_share& share, std::size_t bytes) noexcept {
    this->used_bytes += bytes;
    this->response_bytes += share.kind == share_kind::response ? bytes : 0;
}

void byte_budget::uncount(const byte_share& share, std::size_t bytes) noexcept {
    this->used_bytes -= bytes;
    this->response_bytes -= share.kind == share_kind::response ? bytes : 0;
}

void byte_budget::report_shortage() const {
    if (this->shortage_handler) {
        this->shortage_handler();
    }
}

byte_share::byte_share(byte_budget& owning_budget, std::function<void()> on_room, share_kind belonging_to)
    : budget{&owning_budget}, kind{belonging_to}, room_handler{std::move(on_room)} {
    auto& arriving = belonging_to == share_kind::request ? this->budget->requests : this->budget->growing;
    arriving.push_back(this);
}

byte_share::byte_share(byte_budget& owning_budget, std::size_t held_bytes)
    : budget{&owning_budget}, held{held_bytes} {
    this->budget->count(*this, held_bytes);
    if (this->budget->used_bytes > this->budget->options.limit) {
        this->budget->report_shortage();
    }
}

byte_share::~byte_share() {
    this->budget->uncount(*this, this->held);
    this->budget->remove(*this);
    this->budget->call_waiting();
}

byte_grant byte_share::grow_to(std::size_t bytes) {
    const auto further = bytes > this->held ? bytes - this->held : 0;
    const auto grant = further == 0 ? byte_grant::granted : this->budget->decide(*this, further);
    this->is_waiting = grant == byte_grant::wait;
    if (grant == byte_grant::granted) {
        this->budget->count(*this, further);
        this->held += further;
    } else if (grant == byte_grant::wait) {
        this->budget->report_shortage();
    }
    return grant;
}

void byte_share::complete(std::size_t bytes) {
    this->budget->uncount(*this, this->held);
    this->budget->count(*this, bytes);
    this->held = bytes;
    this->is_waiting = false;
    this->budget->remove(*this);
    this->budget->call_waiting();
}

} // namespace chervilturn
