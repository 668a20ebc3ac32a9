// Frames between nodes: every message survives the way, and no bytes end the process.
#include "chervilturn/core/random.hpp"
#include "chervilturn/transport/codec.hpp"

#include <catch2/catch.hpp>

namespace chervilturn {

namespace {

using namespace std::chrono_literals;

result<message, codec_error> decode_frame(const std::string& frame) {
    return decode(std::as_bytes(std::span{frame}.subspan(frame_header_bytes)));
}

call sample_call() {
    call made;
    made.attempt = {7, 9};
    made.team = "teranga";
    made.workspace = "market";
    made.service = "transfers";
    made.route = "confirm";
    made.urgent = true;
    made.remaining = 1500ms;
    made.extra_attempts = 1;
    made.key = {.text = "k", .created = wall_time{5s}};
    made.method = "POST";
    made.target = "/confirm";
    made.headers = {{"a", "b"}};
    made.body = std::string(100'000, 'x') + '\0' + "end";
    return made;
}

} // namespace

TEST_CASE("a call and its answer survive the way") {
    const auto received = decode_frame(encode(sample_call()));
    REQUIRE(succeeded(received));
    const auto& read = std::get<call>(value_of(received));
    CHECK(read.attempt == attempt_id{7, 9});
    CHECK(read.body == sample_call().body);
    CHECK(read.remaining == 1500ms);
    CHECK(read.key.created == wall_time{5s});
    CHECK(read.urgent);

    answer sent = refuse({1, 2}, outcome::not_run, reason::queue_full);
    sent.load = {.in_use = 3, .queued = 4, .limit = 5};
    const auto returned = decode_frame(encode(sent));
    REQUIRE(succeeded(returned));
    CHECK(std::get<answer>(value_of(returned)).why == reason::queue_full);
    CHECK(std::get<answer>(value_of(returned)).load.queued == 4);
}

TEST_CASE("control messages survive the way") {
    const subscription asked{.known = {{"t", 4}}, .nonce = 8, .follow = true};
    const auto read = decode_frame(encode(asked));
    REQUIRE(succeeded(read));
    CHECK(std::get<subscription>(value_of(read)).known.at(0).revision == 4);
    CHECK(std::get<subscription>(value_of(read)).follow);

    const settings_update update{
        .subtrees = {{.subtree = "t", .revision = 3, .leaves = {{"teams/t/routes/r", 3, false, "{}"}}}},
        .nonce = 8};
    const auto received = decode_frame(encode(update));
    REQUIRE(succeeded(received));
    CHECK(std::get<settings_update>(value_of(received)).subtrees.at(0).leaves.at(0).value == "{}");

    const key_inquiry_reply reply{.number = 3, .report = {key_finding::fenced, {}}};
    const auto report = decode_frame(encode(reply));
    REQUIRE(succeeded(report));
    CHECK(std::get<key_inquiry_reply>(value_of(report)).report.finding == key_finding::fenced);
}

TEST_CASE("damaged frames are errors or other messages, never the end of the process") {
    const auto seed = GENERATE(range<std::uint64_t>(1, 201));
    random_source random{seed};
    auto frame = encode(sample_call());
    const auto changes = 1 + random.index(8);
    for (std::size_t change = 0; change < changes; ++change) {
        const auto place = frame_header_bytes + random.index(400);
        frame[place] = static_cast<char>(random.index(256));
    }
    if (random.index(4) == 0) {
        frame.resize(frame_header_bytes + random.index(frame.size() - frame_header_bytes));
    }
    const auto received = decode_frame(frame);
    CHECK((succeeded(received) || !error_of(received).message.empty()));
}

} // namespace chervilturn
