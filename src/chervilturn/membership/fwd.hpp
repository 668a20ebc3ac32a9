// Forward declarations of module membership: relay tree, connection health, pause detection, delayed removal
// of registrations and seed rotation.
#pragma once

namespace chervilturn {

struct relay_position;
class pause_detector;
class removal_grace;
struct connection_options;
class connection_health;
class seed_rotation;

} // namespace chervilturn
