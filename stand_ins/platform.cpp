// Stand-in for the platform: a tree of settings with revisions, which nodes read and watch. The host list is
// part of the tree.
//
// Requests of nodes: GET /v1/leaf/PATH, GET /v1/watch?after=&wait_ms= (long poll).
// Control requests: PUT or DELETE /control/leaf/PATH, GET /control/counts, POST /control/mode?mode=. Modes:
// up; down (every request gets status 503); garbage (every response is malformed JSON); snapshot (copies the
// tree and leaves the mode as it is); stale (serves that copy).
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

/// @brief A long poll that waits for a newer revision or for its expiry.
struct pending_watch {
    std::shared_ptr<http_exchange> exchange;
    revision_number after_revision = 0; // answered once the tree has a greater revision
    std::unique_ptr<timer> expiry_timer;
    bool answered = false;
};

/// @brief The simulated platform.
class platform_stand_in {
  public:
    explicit platform_stand_in(event_loop& io_loop) : loop{&io_loop} {}

    /// @brief Writes a leaf with the next revision; no value marks the leaf as removed.
    void put(const std::string& path, const std::optional<std::string>& value) {
        ++this->revision;
        this->leaves[path] = leaf{path, this->revision, !value, value.value_or("")};
        this->answer_watches();
    }

    void on_request(const std::shared_ptr<http_exchange>& exchange) {
        const query url{exchange->request().target};
        if (url.path.starts_with("/control/")) {
            this->handle_control(*exchange, url);
            return;
        }
        ++this->read_count;
        if (this->current_mode == mode::down) {
            exchange->respond({.status = 503, .headers = {}, .body = "down"});
        } else if (this->current_mode == mode::garbage) {
            exchange->respond({.status = 200, .headers = {}, .body = "{\"revision\": -1, \"changed\": 7"});
        } else if (url.path == "/v1/watch") {
            this->watch(exchange, url);
        } else if (url.path.starts_with(leaf_prefix)) {
            this->read(*exchange, url.path.substr(leaf_prefix.size()));
        } else {
            exchange->respond({.status = 404, .headers = {}, .body = ""});
        }
    }

  private:
    [[nodiscard]] const std::map<std::string, leaf>& served_leaves() const {
        return this->current_mode == mode::stale ? this->snapshot_leaves : this->leaves;
    }

    [[nodiscard]] revision_number served_revision() const {
        return this->current_mode == mode::stale ? this->snapshot_revision : this->revision;
    }

    void watch(const std::shared_ptr<http_exchange>& exchange, const query& url) {
        const auto after_revision = static_cast<revision_number>(url.number("after", 0));
        const std::chrono::milliseconds wait{url.number("wait_ms", 0)};
        auto pending = std::make_shared<pending_watch>();
        pending->exchange = exchange;
        pending->after_revision = after_revision;
        if (this->served_revision() > after_revision || wait.count() == 0) {
            this->answer(*pending);
            return;
        }
        pending->expiry_timer =
            std::make_unique<timer>(*this->loop, [this, expired = pending.get()] { this->answer(*expired); });
        pending->expiry_timer->start_once(wait);
        this->watches.push_back(std::move(pending));
    }

    void answer(pending_watch& pending) {
        if (pending.answered) {
            return;
        }
        pending.answered = true;
        auto changed = nlohmann::json::array();
        for (const auto& [path, entry] : this->served_leaves()) {
            if (entry.revision > pending.after_revision) {
                changed.push_back({{"path", path}, {"revision", entry.revision}});
            }
        }
        const nlohmann::json body{{"revision", this->served_revision()}, {"changed", std::move(changed)}};
        pending.exchange->respond({.status = 200, .headers = {}, .body = body.dump()});
    }

    void answer_watches() {
        if (this->current_mode == mode::stale) {
            return;
        }
        auto due_watches = std::move(this->watches);
        this->watches.clear();
        for (const auto& pending : due_watches) {
            this->answer(*pending);
        }
    }

    void read(http_exchange& exchange, const std::string& path) {
        const auto found = this->served_leaves().find(path);
        if (found == this->served_leaves().end()) {
            exchange.respond({.status = 404, .headers = {}, .body = ""});
            return;
        }
        nlohmann::json body{{"path", path}, {"revision", found->second.revision}};
        body["value"] = found->second.removed ? nlohmann::json{} : nlohmann::json(found->second.value);
        exchange.respond({.status = 200, .headers = {}, .body = body.dump()});
    }

    void handle_control(http_exchange& exchange, const query& url) {
        if (url.path.starts_with(control_prefix)) {
            const bool is_removal = exchange.request().method == "DELETE";
            this->put(url.path.substr(control_prefix.size()),
                      is_removal ? std::nullopt : std::optional{std::string{exchange.request().body.text()}});
        } else if (url.path == "/control/mode") {
            this->set_mode(url.text("mode"));
        }
        const nlohmann::json body{{"reads", this->read_count}, {"revision", this->revision}};
        exchange.respond({.status = 200, .headers = {}, .body = body.dump()});
    }

    void set_mode(const std::string& name) {
        if (name == "snapshot") {
            this->snapshot_leaves = this->leaves;
            this->snapshot_revision = this->revision;
            return;
        }
        this->current_mode = name == "down"      ? mode::down
                             : name == "stale"   ? mode::stale
                             : name == "garbage" ? mode::garbage
                                                 : mode::up;
        if (this->current_mode == mode::down) {
            for (const auto& pending : std::exchange(this->watches, {})) {
                pending->answered = true;
                pending->exchange->respond({.status = 503, .headers = {}, .body = "down"});
            }
        }
    }

    event_loop* loop;
    std::map<std::string, leaf> leaves;
    revision_number revision = 0;
    std::map<std::string, leaf> snapshot_leaves; // served in mode stale
    revision_number snapshot_revision = 0;
    mode current_mode = mode::up;
    std::uint64_t read_count = 0; // requests of nodes, watches included
    std::vector<std::shared_ptr<pending_watch>> watches;
};

// Writes the leaves of a JSON file, an object with the value of each path. The file may contain comments.
void load_tree(platform_stand_in& stand_in, const std::string& file) {
    std::ifstream stream{file};
    const auto tree = nlohmann::json::parse(stream, nullptr, true, true);
    for (const auto& [path, value] : tree.items()) {
        stand_in.put(path, value.dump());
    }
}

int serve(const std::string& listen_address, const std::string& tree_file) {
    event_loop loop;
    platform_stand_in platform{loop};
    if (!tree_file.empty()) {
        load_tree(platform, tree_file);
    }
    const auto server = http_server::listen(
        loop, parse_address(listen_address).value(), {},
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

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command_line{"Stand-in for the platform's configuration service and host list.", ' '};
        TCLAP::ValueArg<std::string> listen_arg{"", "listen", "Address", true, "", "IP:PORT", command_line};
        TCLAP::ValueArg<std::string> tree_arg{"",     "tree",      "Leaves to start with", false, "",
                                              "FILE", command_line};
        command_line.parse(argc, argv);
        std::signal(SIGPIPE, SIG_IGN);
        return chervilturn::stand_ins::serve(listen_arg.getValue(), tree_arg.getValue());
    } catch (const std::exception& failure) {
        std::cerr << "platform stand-in: " << failure.what() << '\n';
        return 1;
    }
}
