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

/// @brief The contents of a subtree's leaves that exist, by path. An update can be taken back until the next
/// one.
template<typename Content> class leaf_cache {
  public:
    using content_reader = std::function<result<Content, settings_error>(const leaf&)>;

    /// @brief Reads the leaves whose value changed and forgets the removed ones. Returns the first error and
    /// keeps the contents as they were if one cannot be read.
    [[nodiscard]] std::optional<settings_error> update(const leaf_changes& changes,
                                                       const content_reader& read) {
        this->replaced.clear();
        for (const auto& [path, changed] : changes) {
            const auto known = this->contents.find(path);
            const bool is_known = known != this->contents.end();
            if (changed.removed ? !is_known : is_known && known->second.value == changed.value) {
                continue;
            }
            if (changed.removed) {
                this->replaced.emplace_back(path, std::move(known->second));
                this->contents.erase(known);
                continue;
            }
            ++this->read_count;
            auto content = read(changed);
            if (!succeeded(content)) {
                this->undo();
                return error_of(content);
            }
            this->replaced.emplace_back(path,
                                        is_known ? std::optional{std::move(known->second)} : std::nullopt);
            this->contents.insert_or_assign(
                path, read_leaf{.value = changed.value, .content = value_of(std::move(content))});
        }
        return std::nullopt;
    }

    /// @brief Takes the latest update back.
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
        Content content; // of a valid leaf with this value
    };

    std::map<std::string, read_leaf> contents; // by path
    // States before the latest update, by path; none for a leaf that did not exist.
    std::vector<std::pair<std::string, std::optional<read_leaf>>> replaced;
    std::uint64_t read_count = 0;
};

} // namespace chervilturn
