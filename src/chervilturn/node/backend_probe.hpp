// Asks the backend server about its load within a budget, from its own host only.
#pragma once

#include "chervilturn/admission/warm_up.hpp"
#include "chervilturn/core/token_bucket.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/transport/http.hpp"

#include <string>

namespace chervilturn {

/// @brief Probes one backend server and tells its warm-up limit what it learns.
///
/// Load endpoints lag or mislead, so only a restart, a drain and reachability are read from them.
class backend_probe {
  public:
    /// @brief Receives each report that could be read.
    using report_handler = std::function<void(const probe_report&)>;

    backend_probe(const node_context& context, http_client& client, warm_up_limit& limit,
                  report_handler handler);

    /// @brief Changes where the backend server answers probes.
    void set_path(const std::string& changed) { this->path = changed; }

  private:
    void send();
    void on_result(const http_result& result, instant sent_at);
    void learn(const probe_report& report);

    const node_context* context;
    http_client* client;
    warm_up_limit* limit;
    report_handler receiver;
    std::string path; // empty until settings tell it; nothing is asked before
    token_bucket budget;
    bool in_progress = false;
    std::string boot_mark; // of the backend server; empty before the first report
    timer tick;
};

} // namespace chervilturn
