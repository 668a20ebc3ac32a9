// Forward declarations of module selection: load views of backend servers and selection policies.
#pragma once

namespace chervilturn {

class load_view;
struct candidate;
class policy;
class service_room;
class server_views;
struct eligibility_request;
class baseline_times;

} // namespace chervilturn
