// The relay as a program.
// Control: POST /control/set?mode=pass|freeze_open|freeze_all|one_way|cut&delay_ms=
#include "stand_ins/relay.hpp"

#include "chervilturn/transport/http.hpp"
#include "stand_ins/query.hpp"

#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>

namespace chervilturn::stand_ins {

namespace {

void on_control(relay_stand_in& relay, http_exchange& exchange) {
    const query asked{exchange.request().target};
    if (asked.has("delay_ms")) {
        relay.set_delay(std::chrono::milliseconds{asked.number("delay_ms", 0)});
    }
    if (asked.has("mode")) {
        relay.set_mode(asked.text("mode"));
    }
    exchange.respond({.status = 200, .headers = {}, .body = std::to_string(relay.connections())});
}

int serve(const std::string& from, const std::string& to, const std::string& control) {
    event_loop loop;
    relay_stand_in relay{loop, parse_address(from).value(), parse_address(to).value()};
    const auto server = http_server::listen(
        loop, parse_address(control).value(), {},
        [&relay](const std::shared_ptr<http_exchange>& exchange) { on_control(relay, *exchange); });
    if (!succeeded(server)) {
        std::cerr << "relay stand-in: cannot listen on " << control << '\n';
        return 1;
    }
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}

} // namespace

} // namespace chervilturn::stand_ins

int main(int count, char** values) {
    try {
        TCLAP::CmdLine line{"Stand-in for a network path: a TCP relay with faults.", ' '};
        TCLAP::ValueArg<std::string> listen{"", "listen", "Address", true, "", "IP:PORT", line};
        TCLAP::ValueArg<std::string> target{"", "target", "Address to relay to", true, "", "IP:PORT", line};
        TCLAP::ValueArg<std::string> control{"", "control", "Control address", true, "", "IP:PORT", line};
        line.parse(count, values);
        std::signal(SIGPIPE, SIG_IGN);
        return chervilturn::stand_ins::serve(listen.getValue(), target.getValue(), control.getValue());
    } catch (const std::exception& failure) {
        std::cerr << "relay stand-in: " << failure.what() << '\n';
        return 1;
    }
}
