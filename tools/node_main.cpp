// The daemon: one node beside one backend server, with the product's own protocols.
#include "node_program.hpp"

int main(int count, char** values) {
    return chervilturn::run_node_program(
        count, values,
        [](const chervilturn::node_settings&)
            -> chervilturn::result<chervilturn::node_protocols, chervilturn::settings_error> {
            return chervilturn::native_protocols();
        });
}
