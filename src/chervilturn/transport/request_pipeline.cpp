// Start of requests, order of responses and the end of a pipelined connection.
#include "chervilturn/transport/request_pipeline.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace chervilturn::internal {

namespace {

[[nodiscard]] std::size_t bytes_of(const std::vector<header>& headers) {
    return std::accumulate(
        headers.begin(), headers.end(), std::size_t{0},
        [](std::size_t sum, const header& item) { return sum + item.name.size() + item.value.size(); });
}

} // namespace

bool request_pipeline::has_room() const noexcept {
    return this->entries.empty() || (this->entries.size() < this->options.max_requests &&
                                     this->counted_bytes < this->options.max_bytes);
}

bool request_pipeline::has_last() const noexcept {
    return !this->entries.empty() && (this->closing || this->entries.back().last);
}

void request_pipeline::add(pipelined_request&& received) {
    entry added{.number = this->next_number++,
                .overlaps = received.overlaps,
                .last = this->closing || !received.keep_alive,
                .head_request = received.request.method == "HEAD",
                .bytes = received.request.body.size() + received.request.target.size() +
                         bytes_of(received.request.headers),
                .arrived = received.arrived,
                .request = std::move(received.request),
                .response = {}};
    this->counted_bytes += added.bytes;
    this->entries.push_back(std::move(added));
}

void request_pipeline::add_rejection(http_response&& response) {
    this->entries.push_back({.number = this->next_number++,
                             .reached = stage::answered,
                             .last = true,
                             .request = {},
                             .response = std::move(response)});
}

std::optional<started_request> request_pipeline::take_startable() {
    for (std::size_t position = 0; position < this->entries.size(); ++position) {
        auto& candidate = this->entries[position];
        if (candidate.reached == stage::waiting) {
            if (position > 0 && !candidate.overlaps) {
                return std::nullopt;
            }
            candidate.reached = stage::started;
            return started_request{candidate.number, std::move(candidate.request), candidate.arrived};
        }
        if (candidate.reached == stage::started && !candidate.overlaps) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

void request_pipeline::respond(std::uint64_t number, http_response response) {
    if (this->entries.empty() || number < this->entries.front().number ||
        number - this->entries.front().number >= this->entries.size()) {
        return;
    }
    auto& answered = this->entries[number - this->entries.front().number];
    if (answered.reached != stage::started) {
        return;
    }
    answered.reached = stage::answered;
    this->counted_bytes -= answered.bytes;
    answered.bytes = response.body.size() + bytes_of(response.headers);
    this->counted_bytes += answered.bytes;
    answered.response = std::move(response);
}

std::optional<next_response> request_pipeline::take_response() {
    if (this->entries.empty() || this->entries.front().reached != stage::answered) {
        return std::nullopt;
    }
    auto& first = this->entries.front();
    next_response taken{std::move(first.response), first.head_request,
                        first.last || (this->closing && this->entries.size() == 1)};
    this->counted_bytes -= first.bytes;
    this->entries.pop_front();
    return taken;
}

void request_pipeline::close() {
    this->closing = true;
    const auto unstarted = std::find_if(this->entries.begin(), this->entries.end(),
                                        [](const entry& item) { return item.reached == stage::waiting; });
    for (auto dropped = unstarted; dropped != this->entries.end(); ++dropped) {
        this->counted_bytes -= dropped->bytes;
    }
    this->entries.erase(unstarted, this->entries.end());
}

} // namespace chervilturn::internal
