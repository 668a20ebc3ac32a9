// Embedding the library: a server that guards its own worker threads with chervilturn's door. No network, no
// daemon; the decisions take time as an argument.
#include "chervilturn/admission/admission_controller.hpp"
#include "chervilturn/core/result.hpp"

#include <iostream>

int main() {
    using namespace chervilturn;
    using namespace std::chrono_literals;

    admission_controller admission{
        {.warm_up = {.slots = 4, .cold_slots = 1, .answers_per_slot = 2}, .max_queue = 2}};
    const instant now = monotonic_clock::now();
    for (std::uint64_t number = 1; number <= 4; ++number) {
        const queue_entry wanted{.attempt = {1, number},
                                 .workspace = "market",
                                 .weight = 1,
                                 .urgent = false,
                                 .deadline = now + 1s};
        const auto admitted = admission.admit(wanted, now);
        std::visit(overloaded{[](const dispatched&) { std::cout << "run it now\n"; },
                              [](const queued&) { std::cout << "it waits\n"; },
                              [](const refused& refusal) {
                                  std::cout << "refused: " << to_string(refusal.why) << '\n';
                              }},
                   admitted);
    }
    admission.complete({1, 1}, 5ms);
    std::cout << admission.advance(now).dispatch.size() << " waiting call may run\n";
}
