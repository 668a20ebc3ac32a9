// Embeds the library: a server limits the calls to its own worker threads with chervilturn's admission
// control. It needs no network and no daemon; the current time is passed as an argument.
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
        const queue_entry entry{.attempt = {1, number},
                                .workspace = "market",
                                .weight = 1,
                                .urgent = false,
                                .deadline = now + 1s};
        const auto decision = admission.admit(entry, now);
        std::visit(overloaded{[](const dispatched&) { std::cout << "dispatched\n"; },
                              [](const queued&) { std::cout << "queued\n"; },
                              [](const refused& refusal) {
                                  std::cout << "refused: " << to_string(refusal.why) << '\n';
                              }},
                   decision);
    }
    admission.complete({1, 1}, 5ms);
    std::cout << admission.advance(now).dispatch.size() << " queued call dispatched\n";
}
