// What was read from the accepted leaves of a subtree, so that a change reads its own leaves only.
#pragma once

#include "chervilturn/config/leaf.hpp"
#include "chervilturn/config/object_reader.hpp"
#include "chervilturn/core/result.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chervilturn {

/// @brief New states of leaves, by path; a state may also be the present one.
using leaf_changes = std::map<std::string, leaf>;

/// @brief What a leaf that cannot be read does to the other changes of its subtree.
enum class subtree_acceptance {
    whole,    // no change is accepted until all leaves can be read
    each_leaf // the others are accepted; the leaf keeps the content that was read last, if there is one
};

/// @brief Why a leaf of the accepted settings cannot be read, and what stands in its place.
struct unreadable_leaf {
    settings_error error;
    bool keeps_last = false; // the content that was read last stays in force

    [[nodiscard]] bool operator==(const unreadable_leaf&) const = default;
};

/// @brief Leaves of the accepted settings that cannot be read, by path.
using unreadable_leaves = std::map<std::string, unreadable_leaf>;

/// @brief The contents of a subtree's leaves that exist, by path. An update can be taken back until the next
/// one.
template<typename Content> class leaf_cache {
  public:
    using content_reader = std::function<result<Content, settings_error>(const leaf&)>;
    using stand_in_maker = std::function<std::optional<Content>(const leaf&)>;

    /// @brief Reads the leaves whose value changed and forgets the removed ones. Returns the first error and
    /// keeps the contents as they were if one cannot be read.
    [[nodiscard]] std::optional<settings_error> update(const leaf_changes& changes,
                                                       const content_reader& read) {
        this->replaced.clear();
        for (const auto& [path, changed] : changes) {
            if (auto error = this->apply(changed, read)) {
                this->undo();
                return error;
            }
        }
        return std::nullopt;
    }

    /// @brief Reads the leaves whose value changed and forgets the removed ones. A leaf that cannot be read
    /// keeps the content that was read last; one without such a content gets a stand-in, if there is one.
    void update_each(const leaf_changes& changes, const content_reader& read,
                     const stand_in_maker& make_stand_in) {
        this->replaced.clear();
        for (const auto& [path, changed] : changes) {
            auto error = this->apply(changed, read);
            if (!error) {
                this->unreadable_contents.erase(path);
                continue;
            }
            const auto known = this->contents.find(path);
            const bool keeps_last = known != this->contents.end() && !known->second.is_stand_in;
            if (!keeps_last) {
                this->put_stand_in(changed, make_stand_in(changed));
            }
            this->unreadable_contents.insert_or_assign(
                path, unreadable_leaf{.error = std::move(*error), .keeps_last = keeps_last});
        }
    }

    /// @brief The leaves that update_each() could not read, and that were neither removed nor read since.
    [[nodiscard]] const unreadable_leaves& unreadable() const noexcept { return this->unreadable_contents; }

    /// @brief Takes the latest update() back.
    void undo() {
        for (auto& [path, before] : this->replaced) {
            if (before) {
                this->contents.insert_or_assign(path, std::move(*before));
            } else {
                this->contents.erase(path);
            }
        }
        this->replaced.clear();
    }

    /// @brief Paths of the leaves that the latest update read or forgot, in order.
    [[nodiscard]] std::vector<std::string> updated_paths() const {
        std::vector<std::string> paths;
        for (const auto& [path, before] : this->replaced) {
            paths.push_back(path);
        }
        return paths;
    }

    /// @brief Returns the content of a leaf; null when it does not exist.
    [[nodiscard]] const Content* find(const std::string& path) const {
        const auto found = this->contents.find(path);
        return found == this->contents.end() ? nullptr : &found->second.content;
    }

    /// @brief Calls a function with the content of every leaf whose path has a prefix, in order of the paths.
    template<typename Function> void for_each(const std::string& prefix, Function&& function) const {
        for (auto item = this->contents.lower_bound(prefix);
             item != this->contents.end() && item->first.starts_with(prefix); ++item) {
            function(item->second.content);
        }
    }

    /// @brief Number of leaves read so far.
    [[nodiscard]] std::uint64_t leaves_read() const noexcept { return this->read_count; }

  private:
    struct read_leaf {
        std::string value;
        Content content; // of a valid leaf with this value, or its stand-in
        bool is_stand_in = false;
    };

    // Reads a leaf whose value changed, or forgets a removed one. Returns the error, and changes nothing, if
    // it cannot be read.
    [[nodiscard]] std::optional<settings_error> apply(const leaf& changed, const content_reader& read) {
        if (changed.removed) {
            this->forget(changed.path);
            return std::nullopt;
        }
        const auto known = this->contents.find(changed.path);
        const bool is_read = known != this->contents.end() && !known->second.is_stand_in;
        if (is_read && known->second.value == changed.value) {
            return std::nullopt;
        }
        ++this->read_count;
        auto content = read(changed);
        if (!succeeded(content)) {
            return error_of(content);
        }
        this->replace(changed.path, {.value = changed.value, .content = value_of(std::move(content))});
        return std::nullopt;
    }

    void put_stand_in(const leaf& changed, std::optional<Content>&& stand_in) {
        if (stand_in) {
            this->replace(changed.path,
                          {.value = changed.value, .content = std::move(*stand_in), .is_stand_in = true});
        } else {
            this->forget(changed.path);
        }
    }

    void replace(const std::string& path, read_leaf&& next) {
        const auto known = this->contents.find(path);
        const bool is_known = known != this->contents.end();
        this->replaced.emplace_back(path, is_known ? std::optional{std::move(known->second)} : std::nullopt);
        this->contents.insert_or_assign(path, std::move(next));
    }

    void forget(const std::string& path) {
        const auto known = this->contents.find(path);
        if (known != this->contents.end()) {
            this->replaced.emplace_back(path, std::move(known->second));
            this->contents.erase(known);
        }
    }

    std::map<std::string, read_leaf> contents; // by path
    // States before the latest update, by path; none for a leaf that did not exist.
    std::vector<std::pair<std::string, std::optional<read_leaf>>> replaced;
    unreadable_leaves unreadable_contents;
    std::uint64_t read_count = 0;
};

} // namespace chervilturn
