// Validation of subtrees and acceptance by revision.
#include "chervilturn/config/tree.hpp"

#include "chervilturn/core/hash.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace chervilturn {

namespace {

[[nodiscard]] publication_version highest_version(const std::vector<leaf>& leaves) {
    publication_version highest = 0;
    for (const auto& item : leaves) {
        highest = std::max(highest, item.version);
    }
    return highest;
}

} // namespace

bool is_newer(const leaf& state, const leaf& other) noexcept {
    const bool both_versioned = state.version > 0 && other.version > 0;
    if (both_versioned && state.version != other.version) {
        return state.version > other.version;
    }
    return state.revision > other.revision;
}

std::uint64_t content_of(const leaf& state) noexcept {
    return state.removed ? 0 : hash_of(state.path, state.value);
}

bool may_lack(const subtree_revision& known, const subtree_revision& other) noexcept {
    return known.revision < other.revision || known.version < other.version;
}

bool differs_in_content(const subtree_revision& known, const subtree_revision& other) noexcept {
    return known.revision == other.revision && known.version == other.version && known.content != 0 &&
           other.content != 0 && known.content != other.content;
}

subtree_revision entry_of(const std::vector<subtree_revision>& digest, std::string_view subtree) {
    const auto listed = std::find_if(digest.begin(), digest.end(), [subtree](const subtree_revision& entry) {
        return entry.subtree == subtree;
    });
    return listed == digest.end() ? subtree_revision{.subtree = std::string{subtree}} : *listed;
}

revision_number revision_of(const std::vector<subtree_revision>& digest, std::string_view subtree) {
    return entry_of(digest, subtree).revision;
}

std::uint64_t digest_hash(const std::vector<subtree_revision>& digest) {
    std::uint64_t combined = 0;
    for (const auto& entry : digest) {
        combined ^=
            hash_of(entry.subtree, std::to_string(entry.revision) + '/' + std::to_string(entry.version) +
                                       '/' + std::to_string(entry.content));
    }
    return combined;
}

std::string subtree_of(std::string_view path) {
    if (path.starts_with(host_subtree) && path.size() > host_subtree.size() + 1 &&
        path[host_subtree.size()] == '/') {
        return std::string{host_subtree};
    }
    if (!path.starts_with(teams_prefix)) {
        return {};
    }
    const auto rest = path.substr(teams_prefix.size());
    const auto slash = rest.find('/');
    if (slash == std::string_view::npos || rest.substr(0, slash) == host_subtree) {
        return {};
    }
    return std::string{rest.substr(0, slash)};
}

offer_outcome settings_tree::offer(const subtree_snapshot& snapshot) {
    auto& state = this->states[snapshot.subtree];
    const bool newer = snapshot.revision > state.candidate_revision;
    const bool merged = merge(state, state.not_accepted, snapshot);
    state.candidate_revision = std::max(state.candidate_revision, snapshot.revision);
    if (newer || merged) {
        auto error = this->compile(snapshot.subtree, state.not_accepted, state.candidate_revision);
        if (!error) {
            accept(state, std::exchange(state.not_accepted, {}), state.candidate_revision);
            if (snapshot.complete) {
                state.tombstones_since = std::max(state.tombstones_since, snapshot.revision);
            }
            this->rejected.erase(snapshot.subtree);
            return offer_outcome::accepted;
        }
        this->rejected[snapshot.subtree] = {state.candidate_revision, std::move(*error)};
    }
    if (this->accept_despite_rejected_candidate(state, snapshot)) {
        return offer_outcome::accepted;
    }
    return newer || merged ? offer_outcome::rejected : offer_outcome::unchanged;
}

std::vector<subtree_revision> settings_tree::digest() const {
    std::vector<subtree_revision> revisions;
    for (const auto& [name, state] : this->states) {
        if (state.revision > 0) {
            revisions.push_back({name, state.revision, state.version, state.content});
        }
    }
    return revisions;
}

std::vector<subtree_snapshot> settings_tree::newer_than(const std::vector<subtree_revision>& known) const {
    std::vector<subtree_snapshot> updates;
    for (const auto& [name, state] : this->states) {
        const auto receiver = entry_of(known, name);
        const subtree_revision present{name, state.revision, state.version, state.content};
        const bool all = differs_in_content(receiver, present);
        if (!all && !may_lack(receiver, present)) {
            continue;
        }
        // A receiver with an older revision may have leaves whose deletion is not recorded here: it gets all
        // leaves and must drop the others.
        const bool complete = receiver.revision < state.tombstones_since;
        subtree_snapshot update{
            .subtree = name, .revision = state.revision, .complete = complete, .leaves = {}};
        for (const auto& [path, accepted] : state.accepted) {
            const auto& item = accepted.state;
            if (all || complete || item.revision > receiver.revision || item.version > receiver.version) {
                update.leaves.push_back(item);
            }
        }
        updates.push_back(std::move(update));
    }
    return updates;
}

std::vector<subtree_snapshot> settings_tree::accepted_since(std::uint64_t change) const {
    std::vector<subtree_snapshot> updates;
    for (const auto& [name, state] : this->states) {
        if (state.latest_change <= change) {
            continue;
        }
        subtree_snapshot update{.subtree = name, .revision = state.revision, .leaves = {}};
        for (auto item = state.by_change.upper_bound(change); item != state.by_change.end(); ++item) {
            update.leaves.push_back(item->second->state);
        }
        updates.push_back(std::move(update));
    }
    return updates;
}

unreadable_leaves settings_tree::unreadable() const {
    auto found = this->hosts.unreadable();
    for (const auto& [name, compiler] : this->teams) {
        found.merge(compiler.unreadable());
    }
    return found;
}

const leaf* settings_tree::offered(const std::string& path) const {
    const auto state = this->states.find(subtree_of(path));
    return state == this->states.end() ? nullptr : find_leaf(state->second, state->second.not_accepted, path);
}

std::vector<const leaf*> settings_tree::offered_leaves(const std::string& subtree) const {
    std::vector<const leaf*> found;
    const auto state = this->states.find(subtree);
    if (state == this->states.end()) {
        return found;
    }
    const auto& [name, held] = *state;
    for (const auto& [path, accepted] : held.accepted) {
        if (!accepted.state.removed && !held.not_accepted.contains(path)) {
            found.push_back(&accepted.state);
        }
    }
    for (const auto& [path, candidate] : held.not_accepted) {
        if (!candidate.removed) {
            found.push_back(&candidate);
        }
    }
    return found;
}

std::uint64_t settings_tree::offered_content(const std::string& subtree) const {
    const auto state = this->states.find(subtree);
    if (state == this->states.end()) {
        return 0;
    }
    const auto& [name, held] = *state;
    auto content = held.content;
    for (const auto& [path, candidate] : held.not_accepted) {
        const auto accepted = held.accepted.find(path);
        content ^= accepted == held.accepted.end() ? 0 : accepted->second.hash;
        content ^= content_of(candidate);
    }
    return content;
}

// Merges a snapshot into the accepted leaves instead of the candidate. This accepts a peer's valid leaves
// even while this node has a newer candidate that was rejected.
bool settings_tree::accept_despite_rejected_candidate(subtree_state& state,
                                                      const subtree_snapshot& snapshot) {
    if (snapshot.revision <= state.revision && highest_version(snapshot.leaves) <= state.version) {
        return false;
    }
    leaf_changes changes;
    const auto revision = std::max(state.revision, snapshot.revision);
    if (!merge(state, changes, snapshot) || this->compile(snapshot.subtree, changes, revision)) {
        return false;
    }
    accept(state, std::move(changes), revision);
    std::erase_if(state.not_accepted, [&state](const auto& item) {
        const auto accepted = state.accepted.find(item.first);
        return accepted != state.accepted.end() && !is_newer(item.second, accepted->second.state);
    });
    return true;
}

void settings_tree::accept(subtree_state& state, leaf_changes&& changes, revision_number revision) {
    for (auto& [path, changed] : changes) {
        state.version = std::max(state.version, changed.version);
        auto& accepted = state.accepted[path];
        state.by_change.erase(accepted.change);
        state.content ^= accepted.hash;
        const auto hash = content_of(changed);
        state.content ^= hash;
        accepted = {.state = std::move(changed), .change = ++this->last_change, .hash = hash};
        state.by_change.emplace(accepted.change, &accepted);
    }
    state.revision = revision;
    state.latest_change = ++this->last_change;
}

bool settings_tree::is_known_absent(const subtree_state& state, const leaf& incoming) noexcept {
    return incoming.revision < state.tombstones_since && incoming.version <= state.version;
}

const leaf* settings_tree::find_leaf(const subtree_state& state, const leaf_changes& changes,
                                     const std::string& path) {
    const auto changed = changes.find(path);
    if (changed != changes.end()) {
        return &changed->second;
    }
    const auto accepted = state.accepted.find(path);
    return accepted == state.accepted.end() ? nullptr : &accepted->second.state;
}

bool settings_tree::merge(const subtree_state& state, leaf_changes& changes,
                          const subtree_snapshot& snapshot) {
    bool newer = false;
    for (const auto& incoming : snapshot.leaves) {
        if (subtree_of(incoming.path) != snapshot.subtree) {
            continue;
        }
        const auto* held = find_leaf(state, changes, incoming.path);
        const bool exists_here = held != nullptr && !held->removed;
        const bool is_accepted = (held == nullptr || is_newer(incoming, *held)) &&
                                 (exists_here || !is_known_absent(state, incoming));
        if (is_accepted) {
            changes.insert_or_assign(incoming.path, incoming);
            newer = true;
        }
    }
    return snapshot.complete ? remove_unlisted(state, changes, snapshot) || newer : newer;
}

bool settings_tree::remove_unlisted(const subtree_state& state, leaf_changes& changes,
                                    const subtree_snapshot& complete) {
    std::set<std::string_view> listed_paths; // of the leaves that exist at the snapshot's revision
    for (const auto& item : complete.leaves) {
        if (!item.removed) {
            listed_paths.insert(item.path);
        }
    }
    const auto version = highest_version(complete.leaves);
    std::vector<leaf> unlisted;
    const auto check = [&](const leaf& held) {
        const bool is_older = held.revision <= complete.revision && held.version <= version;
        if (!held.removed && is_older && !listed_paths.contains(held.path)) {
            unlisted.push_back({.path = held.path,
                                .revision = complete.revision,
                                .removed = true,
                                .value = {},
                                .version = held.version == 0 ? 0 : version});
        }
    };
    for (const auto& [path, accepted] : state.accepted) {
        if (!changes.contains(path)) {
            check(accepted.state);
        }
    }
    for (const auto& [path, held] : changes) {
        check(held);
    }
    for (auto& removal : unlisted) {
        changes.insert_or_assign(removal.path, std::move(removal));
    }
    return !unlisted.empty();
}

std::optional<settings_error> settings_tree::compile(const std::string& subtree, const leaf_changes& changes,
                                                     revision_number revision) {
    auto next_model = std::make_shared<model>(*this->compiled);
    if (subtree == host_subtree) {
        auto hosts = this->hosts.compile(changes);
        if (!succeeded(hosts)) {
            return error_of(hosts);
        }
        next_model->hosts = value_of(std::move(hosts));
        next_model->hosts_revision = revision;
    } else {
        auto& compiler = this->teams.try_emplace(subtree, this->acceptance).first->second;
        auto compiled_team = compiler.compile(subtree, changes);
        if (!succeeded(compiled_team)) {
            return error_of(compiled_team);
        }
        auto accepted = value_of(std::move(compiled_team));
        accepted.revision = revision;
        next_model->teams[subtree] = std::move(accepted);
    }
    this->compiled = std::move(next_model);
    return std::nullopt;
}

} // namespace chervilturn
