// Computes relay trees by ranking hosts.
#include "chervilturn/membership/relay_tree.hpp"

#include "chervilturn/core/hash.hpp"

#include <algorithm>
#include <map>

namespace chervilturn {

namespace {

struct ranked_host {
    bool leaving;
    std::uint64_t weight;
    address peers;
};

using ranking = std::vector<ranked_host>;
using data_centre_ranks = std::map<std::string, ranking>;

[[nodiscard]] data_centre_ranks rank_hosts(const model& settings) {
    data_centre_ranks ranks;
    for (const auto& [peers, host_entry] : settings.hosts) {
        const auto weight = rendezvous_weight(host_entry.data_centre, to_string(peers));
        ranks[host_entry.data_centre].push_back({host_entry.leaving, weight, peers});
    }
    for (auto& [name, hosts] : ranks) {
        std::sort(hosts.begin(), hosts.end(), [](const ranked_host& left, const ranked_host& right) {
            return left.leaving != right.leaving ? right.leaving : left.weight > right.weight;
        });
    }
    return ranks;
}

// Adds the first host of every other data centre, in ring order starting after the node's own data centre.
void add_other_data_centres(relay_position& position, const data_centre_ranks& ranks,
                            data_centre_ranks::const_iterator own_centre) {
    for (std::size_t offset = 1; offset < ranks.size(); ++offset) {
        ++own_centre;
        own_centre = own_centre == ranks.end() ? ranks.begin() : own_centre;
        position.parents.push_back(own_centre->second.front().peers);
    }
}

void add_ancestors(relay_position& position, const ranking& hosts, std::size_t rank, std::size_t readers) {
    std::size_t ancestor = rank;
    while (ancestor >= readers) {
        ancestor = (ancestor - readers) / relay_fan_out;
        position.parents.push_back(hosts[ancestor].peers);
    }
}

void add_readers(relay_position& position, const ranking& hosts, std::size_t rank, std::size_t readers) {
    for (std::size_t reader = 0; reader < std::min(readers, hosts.size()); ++reader) {
        const auto& peers = hosts[reader].peers;
        const auto existing_parent = std::find(position.parents.begin(), position.parents.end(), peers);
        if (reader != rank && existing_parent == position.parents.end()) {
            position.parents.push_back(peers);
        }
    }
}

// Called for a reader, whose parents are the first hosts of the other data centres and its fellow readers.
void add_compared_readers(relay_position& position, const ranking& hosts, std::size_t rank) {
    if (rank == 0) {
        position.compared_readers = position.parents;
    } else {
        position.compared_readers = {hosts.front().peers};
    }
}

[[nodiscard]] std::size_t rank_of(const ranking& hosts, const address& peers) {
    return static_cast<std::size_t>(
        std::find_if(hosts.begin(), hosts.end(),
                     [&peers](const ranked_host& ranked) { return ranked.peers == peers; }) -
        hosts.begin());
}

// Number of parents on the way to a reader.
[[nodiscard]] std::size_t depth_of(std::size_t rank, std::size_t readers) {
    std::size_t depth = 0;
    while (rank >= readers) {
        rank = (rank - readers) / relay_fan_out;
        ++depth;
    }
    return depth;
}

void put_first(std::vector<address>& parents, const address& parent) {
    std::erase(parents, parent);
    parents.insert(parents.begin(), parent);
}

// A reader keeps a parent that it would choose again, another host one that is less deep than itself.
void keep_parent(relay_position& position, const ranking& hosts, std::size_t rank, std::size_t readers,
                 const address& present) {
    const auto parent_rank = rank_of(hosts, present);
    const bool stays = position.reader ? std::find(position.parents.begin(), position.parents.end(),
                                                   present) != position.parents.end()
                                       : parent_rank < hosts.size() && !hosts[parent_rank].leaving &&
                                             depth_of(parent_rank, readers) < depth_of(rank, readers);
    if (stays) {
        put_first(position.parents, present);
    }
}

} // namespace

relay_position compute_relay_position(const model& settings, const address& self,
                                      const std::string& data_centre, std::size_t readers,
                                      const std::optional<address>& present_parent) {
    relay_position position;
    const auto ranks = rank_hosts(settings);
    const auto own_centre = ranks.find(data_centre);
    if (own_centre == ranks.end()) {
        position.reader = true;
        return position;
    }
    const auto& hosts = own_centre->second;
    const auto rank = rank_of(hosts, self);
    position.reader = rank < readers;
    if (position.reader) {
        add_other_data_centres(position, ranks, own_centre);
    }
    add_ancestors(position, hosts, rank, readers);
    add_readers(position, hosts, rank, readers);
    if (position.reader) {
        add_compared_readers(position, hosts, rank);
    }
    if (present_parent) {
        keep_parent(position, hosts, rank, readers, *present_parent);
    }
    return position;
}

} // namespace chervilturn
