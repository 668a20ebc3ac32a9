// Names that module membership offers: the relay tree for settings, connection health and pause detection.
#pragma once

namespace chervilturn {

struct relay_position;
class pause_detector;
class removal_grace;
struct connection_options;
class connection_health;
class seed_rotation;

} // namespace chervilturn
