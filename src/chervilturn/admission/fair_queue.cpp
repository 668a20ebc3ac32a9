// Deficit round robin between workspaces, with two classes.
#include "chervilturn/admission/fair_queue.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr std::uint32_t max_urgent_in_a_row = 4; // while calls of the normal class wait

} // namespace

void fair_queue::class_queue::push(const queue_entry& entry) {
    auto [found, added] = this->lanes.try_emplace(entry.workspace);
    if (added) {
        this->turns.push_back(entry.workspace);
    }
    found->second.entries.push_back(entry);
}

queue_entry fair_queue::class_queue::pop() {
    const auto workspace = this->turns.front();
    auto& turn = this->lanes[workspace];
    if (turn.credit == 0) {
        turn.credit = std::max(1U, turn.entries.front().weight);
    }
    auto taken = std::move(turn.entries.front());
    turn.entries.pop_front();
    --turn.credit;
    if (turn.entries.empty()) {
        this->drop_lane(workspace);
    } else if (turn.credit == 0) {
        this->turns.pop_front();
        this->turns.push_back(workspace);
    }
    return taken;
}

void fair_queue::class_queue::drop_lane(const std::string& workspace) {
    const auto turn = std::find(this->turns.begin(), this->turns.end(), workspace);
    if (turn != this->turns.end()) {
        this->turns.erase(turn);
    }
    this->lanes.erase(workspace);
}

void fair_queue::push(const queue_entry& entry) {
    auto& target = entry.urgent ? this->urgent : this->normal;
    target.push(entry);
    ++this->count;
}

std::optional<queue_entry> fair_queue::pop(instant now) {
    if (this->count == 0) {
        return std::nullopt;
    }
    this->set_late_apart(now);
    --this->count;
    const bool normal_waits = !this->normal.lanes.empty();
    if (!normal_waits && this->urgent.lanes.empty()) {
        return this->late.pop();
    }
    const bool urgent_turn = !normal_waits || this->urgent_in_a_row < max_urgent_in_a_row;
    if (!this->urgent.lanes.empty() && urgent_turn) {
        ++this->urgent_in_a_row;
        return this->urgent.pop();
    }
    this->urgent_in_a_row = 0;
    return this->normal.pop();
}

void fair_queue::set_late_apart(instant now) {
    for (auto& entry :
         this->take_if([now](const queue_entry& waiting) { return waiting.latest_start <= now; })) {
        this->late.push(entry);
        ++this->count;
    }
}

bool fair_queue::remove(const attempt_id& attempt) {
    for (auto* queue : {&this->urgent, &this->normal, &this->late}) {
        for (auto& [workspace, waiting] : queue->lanes) {
            const auto found =
                std::find_if(waiting.entries.begin(), waiting.entries.end(),
                             [&attempt](const auto& entry) { return entry.attempt == attempt; });
            if (found == waiting.entries.end()) {
                continue;
            }
            waiting.entries.erase(found);
            --this->count;
            if (waiting.entries.empty()) {
                queue->drop_lane(std::string{workspace});
            }
            return true;
        }
    }
    return false;
}

std::vector<queue_entry> fair_queue::expire(const std::function<bool(const queue_entry&)>& given_up) {
    return this->take_if(given_up);
}

std::vector<queue_entry> fair_queue::take_movable() {
    return this->take_if([](const queue_entry& entry) { return !entry.last_resort; });
}

std::vector<queue_entry> fair_queue::clear() {
    return this->take_if([](const queue_entry&) { return true; });
}

std::size_t fair_queue::size_of(const std::string& workspace) const {
    std::size_t total = 0;
    for (const auto* queue : {&this->urgent, &this->normal, &this->late}) {
        const auto found = queue->lanes.find(workspace);
        total += found == queue->lanes.end() ? 0 : found->second.entries.size();
    }
    return total;
}

double fair_queue::share_of(const std::string& workspace, std::uint32_t weight) const {
    return static_cast<double>(this->size_of(workspace)) / std::max(1U, weight);
}

queue_share fair_queue::largest_share() const {
    queue_share largest;
    for (const auto* queue : {&this->urgent, &this->normal, &this->late}) {
        for (const auto& [workspace, waiting] : queue->lanes) {
            const double share = this->share_of(workspace, waiting.entries.front().weight);
            if (share > largest.calls_per_weight) {
                largest = {workspace, share};
            }
        }
    }
    return largest;
}

std::optional<queue_entry> fair_queue::drop_newest(const std::string& workspace) {
    for (auto* queue : {&this->late, &this->normal, &this->urgent}) {
        const auto found = queue->lanes.find(workspace);
        if (found == queue->lanes.end()) {
            continue;
        }
        auto dropped = std::move(found->second.entries.back());
        found->second.entries.pop_back();
        --this->count;
        if (found->second.entries.empty()) {
            queue->drop_lane(workspace);
        }
        return dropped;
    }
    return std::nullopt;
}

std::vector<queue_entry> fair_queue::take_if(const std::function<bool(const queue_entry&)>& wanted) {
    std::vector<queue_entry> taken;
    for (auto* queue : {&this->urgent, &this->normal, &this->late}) {
        std::vector<std::string> emptied;
        for (auto& [workspace, waiting] : queue->lanes) {
            std::deque<queue_entry> kept;
            for (auto& entry : waiting.entries) {
                if (wanted(entry)) {
                    taken.push_back(std::move(entry));
                } else {
                    kept.push_back(std::move(entry));
                }
            }
            waiting.entries = std::move(kept);
            if (waiting.entries.empty()) {
                emptied.push_back(workspace);
            }
        }
        for (const auto& workspace : emptied) {
            queue->drop_lane(workspace);
        }
    }
    this->count -= taken.size();
    return taken;
}

} // namespace chervilturn
