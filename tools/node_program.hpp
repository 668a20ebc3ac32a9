// The daemon's command line, shared by the node of the product's own protocols and that of an adapter.
#pragma once

#include "chervilturn/node/protocol.hpp"

#include <functional>

namespace chervilturn {

/// @brief Makes the protocols of a node from its settings, or says what is wrong with these.
using protocol_maker = std::function<result<node_protocols, settings_error>(const node_settings&)>;

/// @brief Runs one node until it is told to stop; returns the exit status of the process.
[[nodiscard]] int run_node_program(int count, char** values, const protocol_maker& make_protocols);

} // namespace chervilturn
