// Order of requests and responses on one connection: step by step, and random streams against a plain model.
#include "chervilturn/transport/request_pipeline.hpp"

#include "chervilturn/core/random.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <string>

namespace chervilturn::internal {

namespace {

[[nodiscard]] pipelined_request make_request(const std::string& target, bool overlaps,
                                             bool keep_alive = true) {
    return {.request = {.method = "GET", .target = target, .headers = {}, .body = {}},
            .arrived = {},
            .overlaps = overlaps,
            .keep_alive = keep_alive};
}

[[nodiscard]] http_response make_response(const std::string& body) {
    return {.status = 200, .headers = {}, .body = body};
}

// The targets of all requests that may start.
[[nodiscard]] std::vector<std::string> start_all(request_pipeline& pipeline) {
    std::vector<std::string> targets;
    while (auto started = pipeline.take_startable()) {
        targets.push_back(started->request.target);
    }
    return targets;
}

/// @brief A response as the client sees it.
struct sent_response {
    std::string body;
    bool last = false;

    bool operator==(const sent_response&) const = default;
};

[[nodiscard]] std::vector<sent_response> send_all(request_pipeline& pipeline) {
    std::vector<sent_response> sent;
    while (auto next = pipeline.take_response()) {
        sent.push_back({next->response.body, next->last_response});
    }
    return sent;
}

using targets = std::vector<std::string>;
using responses = std::vector<sent_response>;

// One request of the model: what was decided about it.
struct modelled_request {
    bool overlaps = false;
    bool keep_alive = true;
    bool rejected = false; // could not be read
    bool started = false;
    bool answered = false;
    bool sent = false;
    bool last = false; // its response closed the connection
};

/// @brief The rules in their plainest form: a list of all requests ever read, searched from the start.
class connection_model {
  public:
    std::vector<modelled_request> requests;
    bool closing = false;

    [[nodiscard]] bool takes_more() const {
        if (this->closing && std::any_of(this->requests.begin(), this->requests.end(),
                                         [](const auto& item) { return !item.sent; })) {
            return false;
        }
        return std::none_of(this->requests.begin(), this->requests.end(),
                            [](const auto& item) { return !item.keep_alive || item.rejected || item.last; });
    }

    [[nodiscard]] std::optional<std::size_t> next_start() const {
        bool all_overlap = true;
        bool all_answered = true;
        for (std::size_t index = 0; index < this->requests.size(); ++index) {
            const auto& item = this->requests[index];
            if (!item.started && !item.rejected) {
                const bool may_start = all_answered || (item.overlaps && all_overlap);
                const bool all_sent = std::all_of(this->requests.begin(),
                                                  this->requests.begin() + static_cast<std::ptrdiff_t>(index),
                                                  [](const auto& earlier) { return earlier.sent; });
                return may_start && (item.overlaps || all_sent) ? std::optional{index} : std::nullopt;
            }
            all_answered = all_answered && item.answered;
            all_overlap = all_overlap && (item.overlaps || item.answered);
        }
        return std::nullopt;
    }

    [[nodiscard]] std::optional<std::size_t> next_send() const {
        for (std::size_t index = 0; index < this->requests.size(); ++index) {
            if (!this->requests[index].sent) {
                return this->requests[index].answered ? std::optional{index} : std::nullopt;
            }
        }
        return std::nullopt;
    }

    void close() {
        this->closing = true;
        const auto unstarted = std::find_if(this->requests.begin(), this->requests.end(),
                                            [](const auto& item) { return !item.started && !item.rejected; });
        this->requests.erase(unstarted, this->requests.end());
    }

    [[nodiscard]] bool closes_after(std::size_t index) const {
        const auto& item = this->requests[index];
        return item.rejected || !item.keep_alive || (this->closing && index + 1 == this->requests.size());
    }
};

// Plays one random stream of requests, answers and closes against the model; returns the first difference,
// empty if there is none.
[[nodiscard]] std::string play(std::uint64_t seed) {
    random_source random{seed};
    request_pipeline pipeline{{.max_requests = 1000, .max_bytes = 1'000'000}};
    connection_model model;
    std::map<std::size_t, std::uint64_t> numbers; // of started requests, by index in the model
    bool ended = false;
    const auto settle = [&]() -> std::string {
        while (true) {
            if (auto next = pipeline.take_response()) {
                const auto expected = model.next_send();
                if (!expected || std::to_string(*expected) != next->response.body) {
                    return "response " + next->response.body + " out of order";
                }
                auto& item = model.requests[*expected];
                item.sent = true;
                item.last = model.closes_after(*expected);
                ended = ended || item.last;
                if (item.last != next->last_response) {
                    return "response " + next->response.body + " closes the connection wrongly or not";
                }
                continue;
            }
            if (model.next_send() && !ended) {
                return "a response that is due was not sent";
            }
            const auto expected = ended ? std::nullopt : model.next_start();
            auto started = ended ? std::nullopt : pipeline.take_startable();
            if (expected.has_value() != started.has_value()) {
                return expected ? "a request did not start" : "a request started too soon";
            }
            if (!started) {
                return {};
            }
            if (started->request.target != std::to_string(*expected)) {
                return "request " + started->request.target + " started out of order";
            }
            model.requests[*expected].started = true;
            numbers[*expected] = started->number;
        }
    };
    for (int step = 0; step < 60 && !ended; ++step) {
        const auto action = random.index(10);
        if (action < 5) {
            if (pipeline.has_last() == model.takes_more()) {
                return "wrong about whether a further request is read";
            }
            if (!model.takes_more()) {
                continue;
            }
            const auto name = std::to_string(model.requests.size());
            if (random.index(15) == 0) {
                pipeline.add_rejection(make_response(name));
                model.requests.push_back({.rejected = true, .answered = true});
            } else {
                const modelled_request added{.overlaps = random.index(3) > 0,
                                             .keep_alive = random.index(15) > 0};
                pipeline.add(make_request(name, added.overlaps, added.keep_alive));
                model.requests.push_back(added);
            }
        } else if (action < 9) {
            targets open;
            std::vector<std::size_t> candidates;
            for (std::size_t index = 0; index < model.requests.size(); ++index) {
                if (model.requests[index].started && !model.requests[index].answered) {
                    candidates.push_back(index);
                }
            }
            if (candidates.empty()) {
                continue;
            }
            const auto answered = candidates[random.index(candidates.size())];
            pipeline.respond(numbers[answered], make_response(std::to_string(answered)));
            pipeline.respond(numbers[answered], make_response("a second response"));
            model.requests[answered].answered = true;
        } else if (random.index(5) == 0) {
            pipeline.close();
            model.close();
        }
        if (auto difference = settle(); !difference.empty()) {
            return difference;
        }
    }
    return {};
}

} // namespace

TEST_CASE("requests of one connection are processed side by side and answered in order") {
    request_pipeline pipeline{{}};

    SECTION("requests that may overlap start at once") {
        pipeline.add(make_request("a", true));
        pipeline.add(make_request("b", true));
        CHECK(start_all(pipeline) == targets{"a", "b"});
        SECTION("the response to the second waits for the first") {
            pipeline.respond(1, make_response("b"));
            CHECK(send_all(pipeline).empty());
            pipeline.respond(0, make_response("a"));
            CHECK(send_all(pipeline) == responses{{"a"}, {"b"}});
            CHECK(pipeline.empty());
            CHECK(pipeline.bytes() == 0);
        }
        SECTION("a second response to a request is ignored") {
            pipeline.respond(0, make_response("a"));
            pipeline.respond(0, make_response("again"));
            CHECK(send_all(pipeline) == responses{{"a"}});
            pipeline.respond(0, make_response("late"));
            CHECK(send_all(pipeline).empty());
        }
    }
    SECTION("a request that may not overlap") {
        pipeline.add(make_request("a", true));
        pipeline.add(make_request("write", false));
        pipeline.add(make_request("b", true));
        CHECK(start_all(pipeline) == targets{"a"});
        SECTION("starts after everything before it was answered, and alone") {
            pipeline.respond(0, make_response("a"));
            CHECK(send_all(pipeline) == responses{{"a"}});
            CHECK(start_all(pipeline) == targets{"write"});
            pipeline.respond(1, make_response("write"));
            CHECK(send_all(pipeline) == responses{{"write"}});
            CHECK(start_all(pipeline) == targets{"b"});
        }
        SECTION("never starts once the connection is closing") {
            pipeline.close();
            pipeline.respond(0, make_response("a"));
            CHECK(send_all(pipeline) == responses{{"a", true}});
            CHECK(start_all(pipeline).empty());
            CHECK(pipeline.empty());
        }
    }
    SECTION("the connection closes after the last request that has started") {
        pipeline.add(make_request("a", true));
        pipeline.add(make_request("b", true));
        CHECK(start_all(pipeline) == targets{"a", "b"});
        pipeline.close();
        CHECK(pipeline.has_last());
        pipeline.respond(0, make_response("a"));
        CHECK(send_all(pipeline) == responses{{"a", false}});
        pipeline.respond(1, make_response("b"));
        CHECK(send_all(pipeline) == responses{{"b", true}});
    }
    SECTION("without a request in progress, the next one is the last") {
        pipeline.close();
        CHECK_FALSE(pipeline.has_last());
        pipeline.add(make_request("a", true));
        CHECK(pipeline.has_last());
        CHECK(start_all(pipeline) == targets{"a"});
        pipeline.respond(0, make_response("a"));
        CHECK(send_all(pipeline) == responses{{"a", true}});
    }
    SECTION("a client that asks for it gets no further response") {
        pipeline.add(make_request("a", true, false));
        CHECK(pipeline.has_last());
        CHECK(start_all(pipeline) == targets{"a"});
        pipeline.respond(0, make_response("a"));
        CHECK(send_all(pipeline) == responses{{"a", true}});
    }
    SECTION("the rejection of an unreadable request waits for its turn") {
        pipeline.add(make_request("a", true));
        pipeline.add_rejection(make_response("bad"));
        CHECK(pipeline.has_last());
        CHECK(start_all(pipeline) == targets{"a"});
        CHECK(send_all(pipeline).empty());
        pipeline.respond(0, make_response("a"));
        CHECK(send_all(pipeline) == responses{{"a", false}, {"bad", true}});
    }
}

TEST_CASE("a pipeline limits the requests and bytes of a connection") {
    SECTION("by number") {
        request_pipeline pipeline{{.max_requests = 2}};
        pipeline.add(make_request("a", true));
        CHECK(pipeline.has_room());
        pipeline.add(make_request("b", true));
        CHECK_FALSE(pipeline.has_room());
    }
    SECTION("by the bytes of requests, which a single one may exceed") {
        request_pipeline pipeline{{.max_bytes = 100}};
        CHECK(pipeline.has_room());
        auto large = make_request("a", true);
        large.request.body = std::string(1000, 'x');
        pipeline.add(std::move(large));
        CHECK_FALSE(pipeline.has_room());
    }
    SECTION("by the bytes of responses that wait") {
        request_pipeline pipeline{{.max_bytes = 100}};
        pipeline.add(make_request("a", true));
        pipeline.add(make_request("b", true));
        CHECK(start_all(pipeline) == targets{"a", "b"});
        pipeline.respond(1, make_response(std::string(1000, 'x')));
        CHECK_FALSE(pipeline.has_room());
        pipeline.respond(0, make_response("a"));
        CHECK(send_all(pipeline).size() == 2);
        CHECK(pipeline.has_room());
    }
}

TEST_CASE("random streams of requests are processed as a plain model says") {
    constexpr std::uint64_t streams = 20'000;
    for (std::uint64_t seed = 1; seed <= streams; ++seed) {
        const auto difference = play(seed);
        if (!difference.empty()) {
            FAIL("seed " << seed << ": " << difference);
        }
    }
}

} // namespace chervilturn::internal
