// Updates of an entry's views by new settings and by the ends of its attempts.
#include "chervilturn/selection/server_views.hpp"

#include "chervilturn/call/retry.hpp"

#include <algorithm>

namespace chervilturn {

void server_views::update(std::shared_ptr<const model> accepted) {
    this->settings = std::move(accepted);
    std::map<address, load_view> updated;
    for (const auto& [team_name, team_entry] : this->settings->teams) {
        for (const auto& [service_name, target] : team_entry.services) {
            for (const auto& backend : target.backend_servers) {
                const auto existing = this->views.find(backend.node);
                updated.emplace(backend.node,
                                existing == this->views.end() ? load_view{backend.slots} : existing->second);
            }
        }
    }
    this->views = std::move(updated);
    std::erase_if(this->rooms, [this](const auto& named) { return !this->service_exists(named.first); });
    this->baselines.retain([this](const std::string& route) { return this->route_exists(route); });
}

load_view& server_views::of(const backend_server& backend) {
    return this->views.try_emplace(backend.node, load_view{backend.slots}).first->second;
}

const service_room& server_views::room_at(const std::string& team_name, const std::string& service_name) {
    return this->room_of(team_name, service_name);
}

std::vector<candidate> server_views::candidates(const eligibility_request& request,
                                                const call_history& history, instant now) {
    auto permitted = this->eligible(request, history, now);
    const auto& room = this->room_of(request.owning_team->name, request.target_service->name);
    for (auto& item : permitted) {
        item.acceptance = room.acceptance(item.distance_from_entry, now);
    }
    return permitted;
}

std::vector<candidate> server_views::eligible(const eligibility_request& request, const call_history& history,
                                              instant now) {
    return eligible_candidates(
        request, history,
        [this](const backend_server& backend) -> const load_view& { return this->of(backend); }, now);
}

bool server_views::shows_free_server(const eligibility_request& request, instant now) {
    const auto permitted = this->eligible(request, {}, now);
    return std::any_of(permitted.begin(), permitted.end(),
                       [now](const candidate& server) { return server.view->has_free_slot(now); });
}

void server_views::on_answered(const ended_offer& offer, const answer& ended, instant now) {
    const bool served = ended.result == outcome::completed && !is_backend_failure(ended);
    if (served) {
        this->baselines.learn(offer.route, ended.service_time, ended.load.slowdown_percent);
    }
    this->learn_room(offer, ended, now);
    const auto view = this->views.find(offer.owner);
    if (view == this->views.end()) {
        return;
    }
    view->second.on_answer(ended, elapsed(offer.sent_at, now), now);
    view->second.on_leaving_reported(offer.server, ended.load.leaving, now);
    if (served) {
        view->second.learn_slowdown(ended.service_time, this->baselines.of(offer.route),
                                    ended.load.slowdown_percent, now);
    }
}

void server_views::on_unanswered(const ended_offer& offer, instant now) {
    const auto view = this->views.find(offer.owner);
    if (view != this->views.end()) {
        view->second.on_no_answer(now);
    }
}

void server_views::on_cancelled(const address& owner, instant sent_at, instant now) {
    const auto view = this->views.find(owner);
    if (view != this->views.end()) {
        view->second.on_cancelled(elapsed(sent_at, now), now);
    }
}

// Refusals for other reasons than lack of room say nothing about it.
void server_views::learn_room(const ended_offer& offer, const answer& ended, instant now) {
    const bool refused = ended.result == outcome::not_run;
    if (!refused || is_lack_of_room(ended.why)) {
        const auto from_entry = distance_between(*this->settings, this->entry_data_centre, offer.data_centre);
        this->room_of(offer.team, offer.service).on_offer_ended(from_entry, !refused, now);
    }
}

bool server_views::service_exists(const std::string& qualified_name) const {
    const auto separator = qualified_name.find('/');
    const auto owning_team = this->settings->teams.find(qualified_name.substr(0, separator));
    return owning_team != this->settings->teams.end() &&
           owning_team->second.services.contains(qualified_name.substr(separator + 1));
}

bool server_views::route_exists(const std::string& name) const {
    const auto& teams = this->settings->teams;
    return std::any_of(teams.begin(), teams.end(), [&name](const auto& named_team) {
        return named_team.second.routes->find(name) != nullptr;
    });
}

} // namespace chervilturn
