// Connections that this node opens to other nodes: attempts go out on them, answers come back.
#pragma once

#include "chervilturn/membership/connection_health.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/node/messages.hpp"
#include "chervilturn/transport/peer_connection.hpp"

#include <map>
#include <optional>
#include <unordered_map>

namespace chervilturn {

/// @brief Owns one link for each peer that is in use.
class peer_client_task {
  public:
    explicit peer_client_task(const node_context& context);

  private:
    struct outstanding_attempt {
        instant deadline;
        std::uint64_t owner_incarnation = 0; // of the owner that it was sent to; 0 while it is held
    };

    struct link {
        address peer;
        std::shared_ptr<peer_connection> current;
        std::shared_ptr<peer_connection> fresh; // opened while current is suspect
        connection_health health;
        std::uint64_t current_generation = 0; // connections are numbered, so that events of old
        std::uint64_t fresh_generation = 0;   // ones are recognised; fresh_generation is 0 without one
        std::uint64_t owner_incarnation = 0;  // as the owner introduced itself on current
        std::unordered_map<attempt_id, outstanding_attempt, attempt_id_hash> outstanding;
        std::vector<message> held; // sent once a connection is introduced
        std::optional<subscription> followed;
        instant opened_at{};
        instant fresh_opened_at{};
        instant used_at{};

        /// @brief Whether the current connection may be written to.
        [[nodiscard]] bool introduced() const noexcept {
            return this->fresh == nullptr && this->owner_incarnation != 0 && this->current->is_open();
        }

        [[nodiscard]] bool in_demand() const noexcept {
            return !this->outstanding.empty() || this->followed.has_value();
        }
    };

    void handle(send_attempt&& request);
    void handle(const cancel_attempt& request);
    void handle(const send_subscription& request);
    void handle(const end_subscription& request);
    void handle(const send_key_inquiry& request);
    void handle(const describe_request& request);

    [[nodiscard]] connection_options health_options() const;
    [[nodiscard]] link& link_to(const address& peer);
    [[nodiscard]] std::shared_ptr<peer_connection> open_connection(link& opened, std::uint64_t generation);
    void start_current(link& opened);
    void start_fresh(link& suspected);
    void on_message(const address& peer, std::uint64_t generation, message&& received, std::size_t bytes);
    void on_closed(const address& peer, std::uint64_t generation, close_cause cause);
    void on_introduced(link& heard, std::uint64_t generation, const hello& introduced);
    void adopt_fresh(link& replaced, std::uint64_t owner_incarnation);
    void inquire_outstanding(link& resumed);
    void on_answer(link& heard, const answer& ended);
    void fail_link(link& failed);
    void write_call(link& used, call&& sent);
    void send_held(link& introduced);
    void end_attempt(const attempt_id& attempt, outcome result, reason why);
    void send_on(link& used, const message& sent);
    void check_links();
    void check_link(link& checked, instant now);

    const node_context* context;
    std::map<address, link> links;
    std::uint64_t generations = 0;
    timer tick;
};

} // namespace chervilturn
