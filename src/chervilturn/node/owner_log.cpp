// Fields of an owner's log lines.
#include "chervilturn/node/owner_log.hpp"

#include "chervilturn/node/context.hpp"
#include "chervilturn/observe/log.hpp"

namespace chervilturn {

std::string rate_text(std::optional<double> calls_per_second) {
    return calls_per_second ? std::to_string(*calls_per_second) : "none";
}

void log_admission(const call& received, const admission_decision& decision,
                   const admission_controller& admission, const server_statements& statements) {
    const auto* refusal = std::get_if<refused>(&decision);
    const auto load = admission.report();
    log_call(log_level::info,
             refusal != nullptr                         ? "call_refused"
             : std::holds_alternative<queued>(decision) ? "call_queued"
                                                        : "call_admitted",
             {{"request", received.request_id},
              {"entry", received.attempt.entry},
              {"reason", to_string(refusal != nullptr ? refusal->why : reason::none)},
              {"state", name_of(admission.warm_up().state())},
              {"in_use", load.in_use},
              {"queued", load.queued},
              {"limit", load.limit},
              {"slowdown_percent", load.slowdown_percent},
              {"stated_rate", rate_text(load.calls_per_second)},
              {"rate_age_us", statements.rate_age(now_monotonic()).count()},
              {"rate_wait_us", admission.rate_wait(now_monotonic()).count()},
              {"recent_service_us", admission.warm_up().recent_service_time().count()},
              {"remaining_us", received.remaining.count()}});
}

void log_late_refusal(const call& received, reason why, const admission_controller& admission) {
    const auto load = admission.report();
    log_call(log_level::info, "call_refused",
             {{"request", received.request_id},
              {"entry", received.attempt.entry},
              {"reason", to_string(why)},
              {"after", "waiting"},
              {"in_use", load.in_use},
              {"queued", load.queued},
              {"limit", load.limit},
              {"slowdown_percent", load.slowdown_percent}});
}

} // namespace chervilturn
