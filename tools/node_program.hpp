// Command line of the node program, shared by the program with native protocols and that with an adapter's.
#pragma once

#include "chervilturn/node/protocol.hpp"

#include <functional>

namespace chervilturn {

/// @brief Creates a node's protocols from its settings, or returns the error in the settings.
using protocol_factory = std::function<result<node_protocols, settings_error>(const node_settings&)>;

/// @brief Runs one node until it is asked to stop. Returns the exit status of the process: 0, 1 for a runtime
/// failure, 2 for invalid settings.
[[nodiscard]] int run_node_program(int argc, char** argv, const protocol_factory& create_protocols);

} // namespace chervilturn
