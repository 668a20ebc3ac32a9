// Forward declarations of module membership: relay tree, connection health, pause detection, watch
// of the followed parent, comparisons, delayed removal of registrations, restored platforms and seed
// rotation.
#pragma once

namespace chervilturn {

struct relay_position;
class pause_detector;
class peer_comparisons;
class removal_grace;
struct restored_copy_options;
class restored_copy;
struct connection_options;
class connection_health;
class parent_watch;
class seed_rotation;
class substitute_search;

} // namespace chervilturn
