// Spreads evidence about requests that crash backend servers, and tells the other tasks which ones are held.
#pragma once

#include "chervilturn/admission/crash_record.hpp"
#include "chervilturn/node/context.hpp"
#include "chervilturn/node/messages.hpp"

namespace chervilturn {

/// @brief Owns the crash record of one node. New evidence goes on to some connected peers at once; while
/// there is young evidence, all of it goes to a few peers every second, so that it also passes cuts and
/// restarts.
class crash_reports_task {
  public:
    explicit crash_reports_task(const node_context& shared);

  private:
    void handle(const backend_crashed& message);
    void handle(const request_completed& message);
    void handle(const crash_report& message);
    void handle(const peer_introduced& message);
    void handle(const release_request& message);
    void handle(const describe_request& request);

    void add_all(const std::vector<crash_evidence>& evidence);
    void update_tasks();
    void repeat();

    const node_context* context;
    crash_record record;
    std::uint64_t crash_count = 0; // at this host
    std::shared_ptr<const crash_suspects> published = std::make_shared<const crash_suspects>();
    timer repeat_timer;
};

} // namespace chervilturn
