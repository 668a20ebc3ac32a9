// What one entry knows of the backend servers and services of the settings, learned from its own attempts.
#pragma once

#include "chervilturn/config/model.hpp"
#include "chervilturn/selection/baseline_times.hpp"
#include "chervilturn/selection/eligibility.hpp"
#include "chervilturn/selection/load_view.hpp"
#include "chervilturn/selection/service_room.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilturn {

/// @brief An attempt as far as its end teaches something.
struct ended_offer {
    std::string team;
    std::string service;
    std::string route;
    std::string server;      // name of the backend server that was selected
    std::string data_centre; // of that server
    address owner;           // peer address
    instant sent_at;
};

/// @brief Load views of the backend servers, the room at their services, and the baseline times of the
/// routes.
class server_views {
  public:
    explicit server_views(std::string data_centre_of_entry)
        : entry_data_centre{std::move(data_centre_of_entry)} {}

    /// @brief Keeps what is known of the servers, services and routes in the settings, and forgets the rest.
    void update(std::shared_ptr<const model> accepted);

    /// @brief The view of a backend server.
    [[nodiscard]] load_view& of(const backend_server& backend);

    /// @brief All views, by the owner's peer address.
    [[nodiscard]] const std::map<address, load_view>& all() const noexcept { return this->views; }

    /// @brief The room seen at a service.
    [[nodiscard]] const service_room& room_at(const std::string& team_name, const std::string& service_name);

    /// @brief Baseline service time of a route; zero when not known.
    [[nodiscard]] microseconds baseline_of(const std::string& route) const {
        return this->baselines.of(route);
    }

    /// @brief The eligible candidates for a call to the requested service, with the share of offers that
    /// owners at their distance accepted of late.
    [[nodiscard]] std::vector<candidate> candidates(const eligibility_request& request,
                                                    const call_history& history, instant now);

    /// @brief Whether, as far as this entry knows, a server that may take the call has a free slot.
    [[nodiscard]] bool shows_free_server(const eligibility_request& request, instant now);

    /// @brief Learns from an owner's answer to an attempt.
    void on_answered(const ended_offer& offer, const answer& ended, instant now);

    /// @brief Learns from an attempt that no owner answered.
    void on_unanswered(const ended_offer& offer, instant now);

    /// @brief Learns from an attempt that the entry cancelled.
    void on_cancelled(const address& owner, instant sent_at, instant now);

  private:
    [[nodiscard]] service_room& room_of(const std::string& team_name, const std::string& service_name) {
        return this->rooms[team_name + '/' + service_name];
    }
    [[nodiscard]] std::vector<candidate> eligible(const eligibility_request& request,
                                                  const call_history& history, instant now);
    void learn_room(const ended_offer& offer, const answer& ended, instant now);
    [[nodiscard]] bool service_exists(const std::string& qualified_name) const;
    [[nodiscard]] bool route_exists(const std::string& name) const;

    std::string entry_data_centre;
    std::shared_ptr<const model> settings = std::make_shared<const model>();
    std::map<address, load_view> views;        // by the owner's peer address
    std::map<std::string, service_room> rooms; // by "team/service"
    baseline_times baselines;                  // usual service times by route
};

} // namespace chervilturn
