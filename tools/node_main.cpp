// Main program of a node that uses chervilturn's native protocols.
#include "node_program.hpp"

int main(int argc, char** argv) {
    return chervilturn::run_node_program(
        argc, argv,
        [](const chervilturn::node_settings&)
            -> chervilturn::result<chervilturn::node_protocols, chervilturn::settings_error> {
            return chervilturn::native_protocols();
        });
}
