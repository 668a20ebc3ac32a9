// Keeps the leaves of a platform, and finds where settings differ from them.
#include "chervilturn/node/settings_mirror.hpp"

#include <algorithm>

namespace chervilturn {

const leaf* settings_mirror::find(const std::string& path) const {
    const auto found = this->leaves.find(path);
    return found == this->leaves.end() ? nullptr : &found->second;
}

void settings_mirror::put(leaf state) {
    const auto* present = this->find(state.path);
    if (present == nullptr || present->removed || present->value != state.value) {
        this->set(std::move(state));
    }
}

void settings_mirror::put_again(leaf state) {
    this->set(std::move(state));
}

void settings_mirror::remove(const std::string& path, revision_number revision, publication_version version) {
    const auto* present = this->find(path);
    if (present == nullptr || !present->removed) {
        this->set({.path = path, .revision = revision, .removed = true, .value = {}, .version = version});
    }
}

void settings_mirror::renew(const std::string& path, revision_number revision) {
    const auto found = this->leaves.find(path);
    if (found != this->leaves.end() && found->second.revision < revision) {
        found->second.revision = revision;
        this->unconfirmed[path] = 0;
    }
}

void settings_mirror::set(leaf&& state) {
    auto& mirrored = this->leaves[state.path];
    auto& content = this->contents[subtree_of(state.path)];
    content ^= mirrored.path.empty() ? 0 : content_of(mirrored);
    content ^= content_of(state);
    this->unconfirmed[state.path] = 0;
    mirrored = std::move(state);
}

std::size_t settings_mirror::reconcile(const settings_tree& held, const read_position& read_until,
                                       const std::set<std::string>& excepted) {
    std::size_t restated = 0;
    for (const auto& [subtree, content] : this->contents) {
        if (held.offered_content(subtree) == content) {
            continue;
        }
        for (auto& state : this->differences(subtree, held, read_until)) {
            if (!excepted.contains(state.path)) {
                this->set(std::move(state));
                ++restated;
            }
        }
    }
    return restated;
}

// The states of the mirror's leaves that differ from the held ones and would replace them at this position.
std::vector<leaf> settings_mirror::differences(const std::string& subtree, const settings_tree& held,
                                               const read_position& read_until) const {
    std::vector<leaf> found;
    const auto add = [&](leaf state, const leaf* other) {
        state.revision = read_until.revision;
        state.version = state.version == 0 ? 0 : read_until.version;
        if (other == nullptr || is_newer(state, *other)) {
            found.push_back(std::move(state));
        }
    };
    for (const auto& [path, mirrored] : this->leaves) {
        // One that was stated at this position is on its way.
        if (mirrored.removed || mirrored.revision >= read_until.revision || subtree_of(path) != subtree) {
            continue;
        }
        const auto* other = held.offered(path);
        if (other == nullptr || other->removed || other->value != mirrored.value) {
            add(mirrored, other);
        }
    }
    for (const auto* other : held.offered_leaves(subtree)) {
        const auto* mirrored = this->find(other->path);
        if (mirrored == nullptr || mirrored->removed) {
            add({.path = other->path, .revision = 0, .removed = true, .value = {}, .version = other->version},
                other);
        }
    }
    return found;
}

std::vector<changed_leaf> settings_mirror::report(std::uint64_t number, bool all) {
    if (all) {
        for (const auto& [path, mirrored] : this->leaves) {
            if (!mirrored.removed) {
                this->unconfirmed.emplace(path, number);
            }
        }
    }
    std::vector<changed_leaf> changes;
    for (auto& [path, reported] : this->unconfirmed) {
        reported = number;
        changes.push_back({path, this->leaves.at(path).revision});
    }
    return changes;
}

void settings_mirror::confirm(std::uint64_t number) {
    std::erase_if(this->unconfirmed,
                  [number](const auto& change) { return change.second > 0 && change.second <= number; });
}

bool settings_mirror::has_unreported() const noexcept {
    return std::any_of(this->unconfirmed.begin(), this->unconfirmed.end(),
                       [](const auto& change) { return change.second == 0; });
}

} // namespace chervilturn
