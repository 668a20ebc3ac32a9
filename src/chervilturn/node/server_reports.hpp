// What the backend server of a host says of itself, in probe reports and in the responses to calls.
#pragma once

#include "chervilturn/admission/admission_controller.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/node/crash_watch.hpp"
#include "chervilturn/node/owner_state.hpp"
#include "chervilturn/node/server_statement.hpp"

#include <string>

namespace chervilturn {

/// @brief Passes on what the backend server reports to admission control, to the owner's state and to the
/// crash watch.
class server_reports {
  public:
    /// @brief Parts of the owner that reports change; all outlive this.
    struct receivers {
        owner_state* state = nullptr;
        admission_controller* admission = nullptr;
        crash_watch* crashes = nullptr;
    };

    server_reports(const node_context& shared, const receivers& parts) : context{&shared}, owner{parts} {}

    /// @brief Processes the report of a probe that was sent at `sent_at`.
    void on_probe(const probe_report& report, instant sent_at);

    /// @brief Processes the statement in a response to a call that was sent at `sent_at` to the backend
    /// server of this name. Ignored when another server was named since.
    void on_call(const std::string& sent_to, const server_statement& stated, instant sent_at);

    /// @brief The statements in force.
    [[nodiscard]] const server_statements& statements() const noexcept { return this->in_force; }

  private:
    // Forgets what the server before has said.
    void on_renamed(const std::string& previous_name, const std::string& name);
    void on_cold_left(microseconds cold_left);
    // source is "call" or "probe".
    void on_statement(const server_statement& stated, instant sent_at, const char* source);
    void log_unreadable_rate(const server_statement& stated, const char* source);
    void update_draining();

    const node_context* context;
    receivers owner;
    server_statements in_force;       // of the backend server that the last probe named
    bool probe_says_draining = false; // in the last probe report
    std::string last_unreadable_rate; // in the latest response; empty when that one was readable
};

} // namespace chervilturn
