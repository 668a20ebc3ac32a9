// HTTP requests and crowds of scenario scripts.
#include "support/scenario_host.hpp"

namespace chervilturn::test {

scenario_host::scenario_host(std::string build_folder) : processes{std::move(build_folder)} {}

std::uint64_t scenario_host::start_request(const address& server, const http_request& request,
                                           microseconds timeout) {
    auto& client = this->clients[server];
    if (client == nullptr) {
        client = std::make_unique<http_client>(this->loop, server, http_client_options{});
    }
    const auto number = ++this->last_number;
    static_cast<void>(client->send(request, timeout, [this, number](http_result result) {
        this->results.emplace(number, std::move(result));
        this->loop.stop();
    }));
    return number;
}

const http_result* scenario_host::result_of(std::uint64_t number) const {
    const auto found = this->results.find(number);
    return found == this->results.end() ? nullptr : &found->second;
}

std::uint64_t scenario_host::start_crowd(crowd_options options) {
    const auto number = ++this->last_number;
    this->crowds.emplace(number, std::make_unique<crowd>(this->loop, std::move(options)));
    return number;
}

void scenario_host::run_events(microseconds max_duration) {
    timer limit{this->loop, [this] { this->loop.stop(); }};
    limit.start_once(max_duration);
    this->loop.run();
}

} // namespace chervilturn::test
