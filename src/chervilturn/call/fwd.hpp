// Forward declarations of module call: calls, attempts, answers and retry rules.
#pragma once

namespace chervilturn {

struct attempt_id;
struct header;
class shared_body;
struct call;
struct load_report;
struct answer;
struct retry_options;
class retry_budget;
class retry_state;

} // namespace chervilturn
