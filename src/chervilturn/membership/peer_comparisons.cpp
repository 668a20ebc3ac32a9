// Compares what peers told, and limits the exchanges with each of them.
#include "chervilturn/membership/peer_comparisons.hpp"

#include <algorithm>

namespace chervilturn {

void peer_comparisons::on_told(const address& peer, std::uint64_t state, bool reads_platform, instant now) {
    this->forget_outdated(now);
    auto& known = this->told[peer];
    if (known.state != state) {
        known.since = now;
    }
    known.state = state;
    known.reads_platform = reads_platform;
    known.told_at = now;
}

void peer_comparisons::on_delivered(const address& peer) {
    if (const auto known = this->told.find(peer); known != this->told.end()) {
        known->second.state.reset();
    }
}

std::vector<address> peer_comparisons::begin_due(std::uint64_t own_state, bool reads_platform, instant now) {
    this->forget_outdated(now);
    std::vector<address> due;
    for (const auto& [peer, known] : this->told) {
        const bool awaits_own_read = reads_platform && now - known.since < this->options.own_read_time;
        if (differs(known, own_state) && !awaits_own_read &&
            !this->awaits_equal_reader(known, own_state, now) &&
            this->begin_exchange(peer, own_state, *known.state, now)) {
            due.push_back(peer);
        }
    }
    return due;
}

bool peer_comparisons::begin_exchange(const address& peer, std::uint64_t own_state, std::uint64_t peer_state,
                                      instant now) {
    auto& last = this->exchanges[peer];
    const bool is_repeated = last.own_state == own_state && last.peer_state == peer_state;
    if (is_repeated && now - last.begun_at < this->options.repeat_after) {
        return false;
    }
    last = {.own_state = own_state, .peer_state = peer_state, .begun_at = now};
    return true;
}

bool peer_comparisons::awaits_equal_reader(const told_state& known, std::uint64_t own_state,
                                           instant now) const {
    if (!known.reads_platform) {
        return false;
    }
    return std::any_of(this->exchanges.begin(), this->exchanges.end(), [&](const auto& begun) {
        const auto& [peer, last] = begun;
        const auto asked = this->told.find(peer);
        return last.own_state == own_state && last.peer_state == known.state &&
               now - last.begun_at < this->options.response_time && asked != this->told.end() &&
               asked->second.reads_platform;
    });
}

std::vector<address> peer_comparisons::peers_with(std::uint64_t state, instant now) const {
    std::vector<address> peers;
    for (const auto& [peer, known] : this->told) {
        if (known.state == state && this->is_recent(known, now)) {
            peers.push_back(peer);
        }
    }
    return peers;
}

std::vector<address> peer_comparisons::platform_readers(instant now) const {
    std::vector<address> readers;
    for (const auto& [peer, known] : this->told) {
        if (known.reads_platform && this->is_recent(known, now)) {
            readers.push_back(peer);
        }
    }
    return readers;
}

bool peer_comparisons::any_differs(std::uint64_t own_state) const noexcept {
    return std::any_of(this->told.begin(), this->told.end(),
                       [own_state](const auto& known) { return differs(known.second, own_state); });
}

void peer_comparisons::forget_outdated(instant now) {
    std::erase_if(this->told, [this, now](const auto& known) { return !this->is_recent(known.second, now); });
    std::erase_if(this->exchanges, [this, now](const auto& last) {
        return now - last.second.begun_at >= this->options.repeat_after;
    });
}

} // namespace chervilturn
