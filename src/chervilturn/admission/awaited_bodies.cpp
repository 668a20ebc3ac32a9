// Parts and time limits of requested bodies.
#include "chervilturn/admission/awaited_bodies.hpp"

#include <algorithm>
#include <utility>

namespace chervilturn {

namespace {

// A body may take this long, and the time in which a link of 8 Mbit/s carries it.
constexpr microseconds base_wait = std::chrono::seconds{1};
constexpr std::size_t min_bytes_per_second = 1'000'000;

[[nodiscard]] microseconds longest_wait(std::size_t bytes) {
    constexpr std::size_t micros_per_second = 1'000'000;
    return base_wait + microseconds{bytes * micros_per_second / min_bytes_per_second};
}

} // namespace

void awaited_bodies::expect(const attempt_id& attempt, std::size_t announced_bytes,
                            std::shared_ptr<byte_share> share, instant now) {
    this->waits[attempt] = {.announced_bytes = announced_bytes,
                            .until = now + longest_wait(announced_bytes),
                            .received = {},
                            .share = std::move(share)};
}

body_arrival awaited_bodies::arrive(const attempt_id& attempt, std::size_t offset, const std::string& bytes) {
    const auto found = this->waits.find(attempt);
    if (found == this->waits.end() || offset != found->second.received.size()) {
        return body_arrival::unwanted;
    }
    auto& awaited = found->second;
    const auto left = awaited.announced_bytes - awaited.received.size();
    if (bytes.size() != left && bytes.size() != this->next_part(attempt).length) {
        this->waits.erase(found);
        return body_arrival::wrong_size;
    }
    awaited.received.reserve(awaited.announced_bytes);
    awaited.received.append(bytes);
    return bytes.size() == left ? body_arrival::complete : body_arrival::partial;
}

body_range awaited_bodies::next_part(const attempt_id& attempt) const {
    const auto& awaited = this->waits.at(attempt);
    const auto offset = awaited.received.size();
    return {.offset = offset, .length = std::min(max_body_part, awaited.announced_bytes - offset)};
}

shared_body awaited_bodies::take(const attempt_id& attempt) {
    auto taken = this->waits.extract(attempt);
    return taken.empty() ? shared_body{}
                         : shared_body{std::move(taken.mapped().received), std::move(taken.mapped().share)};
}

std::vector<attempt_id> awaited_bodies::take_overdue(instant now) {
    std::vector<attempt_id> overdue;
    std::erase_if(this->waits, [&](const auto& item) {
        const bool is_overdue = item.second.until <= now;
        if (is_overdue) {
            overdue.push_back(item.first);
        }
        return is_overdue;
    });
    return overdue;
}

} // namespace chervilturn
