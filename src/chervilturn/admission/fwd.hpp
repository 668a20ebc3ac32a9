// Forward declarations of module admission: admission control, idempotency keys and the attempt record.
#pragma once

namespace chervilturn {

struct warm_up_options;
class warm_up_limit;
struct queue_entry;
class fair_queue;
struct admission_options;
class admission_controller;
struct cold_rate_limit_options;
class cold_rate_limit;
class stated_rate_limit;
struct key_record_options;
class home_history;
class key_record;
class attempt_record;
class awaited_bodies;

} // namespace chervilturn
