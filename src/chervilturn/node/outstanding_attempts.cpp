// Outcomes of attempts whose connection is silent or lost.
#include "chervilturn/node/outstanding_attempts.hpp"

#include <utility>

namespace chervilturn {

namespace {

// How long a cancellation is sent again on new connections to an owner that has not answered it.
constexpr microseconds cancel_retention = std::chrono::seconds{2};
// A longer body is sent only to an owner that has room for its call. A shorter one takes a link of 10 Mbit/s
// about as long as the round trip between data centres that asks for it.
constexpr std::size_t max_body_in_call = 4096; // bytes

} // namespace

void outstanding_attempts::add(const attempt_id& attempt, instant deadline) {
    this->attempts[attempt] = {
        .deadline = deadline, .owner_incarnation = 0, .forget_at = {}, .withheld_body = {}};
}

void outstanding_attempts::on_sending(call& outgoing, std::uint64_t owner_incarnation,
                                      bool owner_requests_bodies, instant now) {
    auto& stored = this->attempts.at(outgoing.attempt);
    stored.owner_incarnation = owner_incarnation;
    outgoing.remaining = elapsed(now, stored.deadline);
    if (owner_requests_bodies && outgoing.body.size() > max_body_in_call) {
        outgoing.withheld_bytes = outgoing.body.size();
        stored.withheld_body = std::exchange(outgoing.body, {});
    }
}

std::optional<answer> outstanding_attempts::on_not_sent(const attempt_id& attempt) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return std::nullopt;
    }
    const bool cancelled = found->second.forget_at.has_value();
    this->attempts.erase(found);
    if (cancelled) {
        return std::nullopt;
    }
    return refuse(attempt, outcome::not_run, reason::no_connection);
}

bool outstanding_attempts::cancel(const attempt_id& attempt, instant now) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return false;
    }
    found->second.forget_at = now + cancel_retention;
    found->second.withheld_body = {};
    return true;
}

std::optional<std::string> outstanding_attempts::body_part(const body_request& request) {
    const auto found = this->attempts.find(request.attempt);
    if (found == this->attempts.end() || found->second.forget_at) {
        return std::nullopt;
    }
    auto& body = found->second.withheld_body;
    if (request.offset >= body.size()) {
        return std::nullopt;
    }
    if (request.length == 0) {
        return std::string{std::exchange(body, {}).text()};
    }
    return std::string{body.text().substr(request.offset, request.length)};
}

std::optional<answer> outstanding_attempts::on_answer(answer ended, instant now) {
    const auto found = this->attempts.find(ended.attempt);
    if (found == this->attempts.end()) {
        return std::nullopt;
    }
    const bool late = now >= found->second.deadline;
    const bool cancelled = found->second.forget_at.has_value();
    this->attempts.erase(found);
    if (cancelled) {
        return std::nullopt;
    }
    auto forwarded = std::move(ended);
    if (late && forwarded.result == outcome::not_run && forwarded.why == reason::fenced) {
        forwarded.result = outcome::unknown; // the owner may have dropped its record of the attempt
    }
    return forwarded;
}

resumption outstanding_attempts::on_replaced(std::uint64_t owner_incarnation, instant now) {
    resumption following;
    for (auto position = this->attempts.begin(); position != this->attempts.end();) {
        const auto& [attempt, stored] = *position;
        const bool same_owner = stored.owner_incarnation == owner_incarnation;
        if (stored.owner_incarnation == 0) {
            ++position;
        } else if (same_owner && stored.forget_at) {
            following.outgoing.emplace_back(chervilturn::cancel{attempt});
            ++position;
        } else if (same_owner && now < stored.deadline) {
            following.outgoing.emplace_back(inquiry{attempt});
            ++position;
        } else {
            if (!stored.forget_at) {
                following.ended.push_back(refuse(attempt, outcome::unknown, reason::connection_lost));
            }
            position = this->attempts.erase(position);
        }
    }
    return following;
}

std::vector<answer> outstanding_attempts::on_failed() {
    std::vector<answer> ended;
    for (const auto& [attempt, stored] : std::exchange(this->attempts, {})) {
        if (!stored.forget_at) {
            ended.push_back(stored.owner_incarnation == 0
                                ? refuse(attempt, outcome::not_run, reason::no_connection)
                                : refuse(attempt, outcome::unknown, reason::connection_lost));
        }
    }
    return ended;
}

void outstanding_attempts::expire(instant now) {
    std::erase_if(this->attempts, [now](const auto& numbered) {
        return numbered.second.forget_at && now >= *numbered.second.forget_at;
    });
}

} // namespace chervilturn
