// Forward declarations of module core: addresses, byte budgets, token buckets, back-off, random numbers and
// state charts.
#pragma once

namespace chervilturn {

struct address;
struct byte_budget_options;
class byte_budget;
class byte_share;
class token_bucket;
struct back_off_options;
class random_source;
template<typename State, typename Event> class state_chart;
template<typename State, typename Event> class state_machine;

} // namespace chervilturn
