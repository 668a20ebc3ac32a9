// Program that runs one relay stand-in.
// Control requests: POST /control/set?mode=pass|freeze_open|freeze_all|one_way|cut&delay_ms=&rate=
// (bytes a second in each direction, 0 for no limit). Every response
// holds the number of open connections.
#include "stand_ins/relay.hpp"

#include "chervilturn/transport/http.hpp"
#include "stand_ins/query.hpp"

#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>

namespace chervilturn::stand_ins {

namespace {

void on_control(relay_stand_in& relay, http_exchange& exchange) {
    const query url{exchange.request().target};
    if (url.has("delay_ms")) {
        relay.set_delay(std::chrono::milliseconds{url.number("delay_ms", 0)});
    }
    if (url.has("rate")) {
        relay.set_rate(static_cast<std::uint64_t>(url.number("rate", 0)));
    }
    if (url.has("mode")) {
        relay.set_mode(url.text("mode"));
    }
    exchange.respond({.status = 200, .headers = {}, .body = std::to_string(relay.connection_count())});
}

int serve(const std::string& listen_address, const std::string& target_address,
          const std::string& control_address) {
    event_loop loop;
    relay_stand_in relay{loop, parse_address(listen_address).value(), parse_address(target_address).value()};
    const auto server = http_server::listen(
        loop, parse_address(control_address).value(), {},
        [&relay](const std::shared_ptr<http_exchange>& exchange) { on_control(relay, *exchange); });
    if (!succeeded(server)) {
        std::cerr << "relay stand-in: cannot listen on " << control_address << '\n';
        return 1;
    }
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}

} // namespace

} // namespace chervilturn::stand_ins

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command_line{"Stand-in for a network path: a TCP relay that injects faults.", ' '};
        TCLAP::ValueArg<std::string> listen_arg{"", "listen", "Address", true, "", "IP:PORT", command_line};
        TCLAP::ValueArg<std::string> target_arg{"", "target",  "Address to relay to", true,
                                                "", "IP:PORT", command_line};
        TCLAP::ValueArg<std::string> control_arg{"", "control", "Control address", true,
                                                 "", "IP:PORT", command_line};
        command_line.parse(argc, argv);
        std::signal(SIGPIPE, SIG_IGN);
        return chervilturn::stand_ins::serve(listen_arg.getValue(), target_arg.getValue(),
                                             control_arg.getValue());
    } catch (const std::exception& failure) {
        std::cerr << "relay stand-in: " << failure.what() << '\n';
        return 1;
    }
}
