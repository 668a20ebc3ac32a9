// Probes the backend server on the same host at a limited rate.
#pragma once

#include "chervilturn/admission/warm_up.hpp"
#include "chervilturn/core/token_bucket.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/transport/http.hpp"

#include <string>

namespace chervilturn {

/// @brief Probes one backend server and updates its warm-up limit from the results.
///
/// The warm-up limit takes only restart and reachability from a probe here, because load figures of probe
/// endpoints can be late or wrong.
class backend_probe {
  public:
    /// @brief Receives each report that could be parsed, and when its probe was sent.
    using report_handler = std::function<void(const probe_report&, instant sent_at)>;

    backend_probe(const node_context& context, http_client& http, warm_up_limit& limit,
                  report_handler handler, std::function<void()> end_handler);

    /// @brief Sets the request path of probes; an empty path stops them. The first probe is sent at once.
    void set_path(const std::string& new_path);

    /// @brief Asks at once whether the process behind the address is still the same, because running calls
    /// lost their connections. The probe opens a connection of its own: an idle one may belong to the process
    /// that has ended. Confirming probes have the rate of the regular ones again, and four at once.
    void confirm();

    /// @brief Whether the first probe since the start still has no result, failed ones included. False when
    /// there are no probes.
    [[nodiscard]] bool awaits_first_result() const noexcept {
        return !this->path.empty() && !this->has_result;
    }

  private:
    enum class connection_use { any, own };

    void send_regular();
    void send(connection_use use, std::function<void(const http_result&)> on_end);
    void on_confirmed(const http_result& result);
    void on_result(const http_result& result, instant sent_at);
    void log_unreadable(http_failure failure);
    void apply_report(const probe_report& report, instant sent_at);

    const node_context* context;
    http_client* client;
    warm_up_limit* warm_up;
    report_handler on_report;
    std::function<void()> on_ended; // the server accepts no connection, or it has restarted
    std::string path;               // empty until settings are accepted; no probe is sent while empty
    token_bucket budget;            // regular probes that may be sent
    token_bucket confirm_budget;    // confirming probes that may be sent
    bool in_progress = false;       // a regular probe has no result yet
    bool confirming = false;        // a confirming probe has no result yet
    bool confirm_again = false;     // calls were cut after the latest confirming probe was sent
    bool has_result = false;        // of any probe since the start, a failed one included
    bool last_unreadable = false;   // the last result that was no time-out or refusal could not be read
    std::string last_boot_id;       // of the latest report that has one; empty until then
    instant last_reported{};        // when the probe of the latest report was sent; older reports don't count
    timer send_timer;
};

} // namespace chervilturn
