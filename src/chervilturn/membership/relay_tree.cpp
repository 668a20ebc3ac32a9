// Ranking of hosts into relay trees.
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
    for (const auto& [peers, listed] : settings.hosts) {
        const auto weight = rendezvous_weight(listed.data_centre, to_string(peers));
        ranks[listed.data_centre].push_back({listed.leaving, weight, peers});
    }
    for (auto& [name, hosts] : ranks) {
        std::sort(hosts.begin(), hosts.end(), [](const ranked_host& a, const ranked_host& b) {
            return a.leaving != b.leaving ? b.leaving : a.weight > b.weight;
        });
    }
    return ranks;
}

// The other data centres in the order of a ring that starts behind the own one.
void add_other_data_centres(relay_position& position, const data_centre_ranks& ranks,
                            data_centre_ranks::const_iterator own) {
    for (std::size_t step = 1; step < ranks.size(); ++step) {
        ++own;
        own = own == ranks.end() ? ranks.begin() : own;
        position.parents.push_back(own->second.front().peers);
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
        const auto listed = std::find(position.parents.begin(), position.parents.end(), peers);
        if (reader != rank && listed == position.parents.end()) {
            position.parents.push_back(peers);
        }
    }
}

} // namespace

relay_position place_in_relay_tree(const model& settings, const address& self, const std::string& data_centre,
                                   std::size_t readers) {
    relay_position position;
    const auto ranks = rank_hosts(settings);
    const auto own = ranks.find(data_centre);
    if (own == ranks.end()) {
        position.reader = true;
        return position;
    }
    const auto& hosts = own->second;
    const auto found = std::find_if(hosts.begin(), hosts.end(),
                                    [&self](const ranked_host& ranked) { return ranked.peers == self; });
    if (found == hosts.end()) {
        position.reader = true;
        return position;
    }
    const auto rank = static_cast<std::size_t>(found - hosts.begin());
    position.reader = rank < readers;
    if (position.reader) {
        add_other_data_centres(position, ranks, own);
    }
    add_ancestors(position, hosts, rank, readers);
    add_readers(position, hosts, rank, readers);
    return position;
}

} // namespace chervilturn
