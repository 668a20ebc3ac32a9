// Conversion between messages and Cap'n Proto frames.
#include "chervilturn/transport/codec.hpp"

#include "chervilturn/transport/settings_codec.hpp"
#include "chervilturn/transport/wire_values.hpp"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <cmath>
#include <cstring>
#include <kj/exception.h>
#include <kj/io.h>
#include <optional>

namespace chervilturn {

using namespace internal;

namespace {

// Limits for reading frames of a faulty peer.
constexpr std::size_t max_traversal_words = max_frame_bytes / sizeof(capnp::word) * 2;
constexpr int max_nesting = 16;
constexpr std::size_t max_headers = 256;

// Appends what is written to a text.
class appending_stream final : public kj::OutputStream {
  public:
    explicit appending_stream(std::string& target) : text{&target} {}

    void write(const void* buffer, std::size_t size) override {
        this->text->append(static_cast<const char*>(buffer), size);
    }

  private:
    std::string* text;
};

void write_attempt(wire::AttemptId::Builder target, const attempt_id& attempt) {
    target.setEntry(attempt.entry);
    target.setSequence(attempt.sequence);
}

[[nodiscard]] attempt_id read_attempt(wire::AttemptId::Reader source) {
    return {.entry = source.getEntry(), .sequence = source.getSequence()};
}

void write_body_request(wire::BodyRequest::Builder target, const body_request& outgoing) {
    target.setEntry(outgoing.attempt.entry);
    target.setSequence(outgoing.attempt.sequence);
    target.setOffset(outgoing.offset);
    target.setLength(outgoing.length);
}

[[nodiscard]] body_request read_body_request(wire::BodyRequest::Reader source) {
    return {.attempt = {.entry = source.getEntry(), .sequence = source.getSequence()},
            .offset = static_cast<std::size_t>(source.getOffset()),
            .length = static_cast<std::size_t>(source.getLength())};
}

void write_headers(capnp::List<wire::Header>::Builder target, const std::vector<header>& headers) {
    for (std::size_t index = 0; index < headers.size(); ++index) {
        auto item = target[static_cast<unsigned>(index)];
        item.setName(to_text(headers[index].name));
        item.setValue(to_text(headers[index].value));
    }
}

[[nodiscard]] std::vector<header> read_headers(capnp::List<wire::Header>::Reader source) {
    std::vector<header> headers;
    for (const auto item : source) {
        if (headers.size() == max_headers) {
            break;
        }
        headers.push_back({from_text(item.getName()), from_text(item.getValue())});
    }
    return headers;
}

void write_call(wire::Call::Builder target, const call& outgoing) {
    write_attempt(target.initAttempt(), outgoing.attempt);
    target.setTeam(to_text(outgoing.team));
    target.setWorkspace(to_text(outgoing.workspace));
    target.setService(to_text(outgoing.service));
    target.setRoute(to_text(outgoing.route));
    target.setUrgent(outgoing.urgent);
    target.setIdempotent(outgoing.idempotent);
    target.setRemainingMicros(to_micros(outgoing.remaining));
    target.setExtraAttempts(outgoing.extra_attempts);
    target.setDepth(outgoing.depth);
    target.setKey(to_text(outgoing.key.text));
    target.setKeyCreatedMillis(outgoing.key.created.time_since_epoch().count());
    target.setMethod(to_text(outgoing.method));
    target.setTarget(to_text(outgoing.target));
    write_headers(target.initHeaders(static_cast<unsigned>(outgoing.headers.size())), outgoing.headers);
    target.setBody(to_data(outgoing.body.text()));
    target.setRequestId(to_text(outgoing.request_id));
    target.setOrigin(to_text(outgoing.origin));
    target.setLastResort(outgoing.last_resort);
    target.setUntilLateMicros(to_micros(outgoing.until_soft_deadline));
    target.setUsualServiceMicros(to_micros(outgoing.baseline_service_time));
    target.setWithheldBytes(outgoing.withheld_bytes);
}

[[nodiscard]] call read_call(wire::Call::Reader source) {
    call received;
    received.attempt = read_attempt(source.getAttempt());
    received.team = from_text(source.getTeam());
    received.workspace = from_text(source.getWorkspace());
    received.service = from_text(source.getService());
    received.route = from_text(source.getRoute());
    received.urgent = source.getUrgent();
    received.idempotent = source.getIdempotent();
    received.remaining = from_micros(source.getRemainingMicros());
    received.extra_attempts = source.getExtraAttempts();
    received.depth = source.getDepth();
    received.key.text = from_text(source.getKey());
    received.key.created = wall_time{std::chrono::milliseconds{source.getKeyCreatedMillis()}};
    received.method = from_text(source.getMethod());
    received.target = from_text(source.getTarget());
    received.headers = read_headers(source.getHeaders());
    received.body = from_data(source.getBody());
    received.request_id = from_text(source.getRequestId());
    received.origin = from_text(source.getOrigin());
    received.last_resort = source.getLastResort();
    received.until_soft_deadline = from_micros(source.getUntilLateMicros());
    received.baseline_service_time = from_micros(source.getUsualServiceMicros());
    received.withheld_bytes = static_cast<std::size_t>(source.getWithheldBytes());
    return received;
}

// Reasons up to this one are known to nodes of every version. Nodes of older versions reject an answer with a
// later one.
constexpr auto last_original_reason = reason::backend_renamed;

// The closest reason that nodes of older versions know.
[[nodiscard]] reason reason_for_older_nodes(reason why) {
    switch (why) {
    case reason::server_rate_limited:
    case reason::memory_full:
        return reason::queue_full;
    case reason::request_held:
        return reason::bad_request;
    case reason::body_not_received:
        return reason::no_connection;
    default:
        return why;
    }
}

// The reason of an answer; a newer one that this version does not know is replaced by the sender's
// substitute.
[[nodiscard]] reason read_reason(wire::Answer::Reader source) {
    const auto newer = source.getNewerReason();
    return static_cast<reason>(newer != 0 && newer < reason_count ? newer : source.getReason());
}

void write_load(wire::Load::Builder target, const load_report& load) {
    target.setInUse(load.in_use);
    target.setQueued(load.queued);
    target.setLimit(load.limit);
    target.setSlowdownPercent(load.slowdown_percent);
    target.setRateLimited(load.calls_per_second.has_value());
    target.setCallsPerSecond(load.calls_per_second.value_or(0.0));
    target.setRateWaitMicros(to_micros(load.rate_wait));
    target.setLeaving(load.leaving);
}

[[nodiscard]] load_report read_load(wire::Load::Reader source) {
    const double rate = source.getCallsPerSecond();
    const bool is_valid_rate = source.getRateLimited() && std::isfinite(rate) && rate >= 0.0;
    return {.in_use = source.getInUse(),
            .queued = source.getQueued(),
            .limit = source.getLimit(),
            .slowdown_percent = source.getSlowdownPercent(),
            .calls_per_second = is_valid_rate ? std::optional{rate} : std::nullopt,
            .rate_wait = from_micros(source.getRateWaitMicros()),
            .leaving = source.getLeaving()};
}

void write_answer(wire::Answer::Builder target, const answer& outgoing) {
    write_attempt(target.initAttempt(), outgoing.attempt);
    target.setOutcome(static_cast<std::uint16_t>(outgoing.result));
    target.setReason(static_cast<std::uint16_t>(reason_for_older_nodes(outgoing.why)));
    target.setNewerReason(outgoing.why > last_original_reason ? static_cast<std::uint16_t>(outgoing.why) : 0);
    target.setStatus(outgoing.status);
    write_headers(target.initHeaders(static_cast<unsigned>(outgoing.headers.size())), outgoing.headers);
    target.setBody(to_data(outgoing.body));
    write_load(target.initLoad(), outgoing.load);
    target.setServiceMicros(static_cast<std::uint64_t>(outgoing.service_time.count()));
    target.setBackendServer(to_text(outgoing.backend_server));
    target.setOwnerHost(to_text(outgoing.owner_host));
    target.setKeyNeverRan(outgoing.key_never_ran);
    target.setRetryAfterMicros(to_micros(outgoing.retry_after));
}

[[nodiscard]] result<answer, codec_error> read_answer(wire::Answer::Reader source) {
    if (source.getOutcome() > static_cast<std::uint16_t>(outcome::unknown) ||
        source.getReason() >= reason_count) {
        return codec_error{"answer has an unknown outcome or reason"};
    }
    answer received;
    received.attempt = read_attempt(source.getAttempt());
    received.result = static_cast<outcome>(source.getOutcome());
    received.why = read_reason(source);
    received.status = source.getStatus();
    received.headers = read_headers(source.getHeaders());
    received.body = from_data(source.getBody());
    received.load = read_load(source.getLoad());
    received.service_time = microseconds{static_cast<std::int64_t>(source.getServiceMicros())};
    received.backend_server = from_text(source.getBackendServer());
    received.owner_host = from_text(source.getOwnerHost());
    received.key_never_ran = source.getKeyNeverRan();
    received.retry_after = from_micros(source.getRetryAfterMicros());
    return received;
}

[[nodiscard]] result<message, codec_error> read_hello(wire::Hello::Reader source) {
    const auto peer_address = parse_address(from_text(source.getPeerAddress()));
    if (source.getProtocol() != protocol_version || !peer_address) {
        return codec_error{"hello has another protocol version or no valid address"};
    }
    return message{hello{.host = from_text(source.getHost()),
                         .data_centre = from_text(source.getDataCentre()),
                         .incarnation = source.getIncarnation(),
                         .peer_address = *peer_address,
                         .accepts_reports = source.getAcceptsReports(),
                         .accepts_comparisons = source.getAcceptsComparisons(),
                         .requests_bodies = source.getRequestsBodies()}};
}

void write_key_inquiry(wire::KeyInquiry::Builder target, const key_inquiry& outgoing) {
    target.setNumber(outgoing.number);
    target.setKey(to_text(outgoing.key.text));
    target.setCreatedMillis(outgoing.key.created.time_since_epoch().count());
    target.setHome(to_text(to_string(outgoing.home)));
}

[[nodiscard]] result<message, codec_error> read_key_inquiry(wire::KeyInquiry::Reader source) {
    const auto home = parse_address(from_text(source.getHome()));
    if (!home) {
        return codec_error{"key inquiry has no valid address"};
    }
    const wall_time created{std::chrono::milliseconds{source.getCreatedMillis()}};
    return message{key_inquiry{.number = source.getNumber(),
                               .key = {.text = from_text(source.getKey()), .created = created},
                               .home = *home}};
}

void write_key_reply(wire::KeyReport::Builder target, const key_inquiry_reply& outgoing) {
    target.setNumber(outgoing.number);
    target.setFinding(static_cast<std::uint16_t>(outgoing.report.finding));
    write_answer(target.initAnswer(), outgoing.report.cached);
}

[[nodiscard]] result<message, codec_error> read_key_reply(wire::KeyReport::Reader source) {
    auto cached = read_answer(source.getAnswer());
    if (!succeeded(cached) || source.getFinding() > static_cast<std::uint16_t>(key_finding::unreachable)) {
        return codec_error{"key report has an unknown finding or invalid content"};
    }
    return message{key_inquiry_reply{
        .number = source.getNumber(),
        .report = {static_cast<key_finding>(source.getFinding()), value_of(std::move(cached))}}};
}

void write_report(wire::CrashReport::Builder target, const crash_report& outgoing) {
    auto list = target.initEvidence(static_cast<unsigned>(outgoing.evidence.size()));
    for (std::size_t index = 0; index < outgoing.evidence.size(); ++index) {
        const auto& item = outgoing.evidence[index];
        auto entry = list[static_cast<unsigned>(index)];
        entry.setRequestHigh(item.request.high);
        entry.setRequestLow(item.request.low);
        entry.setCrash(item.crash);
        entry.setCleared(item.cleared);
        entry.setAgeMicros(to_micros(item.age));
        auto names = entry.initDataCentres(static_cast<unsigned>(item.data_centres.size()));
        unsigned position = 0;
        for (const auto& name : item.data_centres) {
            names.set(position++, to_text(name));
        }
    }
}

[[nodiscard]] crash_report read_report(wire::CrashReport::Reader source) {
    crash_report received;
    for (const auto item : source.getEvidence()) {
        crash_evidence entry{.request = {.high = item.getRequestHigh(), .low = item.getRequestLow()},
                             .crash = item.getCrash(),
                             .cleared = item.getCleared(),
                             .age = from_micros(item.getAgeMicros()),
                             .data_centres = {}};
        for (const auto name : item.getDataCentres()) {
            entry.data_centres.insert(from_text(name));
        }
        received.evidence.push_back(std::move(entry));
    }
    return received;
}

void write_message(wire::Frame::Builder frame, const message& outgoing) {
    std::visit(
        overloaded{[&](const hello& item) {
                       auto target = frame.initHello();
                       target.setProtocol(protocol_version);
                       target.setHost(to_text(item.host));
                       target.setDataCentre(to_text(item.data_centre));
                       target.setIncarnation(item.incarnation);
                       target.setPeerAddress(to_text(to_string(item.peer_address)));
                       target.setAcceptsReports(item.accepts_reports);
                       target.setAcceptsComparisons(item.accepts_comparisons);
                       target.setRequestsBodies(item.requests_bodies);
                   },
                   [&](const call& item) { write_call(frame.initCall(), item); },
                   [&](const answer& item) { write_answer(frame.initAnswer(), item); },
                   [&](const cancel& item) { write_attempt(frame.initCancel(), item.attempt); },
                   [&](const inquiry& item) { write_attempt(frame.initInquire(), item.attempt); },
                   [&](const pending& item) { write_attempt(frame.initPending(), item.attempt); },
                   [&](const body_request& item) { write_body_request(frame.initBodyRequest(), item); },
                   [&](const call_body& item) {
                       auto target = frame.initCallBody();
                       write_attempt(target.initAttempt(), item.attempt);
                       target.setBody(to_data(item.bytes));
                       target.setOffset(item.offset);
                   },
                   [&](const ping& item) { frame.setPing(item.nonce); },
                   [&](const pong& item) { frame.setPong(item.nonce); },
                   [&](const key_inquiry& item) { write_key_inquiry(frame.initKeyInquiry(), item); },
                   [&](const key_inquiry_reply& item) { write_key_reply(frame.initKeyReport(), item); },
                   [&](const update_part& item) { write_part(frame.initUpdatePart(), item); },
                   [&](const crash_report& item) { write_report(frame.initCrashReport(), item); },
                   [&](const comparison& item) { write_comparison(frame.initComparison(), item); },
                   [&](const part_receipt& item) { write_receipt(frame.initPartReceipt(), item); },
                   [&](const subscription& item) { write_digest(frame.initSubscribe(), item); },
                   [&](const settings_update& item) { write_update(frame.initUpdate(), item); }},
        outgoing);
}

[[nodiscard]] result<message, codec_error> read_message(wire::Frame::Reader frame) {
    switch (frame.which()) {
    case wire::Frame::HELLO:
        return read_hello(frame.getHello());
    case wire::Frame::CALL:
        return message{read_call(frame.getCall())};
    case wire::Frame::ANSWER: {
        auto received = read_answer(frame.getAnswer());
        if (!succeeded(received)) {
            return error_of(received);
        }
        return message{value_of(std::move(received))};
    }
    case wire::Frame::CANCEL:
        return message{cancel{read_attempt(frame.getCancel())}};
    case wire::Frame::INQUIRE:
        return message{inquiry{read_attempt(frame.getInquire())}};
    case wire::Frame::PENDING:
        return message{pending{read_attempt(frame.getPending())}};
    case wire::Frame::PING:
        return message{ping{frame.getPing()}};
    case wire::Frame::PONG:
        return message{pong{frame.getPong()}};
    case wire::Frame::SUBSCRIBE:
        return message{read_digest(frame.getSubscribe())};
    case wire::Frame::UPDATE:
        return message{read_update(frame.getUpdate())};
    case wire::Frame::KEY_INQUIRY:
        return read_key_inquiry(frame.getKeyInquiry());
    case wire::Frame::KEY_REPORT:
        return read_key_reply(frame.getKeyReport());
    case wire::Frame::UPDATE_PART:
        return message{read_part(frame.getUpdatePart())};
    case wire::Frame::PART_RECEIPT:
        return message{read_receipt(frame.getPartReceipt())};
    case wire::Frame::CRASH_REPORT:
        return message{read_report(frame.getCrashReport())};
    case wire::Frame::COMPARISON:
        return message{read_comparison(frame.getComparison())};
    case wire::Frame::BODY_REQUEST:
        return message{read_body_request(frame.getBodyRequest())};
    case wire::Frame::CALL_BODY:
        return message{call_body{.attempt = read_attempt(frame.getCallBody().getAttempt()),
                                 .offset = static_cast<std::size_t>(frame.getCallBody().getOffset()),
                                 .bytes = from_data(frame.getCallBody().getBody())}};
    }
    return codec_error{"frame has an unknown type"};
}

} // namespace

std::string encode(const message& outgoing) {
    capnp::MallocMessageBuilder builder;
    write_message(builder.initRoot<wire::Frame>(), outgoing);
    // Packing never adds more than this to a message.
    constexpr std::size_t packing_divisor = 64;
    const auto unpacked_bytes = capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
    std::string frame(frame_header_bytes, '\0');
    frame.reserve(frame_header_bytes + unpacked_bytes + unpacked_bytes / packing_divisor);
    appending_stream packed{frame};
    capnp::writePackedMessage(packed, builder);
    const auto length = static_cast<std::uint32_t>(frame.size() - frame_header_bytes);
    std::memcpy(frame.data(), &length, frame_header_bytes);
    return frame;
}

result<message, codec_error> decode(std::span<const std::byte> frame) {
    std::optional<result<message, codec_error>> decoded;
    const auto failure = kj::runCatchingExceptions([&] {
        const capnp::ReaderOptions limits{.traversalLimitInWords = max_traversal_words,
                                          .nestingLimit = max_nesting};
        kj::ArrayInputStream bytes{{reinterpret_cast<const kj::byte*>(frame.data()), frame.size()}};
        capnp::PackedMessageReader reader{bytes, limits};
        decoded = read_message(reader.getRoot<wire::Frame>());
    });
    KJ_IF_MAYBE (exception, failure) {
        return codec_error{std::string{exception->getDescription().cStr()}};
    }
    return std::move(*decoded);
}

} // namespace chervilturn
