// Connections that this node opens to other nodes: sends attempts to their owners and receives the answers.
#pragma once

#include "chervilturn/core/random.hpp"
#include "chervilturn/membership/connection_health.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/node/messages.hpp"
#include "chervilturn/node/outstanding_attempts.hpp"
#include "chervilturn/node/peer_sender.hpp"
#include "chervilturn/transport/peer_connection.hpp"
#include "chervilturn/transport/update_transfer.hpp"

#include <map>

namespace chervilturn {

/// @brief Owns one link for each peer that this node sends messages to. A link holds the connection to the
/// peer, the messages that wait for it and the attempts without an answer.
class peer_client_task {
  public:
    explicit peer_client_task(const node_context& context);

  private:
    struct link {
        address peer;
        std::shared_ptr<peer_connection> current;
        std::shared_ptr<peer_connection> replacement; // opened when current is suspect or closed; else null
        connection_health health;                     // of current
        // Connections are numbered, so that events of closed ones are recognised and ignored.
        std::uint64_t current_generation = 0;
        std::uint64_t replacement_generation = 0; // 0 without a replacement
        std::uint64_t owner_incarnation = 0;      // from the hello on current; 0 before it arrives
        outstanding_attempts outstanding;
        std::vector<message> unsent; // sent once the peer has introduced itself
        std::string data_centre;     // of the peer, from the hello on current
        bool accepts_reports = false;
        bool accepts_comparisons = false;
        bool requests_bodies = false;
        bool followed = false;    // this node is subscribed to the peer's settings
        bool compared = false;    // this node compares its settings with the peer's
        incoming_update incoming; // on current
        instant opened_at{};
        instant replacement_opened_at{};
        instant last_used_at{};
        instant last_compared_at{};

        /// @brief Whether messages may be written to the current connection: it is open, the peer has
        /// introduced itself, and no replacement is being opened.
        [[nodiscard]] bool is_ready() const noexcept {
            return this->replacement == nullptr && this->owner_incarnation != 0 && this->current->is_open();
        }

        /// @brief Whether an attempt, a subscription or comparisons need the connection.
        [[nodiscard]] bool in_demand() const noexcept {
            return !this->outstanding.empty() || this->is_subscribed();
        }

        /// @brief Whether a subscription or comparisons need the connection.
        [[nodiscard]] bool is_subscribed() const noexcept { return this->followed || this->compared; }

        [[nodiscard]] connection_demand demand() const noexcept;
    };

    void handle(send_attempt&& request);
    void handle(const cancel_attempt& request);
    void handle(const send_subscription& request);
    void handle(const end_subscription& request);
    void handle(const send_key_inquiry& request);
    void handle(const spread_report& request);
    void handle(const send_comparison& request);
    void handle(const describe_request& request);

    [[nodiscard]] connection_options health_options() const;
    [[nodiscard]] link& link_to(const address& peer);
    [[nodiscard]] std::shared_ptr<peer_connection> open_connection(link& target, std::uint64_t generation);
    void open_current(link& target);
    void open_replacement(link& target);
    void on_message(const address& peer, std::uint64_t generation, message&& received,
                    const frame_arrival& arrival);
    void on_progress(const address& peer, std::uint64_t generation);
    void on_closed(const address& peer, std::uint64_t generation, close_cause cause);
    void on_introduced(link& target, std::uint64_t generation, const hello& peer_hello);
    void switch_to_replacement(link& target, std::uint64_t owner_incarnation);
    void resume(link& target);
    void on_hello(link& target, std::uint64_t generation, const hello& peer_hello);
    void on_answer(link& target, answer&& ended);
    void on_body_request(link& target, const body_request& request);
    void on_update_part(link& target, const update_part& part);
    void fail_link(link& target);
    void write_call(link& target, call&& outgoing);
    void send_unsent(link& target);
    void end_attempt(answer&& ended);
    void send_report(link& target, const crash_report& report);
    void send_on(link& target, const message& outgoing);
    static void expire_comparisons(link& target, instant now);
    void check_links();
    void check_link(link& target, instant now);

    const node_context* context;
    peer_sender sender;
    std::map<address, link> links;
    std::uint64_t last_generation = 0;
    random_source random;
    timer check_timer;
};

} // namespace chervilturn
