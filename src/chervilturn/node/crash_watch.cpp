// Signs of crashes at one owner.
#include "chervilturn/node/crash_watch.hpp"

namespace chervilturn {

bool crash_watch::is_held(const call& received) const {
    const auto& held = this->suspects->held;
    return !held.empty() && held.contains(fingerprint_of(received));
}

void crash_watch::on_call_cut(const call& running) {
    this->crashes.on_cut(
        {.request = fingerprint_of(running), .data_centres = this->state->permitted_data_centres(running)},
        now_monotonic());
}

void crash_watch::on_server_ended(const std::string& name) {
    auto running = this->crashes.on_ended(now_monotonic());
    if (!running.empty()) {
        this->context->mailboxes->crash_reports.post(backend_crashed{name, std::move(running)});
    }
}

void crash_watch::on_probed(instant sent_at) {
    this->probes_name_process = true;
    this->crashes.on_answered(sent_at);
}

void crash_watch::on_completed(const call& received, microseconds service_time) {
    if (!this->probes_name_process) {
        this->crashes.on_answered(now_monotonic() - service_time);
    }
    const auto& suspected = this->suspects->suspected;
    if (suspected.empty()) {
        return;
    }
    const auto request = fingerprint_of(received);
    if (suspected.contains(request)) {
        this->context->mailboxes->crash_reports.post(request_completed{request});
    }
}

} // namespace chervilturn
