// Deficit round robin between the workspaces of a class, and the order of the classes.
#include "chervilturn/admission/fair_queue.hpp"

#include <algorithm>
#include <numeric>

namespace chervilturn {

namespace {

constexpr std::uint32_t max_urgent_in_a_row = 4; // while normal calls wait

} // namespace

void fair_queue::class_queue::push(const queue_entry& entry) {
    auto [found, added] = this->flows.try_emplace(entry.workspace);
    if (added) {
        this->active_flows.push_back(entry.workspace);
    }
    found->second.entries.push_back(entry);
}

queue_entry fair_queue::class_queue::pop() {
    const auto workspace = this->active_flows.front();
    auto& current = this->flows[workspace];
    if (current.deficit == 0) {
        current.deficit = std::max(1U, current.entries.front().weight);
    }
    auto removed = std::move(current.entries.front());
    current.entries.pop_front();
    --current.deficit;
    if (current.entries.empty()) {
        this->remove_flow(workspace);
    } else if (current.deficit == 0) {
        this->active_flows.pop_front();
        this->active_flows.push_back(workspace);
    }
    return removed;
}

queue_entry fair_queue::class_queue::pop_newest(const std::string& workspace) {
    auto& entries = this->flows.at(workspace).entries;
    auto newest = std::move(entries.back());
    entries.pop_back();
    if (entries.empty()) {
        this->remove_flow(workspace);
    }
    return newest;
}

std::size_t fair_queue::class_queue::size() const noexcept {
    return std::accumulate(
        this->flows.begin(), this->flows.end(), std::size_t{0},
        [](std::size_t sum, const auto& named) { return sum + named.second.entries.size(); });
}

void fair_queue::class_queue::remove_flow(const std::string& workspace) {
    const auto position = std::find(this->active_flows.begin(), this->active_flows.end(), workspace);
    if (position != this->active_flows.end()) {
        this->active_flows.erase(position);
    }
    this->flows.erase(workspace);
}

void fair_queue::push(const queue_entry& entry) {
    auto& call_class = entry.nested ? this->nested : entry.urgent ? this->urgent : this->normal;
    call_class.push(entry);
    ++this->count;
}

std::optional<queue_entry> fair_queue::pop(instant now) {
    if (this->count == 0) {
        return std::nullopt;
    }
    this->move_late_calls(now);
    --this->count;
    if (!this->nested.flows.empty()) {
        return this->nested.pop();
    }
    const bool has_normal = !this->normal.flows.empty();
    if (!has_normal && this->urgent.flows.empty()) {
        return this->late.pop();
    }
    const bool urgent_allowed = !has_normal || this->urgent_in_a_row < max_urgent_in_a_row;
    if (!this->urgent.flows.empty() && urgent_allowed) {
        ++this->urgent_in_a_row;
        return this->urgent.pop();
    }
    this->urgent_in_a_row = 0;
    return this->normal.pop();
}

// A late nested call keeps its place: its parent loses more by waiting behind other late calls.
void fair_queue::move_late_calls(instant now) {
    for (auto& entry : this->take_if([now](const queue_entry& queued_call) {
             return !queued_call.nested && queued_call.latest_start <= now;
         })) {
        this->late.push(entry);
        ++this->count;
    }
}

bool fair_queue::remove(const attempt_id& attempt) {
    for (auto* queue : {&this->nested, &this->urgent, &this->normal, &this->late}) {
        for (auto& [workspace, queued_flow] : queue->flows) {
            const auto found =
                std::find_if(queued_flow.entries.begin(), queued_flow.entries.end(),
                             [&attempt](const auto& entry) { return entry.attempt == attempt; });
            if (found == queued_flow.entries.end()) {
                continue;
            }
            queued_flow.entries.erase(found);
            --this->count;
            if (queued_flow.entries.empty()) {
                queue->remove_flow(std::string{workspace});
            }
            return true;
        }
    }
    return false;
}

std::vector<queue_entry> fair_queue::expire(const std::function<bool(const queue_entry&)>& is_expired) {
    return this->take_if(is_expired);
}

std::vector<queue_entry> fair_queue::take_overtaken(instant now) {
    this->move_late_calls(now);
    const bool others_wait = this->count > this->late.size();
    std::vector<queue_entry> overtaken;
    while (others_wait && !this->late.flows.empty()) {
        overtaken.push_back(this->late.pop());
        --this->count;
    }
    return overtaken;
}

std::vector<queue_entry> fair_queue::take_reroutable() {
    return this->take_if([](const queue_entry& entry) { return !entry.last_resort; });
}

std::vector<queue_entry> fair_queue::clear() {
    return this->take_if([](const queue_entry&) { return true; });
}

std::size_t fair_queue::size_of(const std::string& workspace) const {
    std::size_t total = 0;
    for (const auto* queue : {&this->nested, &this->urgent, &this->normal, &this->late}) {
        const auto found = queue->flows.find(workspace);
        total += found == queue->flows.end() ? 0 : found->second.entries.size();
    }
    return total;
}

double fair_queue::share_of(const std::string& workspace, std::uint32_t weight) const {
    return static_cast<double>(this->size_of(workspace)) / std::max(1U, weight);
}

queue_share fair_queue::largest_share() const {
    queue_share largest;
    for (const auto* queue : {&this->nested, &this->urgent, &this->normal, &this->late}) {
        for (const auto& [workspace, queued_flow] : queue->flows) {
            const double share = this->share_of(workspace, queued_flow.entries.front().weight);
            if (share > largest.calls_per_weight) {
                largest = {workspace, share};
            }
        }
    }
    return largest;
}

std::size_t fair_queue::size_before(const queue_entry& entry) const noexcept {
    return entry.nested ? this->nested.size() : this->count;
}

std::optional<queue_entry> fair_queue::remove_newest(const std::string& workspace) {
    for (auto* queue : {&this->late, &this->normal, &this->urgent, &this->nested}) {
        if (queue->flows.contains(workspace)) {
            --this->count;
            return queue->pop_newest(workspace);
        }
    }
    return std::nullopt;
}

std::optional<queue_entry> fair_queue::remove_newest_outer() {
    for (auto* queue : {&this->late, &this->normal, &this->urgent}) {
        const auto longest = std::max_element(
            queue->flows.begin(), queue->flows.end(), [](const auto& left, const auto& right) {
                return left.second.entries.size() < right.second.entries.size();
            });
        if (longest != queue->flows.end()) {
            --this->count;
            return queue->pop_newest(std::string{longest->first});
        }
    }
    return std::nullopt;
}

std::vector<queue_entry> fair_queue::take_if(const std::function<bool(const queue_entry&)>& predicate) {
    std::vector<queue_entry> removed;
    for (auto* queue : {&this->nested, &this->urgent, &this->normal, &this->late}) {
        std::vector<std::string> empty_flows;
        for (auto& [workspace, queued_flow] : queue->flows) {
            std::deque<queue_entry> remaining;
            for (auto& entry : queued_flow.entries) {
                if (predicate(entry)) {
                    removed.push_back(std::move(entry));
                } else {
                    remaining.push_back(std::move(entry));
                }
            }
            queued_flow.entries = std::move(remaining);
            if (queued_flow.entries.empty()) {
                empty_flows.push_back(workspace);
            }
        }
        for (const auto& workspace : empty_flows) {
            queue->remove_flow(workspace);
        }
    }
    this->count -= removed.size();
    return removed;
}

} // namespace chervilturn
