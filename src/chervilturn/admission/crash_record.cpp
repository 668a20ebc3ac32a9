// Evidence about crashes, and the decision which requests are held.
#include "chervilturn/admission/crash_record.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

// Longest time between lost connections and the sign that the backend server has ended.
constexpr microseconds max_confirmation_delay = std::chrono::seconds{2};
constexpr std::size_t max_cut_calls = 256;

} // namespace

bool crash_record::add(const crash_evidence& evidence, instant now) {
    if (evidence.age > this->options.retention) {
        return false;
    }
    if (!this->requests.contains(evidence.request)) {
        this->make_room();
    }
    auto& known = this->requests[evidence.request];
    known.data_centres = evidence.data_centres;
    const auto [stored, is_new] = known.crashes.try_emplace(
        evidence.crash, crash_entry{.at = now - evidence.age, .cleared = evidence.cleared});
    const bool clears = evidence.cleared && !stored->second.cleared;
    stored->second.cleared = stored->second.cleared || evidence.cleared;
    return is_new || clears;
}

std::vector<crash_evidence> crash_record::clearing(const request_fingerprint& request, instant now) const {
    std::vector<crash_evidence> pieces;
    const auto found = this->requests.find(request);
    if (found == this->requests.end()) {
        return pieces;
    }
    for (const auto& [number, crash] : found->second.crashes) {
        if (!crash.cleared) {
            pieces.push_back({.request = request,
                              .crash = number,
                              .cleared = true,
                              .age = elapsed(crash.at, now),
                              .data_centres = found->second.data_centres});
        }
    }
    return pieces;
}

std::size_t crash_record::history::uncleared() const {
    return static_cast<std::size_t>(std::count_if(this->crashes.begin(), this->crashes.end(),
                                                  [](const auto& crash) { return !crash.second.cleared; }));
}

bool crash_record::history::is_suspect_of(std::uint64_t crash) const {
    const auto found = this->crashes.find(crash);
    return found != this->crashes.end() && !found->second.cleared;
}

std::set<request_fingerprint> crash_record::held() const {
    std::set<request_fingerprint> held_requests;
    for (const auto& [request, known] : this->requests) {
        if (this->is_held(request, known)) {
            held_requests.insert(request);
        }
    }
    return held_requests;
}

bool crash_record::is_held(const request_fingerprint& request, const history& known) const {
    const auto crash_count = known.uncleared();
    if (crash_count < this->options.crashes_to_hold) {
        return false;
    }
    if (crash_count >= this->options.crashes_despite_tie) {
        return true;
    }
    return std::none_of(this->requests.begin(), this->requests.end(), [&](const auto& other) {
        return other.first != request &&
               std::all_of(known.crashes.begin(), known.crashes.end(), [&other](const auto& crash) {
                   return crash.second.cleared || other.second.is_suspect_of(crash.first);
               });
    });
}

std::set<request_fingerprint> crash_record::suspects() const {
    std::set<request_fingerprint> suspected;
    for (const auto& [request, known] : this->requests) {
        if (known.uncleared() > 0) {
            suspected.insert(request);
        }
    }
    return suspected;
}

std::size_t crash_record::crashes_of(const request_fingerprint& request) const {
    const auto found = this->requests.find(request);
    return found == this->requests.end() ? 0 : found->second.uncleared();
}

std::vector<crash_evidence> crash_record::evidence(instant now, microseconds max_age) const {
    std::vector<crash_evidence> all;
    for (const auto& [request, known] : this->requests) {
        for (const auto& [number, crash] : known.crashes) {
            if (now - crash.at < max_age) {
                all.push_back({.request = request,
                               .crash = number,
                               .cleared = crash.cleared,
                               .age = elapsed(crash.at, now),
                               .data_centres = known.data_centres});
            }
        }
    }
    return all;
}

bool crash_record::expire(instant now) {
    const auto oldest = now - this->options.retention;
    std::size_t removed = 0;
    for (auto& [request, known] : this->requests) {
        removed +=
            std::erase_if(known.crashes, [oldest](const auto& crash) { return crash.second.at < oldest; });
    }
    std::erase_if(this->requests, [](const auto& numbered) { return numbered.second.crashes.empty(); });
    return removed > 0;
}

// Forgets the request that is a suspect of the fewest crashes.
void crash_record::make_room() {
    if (this->requests.size() < this->options.max_requests) {
        return;
    }
    this->requests.erase(std::min_element(this->requests.begin(), this->requests.end(),
                                          [](const auto& left, const auto& right) {
                                              return left.second.uncleared() < right.second.uncleared();
                                          }));
}

void crash_detector::on_cut(crash_suspect&& running, instant now) {
    if (this->cut.size() < max_cut_calls) {
        this->cut.push_back({std::move(running), now});
    }
}

void crash_detector::on_answered(instant sent_at) noexcept {
    std::erase_if(this->cut, [sent_at](const cut_call& item) { return item.at < sent_at; });
}

std::vector<crash_suspect> crash_detector::on_ended(instant now) {
    std::vector<crash_suspect> running;
    for (auto& item : this->cut) {
        if (now - item.at < max_confirmation_delay) {
            running.push_back(std::move(item.running));
        }
    }
    this->cut.clear();
    return running;
}

} // namespace chervilturn
