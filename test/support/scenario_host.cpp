// Processes and HTTP for scenario scripts.
#include "support/scenario_host.hpp"

namespace chervilturn::test {

scenario_host::scenario_host(std::string built) : processes{std::move(built)} {}

std::uint64_t scenario_host::start_request(const address& where, const http_request& request,
                                           microseconds timeout) {
    auto& client = this->clients[where];
    if (client == nullptr) {
        client = std::make_unique<http_client>(this->loop, where, http_client_options{});
    }
    const auto number = ++this->requests;
    static_cast<void>(client->send(request, timeout, [this, number](http_result result) {
        this->outcomes.emplace(number, std::move(result));
        this->loop.stop();
    }));
    return number;
}

const http_result* scenario_host::outcome_of(std::uint64_t number) const {
    const auto found = this->outcomes.find(number);
    return found == this->outcomes.end() ? nullptr : &found->second;
}

void scenario_host::pump(microseconds longest) {
    timer limit{this->loop, [this] { this->loop.stop(); }};
    limit.start_once(longest);
    this->loop.run();
}

} // namespace chervilturn::test
