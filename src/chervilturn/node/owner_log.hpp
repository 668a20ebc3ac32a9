// Log lines of an owner's decisions about calls.
#pragma once

#include "chervilturn/admission/admission_controller.hpp"
#include "chervilturn/call/call.hpp"
#include "chervilturn/node/server_statement.hpp"

#include <optional>
#include <string>

namespace chervilturn {

/// @brief A stated rate for logs and the status page; "none" without one.
[[nodiscard]] std::string rate_text(std::optional<double> calls_per_second);

/// @brief Logs the decision of admission control on a call, with what it rested on.
void log_admission(const call& received, const admission_decision& decision,
                   const admission_controller& admission, const server_statements& statements);

/// @brief Logs the refusal of a call that was queued or had been chosen for dispatch.
void log_late_refusal(const call& received, reason why, const admission_controller& admission);

} // namespace chervilturn
