// Chooses substitutes in turn.
#include "chervilturn/membership/substitute_search.hpp"

#include <algorithm>

namespace chervilturn {

namespace {

constexpr std::size_t asked_at_once = 2;

} // namespace

std::vector<address> substitute_search::next(const std::vector<address>& candidates,
                                             const std::vector<address>& platform_readers) {
    std::erase_if(this->asked, [&platform_readers](const address& peer) {
        return std::find(platform_readers.begin(), platform_readers.end(), peer) == platform_readers.end();
    });
    if (!platform_readers.empty()) {
        return this->asked;
    }
    while (this->asked.size() < asked_at_once && this->next_candidate < candidates.size()) {
        this->asked.push_back(candidates[this->next_candidate++]);
    }
    if (this->next_candidate >= candidates.size()) {
        this->next_candidate = 0;
    }
    return this->asked;
}

} // namespace chervilturn
