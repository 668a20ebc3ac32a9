// Encoding and decoding of messages between nodes, and decoding of corrupted frames.
#include "chervilturn/core/random.hpp"
#include "chervilturn/transport/codec.hpp"
#include "chervilturn/transport/wire.capnp.h"

#include <capnp/serialize-packed.h>
#include <catch2/catch.hpp>
#include <limits>

namespace chervilturn {

namespace {

using namespace std::chrono_literals;

result<message, codec_error> decode_frame(const std::string& frame) {
    return decode(std::as_bytes(std::span{frame}.subspan(frame_header_bytes)));
}

// Decodes a message of which only some fields were set, as one of an older version.
result<message, codec_error> decode_message(capnp::MallocMessageBuilder& builder) {
    kj::VectorOutputStream packed;
    capnp::writePackedMessage(packed, builder);
    const auto bytes = packed.getArray();
    return decode(std::as_bytes(std::span{bytes.begin(), bytes.size()}));
}

call sample_call() {
    call sample;
    sample.attempt = {7, 9};
    sample.team = "teranga";
    sample.workspace = "market";
    sample.service = "transfers";
    sample.route = "confirm";
    sample.urgent = true;
    sample.remaining = 1500ms;
    sample.extra_attempts = 1;
    sample.key = {.text = "k", .created = wall_time{5s}};
    sample.method = "POST";
    sample.target = "/confirm";
    sample.headers = {{"a", "b"}};
    sample.body = std::string(100'000, 'x') + '\0' + "end";
    return sample;
}

} // namespace

TEST_CASE("a call and an answer are unchanged after encoding and decoding") {
    const auto received = decode_frame(encode(sample_call()));
    REQUIRE(succeeded(received));
    const auto& decoded = std::get<call>(value_of(received));
    CHECK(decoded.attempt == attempt_id{7, 9});
    CHECK(decoded.body == sample_call().body);
    CHECK(decoded.remaining == 1500ms);
    CHECK(decoded.key.created == wall_time{5s});
    CHECK(decoded.urgent);

    answer refusal = refuse({1, 2}, outcome::not_run, reason::queue_full);
    refusal.load = {.in_use = 3, .queued = 4, .limit = 5};
    const auto received_answer = decode_frame(encode(refusal));
    REQUIRE(succeeded(received_answer));
    CHECK(std::get<answer>(value_of(received_answer)).why == reason::queue_full);
    CHECK(std::get<answer>(value_of(received_answer)).load.queued == 4);
}

TEST_CASE("a body that is sent on request is unchanged after encoding and decoding") {
    auto offer = sample_call();
    offer.withheld_bytes = offer.body.size();
    const auto body = std::exchange(offer.body, {});
    const auto received_offer = decode_frame(encode(offer));
    REQUIRE(succeeded(received_offer));
    CHECK(std::get<call>(value_of(received_offer)).withheld_bytes == body.size());
    const auto received_request = decode_frame(encode(body_request{{7, 9}, 5, 6}));
    REQUIRE(succeeded(received_request));
    CHECK(std::get<body_request>(value_of(received_request)).attempt == attempt_id{7, 9});
    CHECK(std::get<body_request>(value_of(received_request)).offset == 5);
    CHECK(std::get<body_request>(value_of(received_request)).length == 6);
    const auto received_body = decode_frame(encode(call_body{{7, 9}, 5, std::string{body.text()}}));
    REQUIRE(succeeded(received_body));
    CHECK(std::get<call_body>(value_of(received_body)).attempt == attempt_id{7, 9});
    CHECK(std::get<call_body>(value_of(received_body)).offset == 5);
    CHECK(std::get<call_body>(value_of(received_body)).bytes == body.text());
}

TEST_CASE("an answer carries the stated rate and a reason that older nodes do not know") {
    answer refusal = refuse({1, 2}, outcome::not_run, reason::server_rate_limited);
    refusal.load = {.calls_per_second = 0.5, .rate_wait = 700ms, .leaving = true};
    const auto frame = encode(refusal);
    const auto received = decode_frame(frame);
    REQUIRE(succeeded(received));
    const auto& decoded = std::get<answer>(value_of(received));
    CHECK(decoded.why == reason::server_rate_limited);
    CHECK(decoded.load.calls_per_second == 0.5);
    CHECK(decoded.load.rate_wait == 700ms);
    CHECK(decoded.load.leaving);

    SECTION("older nodes read a reason that they know") {
        kj::ArrayInputStream bytes{{reinterpret_cast<const kj::byte*>(frame.data()) + frame_header_bytes,
                                    frame.size() - frame_header_bytes}};
        capnp::PackedMessageReader reader{bytes};
        CHECK(reader.getRoot<wire::Frame>().getAnswer().getReason() ==
              static_cast<std::uint16_t>(reason::queue_full));
    }
    SECTION("a rate that is no number counts as none") {
        refusal.load.calls_per_second = std::numeric_limits<double>::quiet_NaN();
        const auto received_nan = decode_frame(encode(refusal));
        REQUIRE(succeeded(received_nan));
        CHECK_FALSE(std::get<answer>(value_of(received_nan)).load.calls_per_second);
    }
}

TEST_CASE("control messages are unchanged after encoding and decoding") {
    const subscription request{.revisions = {{"t", 4, 12, 99}}, .nonce = 8, .follow = true};
    const auto received_request = decode_frame(encode(request));
    REQUIRE(succeeded(received_request));
    CHECK(std::get<subscription>(value_of(received_request)).revisions.at(0).revision == 4);
    CHECK(std::get<subscription>(value_of(received_request)).revisions.at(0).version == 12);
    CHECK(std::get<subscription>(value_of(received_request)).revisions.at(0).content == 99);
    CHECK(std::get<subscription>(value_of(received_request)).follow);
    CHECK(std::get<subscription>(value_of(received_request)).accepts_parts);
    CHECK_FALSE(std::get<subscription>(value_of(received_request)).ends);

    SECTION("a subscriber of an older version accepts no parts") {
        capnp::MallocMessageBuilder builder;
        builder.initRoot<wire::Frame>().initSubscribe().setFollow(true);
        const auto older = decode_message(builder);
        REQUIRE(succeeded(older));
        CHECK_FALSE(std::get<subscription>(value_of(older)).accepts_parts);
    }
    SECTION("a comparison") {
        const auto received =
            decode_frame(encode(comparison{.state = 7, .reads_platform = true, .read_instead = true}));
        REQUIRE(succeeded(received));
        const auto& told = std::get<comparison>(value_of(received));
        CHECK(told.state == 7);
        CHECK(told.reads_platform);
        CHECK(told.read_instead);
    }
    SECTION("a node of an older version accepts no reports and no comparisons") {
        capnp::MallocMessageBuilder builder;
        auto older_hello = builder.initRoot<wire::Frame>().initHello();
        older_hello.setProtocol(protocol_version);
        older_hello.setPeerAddress("10.0.0.1:7000");
        const auto older = decode_message(builder);
        REQUIRE(succeeded(older));
        CHECK_FALSE(std::get<hello>(value_of(older)).accepts_reports);
        CHECK_FALSE(std::get<hello>(value_of(older)).accepts_comparisons);
    }
    SECTION("evidence about crashes, as far as a data centre may hold it") {
        const crash_report report{
            .evidence = {{.request = {1, 2}, .crash = 3, .cleared = true, .age = 4s, .data_centres = {}},
                         {.request = {5, 6}, .crash = 7, .age = 8s, .data_centres = {"a", "b"}}}};
        const auto received_report = decode_frame(encode(report));
        REQUIRE(succeeded(received_report));
        const auto& decoded_report = std::get<crash_report>(value_of(received_report));
        REQUIRE(decoded_report.evidence.size() == 2);
        CHECK(decoded_report.evidence[0].request == request_fingerprint{1, 2});
        CHECK(decoded_report.evidence[0].cleared);
        CHECK(decoded_report.evidence[0].age == 4s);
        CHECK(decoded_report.evidence[1].crash == 7);
        CHECK(report_for("b", decoded_report).evidence.size() == 2);
        CHECK(report_for("c", decoded_report).evidence.size() == 1);
    }
    SECTION("parts of an update and their receipts") {
        const auto part = decode_frame(encode(
            update_part{.transfer = 4, .offset = 4096, .total = 5000, .bytes = std::string(904, 'x')}));
        REQUIRE(succeeded(part));
        const auto& decoded_part = std::get<update_part>(value_of(part));
        CHECK(decoded_part.transfer == 4);
        CHECK(decoded_part.offset == 4096);
        CHECK(decoded_part.total == 5000);
        CHECK(decoded_part.bytes.size() == 904);
        const auto receipt = decode_frame(encode(part_receipt{.transfer = 4, .received = 5000}));
        REQUIRE(succeeded(receipt));
        CHECK(std::get<part_receipt>(value_of(receipt)).received == 5000);
    }

    const settings_update update{
        .subtrees = {{.subtree = "t", .revision = 3, .leaves = {{"teams/t/routes/r", 3, false, "{}", 12}}}},
        .nonce = 8};
    const auto received_update = decode_frame(encode(update));
    REQUIRE(succeeded(received_update));
    CHECK(std::get<settings_update>(value_of(received_update)).subtrees.at(0).leaves.at(0).value == "{}");
    CHECK(std::get<settings_update>(value_of(received_update)).subtrees.at(0).leaves.at(0).version == 12);

    const key_inquiry_reply reply{.number = 3, .report = {key_finding::fenced, {}}};
    const auto received_reply = decode_frame(encode(reply));
    REQUIRE(succeeded(received_reply));
    CHECK(std::get<key_inquiry_reply>(value_of(received_reply)).report.finding == key_finding::fenced);
}

TEST_CASE("decoding a corrupted frame returns an error or a message and never crashes") {
    const auto seed = GENERATE(range<std::uint64_t>(1, 201));
    random_source random{seed};
    auto frame = encode(sample_call());
    const auto changes = 1 + random.index(8);
    for (std::size_t change = 0; change < changes; ++change) {
        const auto offset = frame_header_bytes + random.index(400);
        frame[offset] = static_cast<char>(random.index(256));
    }
    if (random.index(4) == 0) {
        frame.resize(frame_header_bytes + random.index(frame.size() - frame_header_bytes));
    }
    const auto received = decode_frame(frame);
    CHECK((succeeded(received) || !error_of(received).message.empty()));
}

} // namespace chervilturn
