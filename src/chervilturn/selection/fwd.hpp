// Names that module selection offers: what an entry knows of backend servers and how it picks one.
#pragma once

namespace chervilturn {

class load_view;
struct candidate;
class policy;
struct eligibility_request;
class baseline_times;

} // namespace chervilturn
