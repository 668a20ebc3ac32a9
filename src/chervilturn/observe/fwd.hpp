// Forward declarations of module observe: structured logs, metrics and request traces.
#pragma once

namespace chervilturn {

struct log_field;
struct log_buffer_options;
class log_buffer;
class latency_histogram;
struct call_series;
struct step_key;
struct node_gauges;
class metrics;
struct log_line;
class request_trace;

} // namespace chervilturn
