// Stand-in for the platform: a tree with revisions that can be read and watched, and a host list in it.
// Operators' side: PUT or DELETE /control/leaf/PATH, GET /control/counts, and POST /control/mode?mode= with
// up, down, garbage, snapshot (keeps a copy of the tree) or stale (shows that copy).
#include "chervilturn/config/tree.hpp"
#include "chervilturn/transport/http.hpp"
#include "stand_ins/query.hpp"

#include <csignal>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

namespace chervilturn::stand_ins {

namespace {

constexpr std::string_view leaf_prefix = "/v1/leaf/";
constexpr std::string_view control_prefix = "/control/leaf/";

enum class mode { up, down, stale, garbage };

struct waiting_watch {
    std::shared_ptr<http_exchange> exchange;
    revision_number after = 0;
    std::unique_ptr<timer> expiry;
    bool answered = false;
};

class platform_stand_in {
  public:
    explicit platform_stand_in(event_loop& used) : loop{&used} {}

    void put(const std::string& path, const std::optional<std::string>& value) {
        ++this->revision;
        this->leaves[path] = leaf{path, this->revision, !value, value.value_or("")};
        this->wake_watches();
    }

    void on_request(const std::shared_ptr<http_exchange>& exchange) {
        const query asked{exchange->request().target};
        if (asked.path.starts_with("/control/")) {
            this->control(*exchange, asked);
            return;
        }
        ++this->reads;
        if (this->current == mode::down) {
            exchange->respond({.status = 503, .headers = {}, .body = "down"});
        } else if (this->current == mode::garbage) {
            exchange->respond({.status = 200, .headers = {}, .body = "{\"revision\": -1, \"changed\": 7"});
        } else if (asked.path == "/v1/watch") {
            this->watch(exchange, asked);
        } else if (asked.path.starts_with(leaf_prefix)) {
            this->read(*exchange, asked.path.substr(leaf_prefix.size()));
        } else {
            exchange->respond({.status = 404, .headers = {}, .body = ""});
        }
    }

  private:
    [[nodiscard]] const std::map<std::string, leaf>& shown_leaves() const {
        return this->current == mode::stale ? this->frozen_leaves : this->leaves;
    }

    [[nodiscard]] revision_number shown_revision() const {
        return this->current == mode::stale ? this->frozen_revision : this->revision;
    }

    void watch(const std::shared_ptr<http_exchange>& exchange, const query& asked) {
        const auto after = static_cast<revision_number>(asked.number("after", 0));
        const std::chrono::milliseconds wait{asked.number("wait_ms", 0)};
        auto waiting = std::make_shared<waiting_watch>();
        waiting->exchange = exchange;
        waiting->after = after;
        if (this->shown_revision() > after || wait.count() == 0) {
            this->answer(*waiting);
            return;
        }
        waiting->expiry =
            std::make_unique<timer>(*this->loop, [this, held = waiting.get()] { this->answer(*held); });
        waiting->expiry->start_once(wait);
        this->watches.push_back(std::move(waiting));
    }

    void answer(waiting_watch& waiting) {
        if (waiting.answered) {
            return;
        }
        waiting.answered = true;
        auto changed = nlohmann::json::array();
        for (const auto& [path, held] : this->shown_leaves()) {
            if (held.revision > waiting.after) {
                changed.push_back({{"path", path}, {"revision", held.revision}});
            }
        }
        const nlohmann::json body{{"revision", this->shown_revision()}, {"changed", std::move(changed)}};
        waiting.exchange->respond({.status = 200, .headers = {}, .body = body.dump()});
    }

    void wake_watches() {
        if (this->current == mode::stale) {
            return;
        }
        auto woken = std::move(this->watches);
        this->watches.clear();
        for (const auto& waiting : woken) {
            this->answer(*waiting);
        }
    }

    void read(http_exchange& exchange, const std::string& path) {
        const auto found = this->shown_leaves().find(path);
        if (found == this->shown_leaves().end()) {
            exchange.respond({.status = 404, .headers = {}, .body = ""});
            return;
        }
        nlohmann::json body{{"path", path}, {"revision", found->second.revision}};
        body["value"] = found->second.removed ? nlohmann::json{} : nlohmann::json(found->second.value);
        exchange.respond({.status = 200, .headers = {}, .body = body.dump()});
    }

    void control(http_exchange& exchange, const query& asked) {
        if (asked.path.starts_with(control_prefix)) {
            const bool removal = exchange.request().method == "DELETE";
            this->put(asked.path.substr(control_prefix.size()),
                      removal ? std::nullopt : std::optional{exchange.request().body});
        } else if (asked.path == "/control/mode") {
            this->set_mode(asked.text("mode"));
        }
        const nlohmann::json body{{"reads", this->reads}, {"revision", this->revision}};
        exchange.respond({.status = 200, .headers = {}, .body = body.dump()});
    }

    void set_mode(const std::string& name) {
        if (name == "snapshot") {
            this->frozen_leaves = this->leaves;
            this->frozen_revision = this->revision;
            return;
        }
        this->current = name == "down"      ? mode::down
                        : name == "stale"   ? mode::stale
                        : name == "garbage" ? mode::garbage
                                            : mode::up;
        if (this->current == mode::down) {
            for (const auto& waiting : std::exchange(this->watches, {})) {
                waiting->answered = true;
                waiting->exchange->respond({.status = 503, .headers = {}, .body = "down"});
            }
        }
    }

    event_loop* loop;
    std::map<std::string, leaf> leaves;
    revision_number revision = 0;
    std::map<std::string, leaf> frozen_leaves; // shown while stale
    revision_number frozen_revision = 0;
    mode current = mode::up;
    std::uint64_t reads = 0;
    std::vector<std::shared_ptr<waiting_watch>> watches;
};

void load_tree(platform_stand_in& target, const std::string& file) {
    std::ifstream stream{file};
    const auto tree = nlohmann::json::parse(stream, nullptr, true, true);
    for (const auto& [path, value] : tree.items()) {
        target.put(path, value.dump());
    }
}

int serve(const std::string& where, const std::string& tree) {
    event_loop loop;
    platform_stand_in platform{loop};
    if (!tree.empty()) {
        load_tree(platform, tree);
    }
    const auto server = http_server::listen(
        loop, parse_address(where).value(), {},
        [&platform](const std::shared_ptr<http_exchange>& exchange) { platform.on_request(exchange); });
    if (!succeeded(server)) {
        std::cerr << "platform stand-in: " << error_of(server).message << '\n';
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
        TCLAP::CmdLine line{"Stand-in for the platform's configuration service and host list.", ' '};
        TCLAP::ValueArg<std::string> listen{"", "listen", "Address", true, "", "IP:PORT", line};
        TCLAP::ValueArg<std::string> tree{"", "tree", "Leaves to start with", false, "", "FILE", line};
        line.parse(count, values);
        std::signal(SIGPIPE, SIG_IGN);
        return chervilturn::stand_ins::serve(listen.getValue(), tree.getValue());
    } catch (const std::exception& failure) {
        std::cerr << "platform stand-in: " << failure.what() << '\n';
        return 1;
    }
}
