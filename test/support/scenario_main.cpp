// Runs each Lua script of a folder as one Catch2 test case. Before a script runs, the prelude (the file
// test/scenarios/lib/fleet.lua) is run in the same Lua state.
#define CATCH_CONFIG_RUNNER
#include "support/scenario_host.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <lua.hpp>
#include <nlohmann/json.hpp>

namespace chervilturn::test {

namespace {

// The Lua state holds a pointer to its scenario_host in the extra space that Lua reserves for its user.
scenario_host& host_of(lua_State* lua) {
    return **static_cast<scenario_host**>(lua_getextraspace(lua));
}

// A string field of a table; the default when it is missing.
std::string text_field(lua_State* lua, int table, const char* name, const std::string& default_value) {
    lua_getfield(lua, table, name);
    std::string value = lua_isnil(lua, -1) ? default_value : lua_tostring(lua, -1);
    lua_pop(lua, 1);
    return value;
}

// Pushes a JSON value as a Lua value; null, and text that is not valid JSON, become nil.
void push_json(lua_State* lua, const nlohmann::json& value) {
    if (value.is_object()) {
        lua_newtable(lua);
        for (const auto& [key, item] : value.items()) {
            push_json(lua, item);
            lua_setfield(lua, -2, key.c_str());
        }
    } else if (value.is_array()) {
        lua_newtable(lua);
        lua_Integer index = 0;
        for (const auto& item : value) {
            push_json(lua, item);
            lua_rawseti(lua, -2, ++index);
        }
    } else if (value.is_string()) {
        const auto& text = value.get_ref<const std::string&>();
        lua_pushlstring(lua, text.data(), text.size());
    } else if (value.is_boolean()) {
        lua_pushboolean(lua, value.get<bool>() ? 1 : 0);
    } else if (value.is_number_integer()) {
        lua_pushinteger(lua, value.get<lua_Integer>());
    } else if (value.is_number()) {
        lua_pushnumber(lua, value.get<double>());
    } else {
        lua_pushnil(lua);
    }
}

// The functions below are the ones that register_functions offers to scripts.

// reserve_port(): a free loopback port, reserved until the scenario ends.
int lua_reserve_port(lua_State* lua) {
    lua_pushinteger(lua, host_of(lua).reserve_port());
    return 1;
}

// spawn(log_name, arguments): starts a program of the build folder; returns its process id.
int lua_spawn(lua_State* lua) {
    std::vector<std::string> command;
    const auto count = luaL_len(lua, 2);
    for (lua_Integer index = 1; index <= count; ++index) {
        lua_geti(lua, 2, index);
        command.emplace_back(lua_tostring(lua, -1));
        lua_pop(lua, 1);
    }
    lua_pushinteger(lua, host_of(lua).spawn(command, luaL_checkstring(lua, 1)));
    return 1;
}

// signal(process_id, name): sends KILL, TERM, INT, STOP, CONT or HUP.
int lua_signal(lua_State* lua) {
    const std::map<std::string, int> signal_numbers{{"KILL", SIGKILL}, {"TERM", SIGTERM}, {"STOP", SIGSTOP},
                                                    {"CONT", SIGCONT}, {"HUP", SIGHUP},   {"INT", SIGINT}};
    host_of(lua).signal(static_cast<pid_t>(luaL_checkinteger(lua, 1)),
                        signal_numbers.at(luaL_checkstring(lua, 2)));
    return 0;
}

// exit_code(process_id): the exit code; -1000 while the process runs; minus the number of the signal that
// killed it.
int lua_exit_code(lua_State* lua) {
    lua_pushinteger(lua, host_of(lua).exit_code(static_cast<pid_t>(luaL_checkinteger(lua, 1))));
    return 1;
}

// request{method=, target=, headers=, body=, address=, timeout_ms=}: starts an HTTP request; returns its
// number.
int lua_start_request(lua_State* lua) {
    luaL_checktype(lua, 1, LUA_TTABLE);
    http_request request{.method = text_field(lua, 1, "method", "GET"),
                         .target = text_field(lua, 1, "target", "/"),
                         .headers = {},
                         .body = text_field(lua, 1, "body", "")};
    lua_getfield(lua, 1, "headers");
    if (lua_istable(lua, -1)) {
        lua_pushnil(lua);
        while (lua_next(lua, -2) != 0) {
            request.headers.push_back({lua_tostring(lua, -2), luaL_tolstring(lua, -1, nullptr)});
            lua_pop(lua, 2);
        }
    }
    const auto server = parse_address(text_field(lua, 1, "address", "")).value();
    const std::chrono::milliseconds timeout{std::stoll(text_field(lua, 1, "timeout_ms", "10000"))};
    lua_pushinteger(lua, static_cast<lua_Integer>(host_of(lua).start_request(server, request, timeout)));
    return 1;
}

// http_result(number): a table with status, body and headers, or with failure; nothing while the request is
// in progress.
int lua_http_result(lua_State* lua) {
    const auto* result = host_of(lua).result_of(static_cast<std::uint64_t>(luaL_checkinteger(lua, 1)));
    if (result == nullptr) {
        return 0;
    }
    nlohmann::json fields;
    if (const auto* response = std::get_if<http_response>(result)) {
        fields = {
            {"status", response->status}, {"body", response->body}, {"headers", nlohmann::json::object()}};
        for (const auto& item : response->headers) {
            fields["headers"][item.name] = item.value;
        }
    } else {
        fields = {{"failure", std::string{to_string(std::get<http_failure>(*result))}}};
    }
    push_json(lua, fields);
    return 1;
}

// run_event_loop(max_ms): handles events until any request ends or the time has passed.
int lua_run_event_loop(lua_State* lua) {
    host_of(lua).run_events(std::chrono::milliseconds{luaL_checkinteger(lua, 1)});
    return 0;
}

// limit_descriptors(most): how many open files the processes that are started from now on may have.
int lua_limit_descriptors(lua_State* lua) {
    host_of(lua).limit_descriptors(static_cast<std::size_t>(luaL_checkinteger(lua, 1)));
    return 0;
}

// descriptor_count(process_id): the descriptors that a process has open.
int lua_descriptor_count(lua_State* lua) {
    const auto folder = "/proc/" + std::to_string(luaL_checkinteger(lua, 1)) + "/fd";
    const std::filesystem::directory_iterator entries{folder};
    lua_pushinteger(lua, std::distance(begin(entries), end(entries)));
    return 1;
}

// start_crowd{address=, clients=, head=, block=, block_count=, tail=, reading=}: starts a crowd, see
// test/support/crowd.hpp; returns its number. reading is all (the default), slow or none.
int lua_start_crowd(lua_State* lua) {
    luaL_checktype(lua, 1, LUA_TTABLE);
    const std::map<std::string, crowd_reading> ways{
        {"all", crowd_reading::all}, {"slow", crowd_reading::slow}, {"none", crowd_reading::none}};
    lua_pushinteger(lua, static_cast<lua_Integer>(host_of(lua).start_crowd(
                             {.server = parse_address(text_field(lua, 1, "address", "")).value(),
                              .clients = std::stoul(text_field(lua, 1, "clients", "0")),
                              .head = text_field(lua, 1, "head", ""),
                              .block = text_field(lua, 1, "block", ""),
                              .block_count = std::stoul(text_field(lua, 1, "block_count", "0")),
                              .tail = text_field(lua, 1, "tail", ""),
                              .reading = ways.at(text_field(lua, 1, "reading", "all"))})));
    return 1;
}

// crowd_state(number): a table with open, sent_all, quiet_ms, answered and answers (clients by status).
int lua_crowd_state(lua_State* lua) {
    const auto found = host_of(lua).crowd_of(static_cast<std::uint64_t>(luaL_checkinteger(lua, 1))).state();
    std::size_t answered = 0;
    for (const auto& [status, count] : found.answers) {
        answered += count;
    }
    push_json(lua, {{"open", found.open},
                    {"sent_all", found.sent_all},
                    {"quiet_ms", found.quiet_for.count() / 1000},
                    {"answered", answered},
                    {"answers", found.answers}});
    return 1;
}

// end_crowd(number): ends the connections of a crowd.
int lua_end_crowd(lua_State* lua) {
    host_of(lua).end_crowd(static_cast<std::uint64_t>(luaL_checkinteger(lua, 1)));
    return 0;
}

// parse_json(text): the value as Lua tables, strings, numbers and booleans; nil for text that is not valid
// JSON.
int lua_parse_json(lua_State* lua) {
    push_json(lua, nlohmann::json::parse(luaL_checkstring(lua, 1), nullptr, false));
    return 1;
}

// write_file(name, text): writes a file of the output folder; returns its path.
int lua_write_file(lua_State* lua) {
    const auto file_path = host_of(lua).folder() + '/' + luaL_checkstring(lua, 1);
    std::ofstream{file_path} << luaL_checkstring(lua, 2);
    lua_pushstring(lua, file_path.c_str());
    return 1;
}

// output_folder(): the folder of the processes' log files.
int lua_output_folder(lua_State* lua) {
    lua_pushstring(lua, host_of(lua).folder().c_str());
    return 1;
}

// script_folder(): the folder of the scripts.
int lua_script_folder(lua_State* lua) {
    lua_pushstring(lua, SCENARIO_FOLDER);
    return 1;
}

// now(): monotonic time in seconds.
int lua_now(lua_State* lua) {
    lua_pushnumber(lua, to_seconds(monotonic_clock::now().time_since_epoch()));
    return 1;
}

// wall_clock_ms(): system time in milliseconds since 1970.
int lua_wall_clock_ms(lua_State* lua) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    lua_pushinteger(lua, std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    return 1;
}

// check(condition, description): a Catch2 check; a failed one fails the test case, and the script goes on.
int lua_check(lua_State* lua) {
    INFO(luaL_checkstring(lua, 2));
    CHECK(lua_toboolean(lua, 1) == 1);
    return 0;
}

void register_functions(lua_State* lua) {
    const std::map<std::string, lua_CFunction> functions{{"reserve_port", lua_reserve_port},
                                                         {"spawn", lua_spawn},
                                                         {"signal", lua_signal},
                                                         {"exit_code", lua_exit_code},
                                                         {"request", lua_start_request},
                                                         {"http_result", lua_http_result},
                                                         {"run_event_loop", lua_run_event_loop},
                                                         {"limit_descriptors", lua_limit_descriptors},
                                                         {"descriptor_count", lua_descriptor_count},
                                                         {"start_crowd", lua_start_crowd},
                                                         {"crowd_state", lua_crowd_state},
                                                         {"end_crowd", lua_end_crowd},
                                                         {"parse_json", lua_parse_json},
                                                         {"write_file", lua_write_file},
                                                         {"now", lua_now},
                                                         {"check", lua_check},
                                                         {"wall_clock_ms", lua_wall_clock_ms},
                                                         {"output_folder", lua_output_folder},
                                                         {"script_folder", lua_script_folder}};
    for (const auto& [name, function] : functions) {
        lua_pushcfunction(lua, function);
        lua_setglobal(lua, name.c_str());
    }
}

void run_script(const std::string& program_folder, const std::string& prelude, const std::string& script) {
    scenario_host host{program_folder};
    auto* lua = luaL_newstate();
    *static_cast<scenario_host**>(lua_getextraspace(lua)) = &host;
    luaL_openlibs(lua);
    register_functions(lua);
    const bool failed = luaL_dofile(lua, prelude.c_str()) != 0 || luaL_dofile(lua, script.c_str()) != 0;
    const std::string error = failed ? lua_tostring(lua, -1) : "";
    lua_close(lua);
    INFO(error);
    REQUIRE_FALSE(failed);
}

/// @brief One script as a Catch2 test case, named after the script.
class script_case final : public Catch::ITestInvoker {
  public:
    script_case(std::string build_folder, std::string prelude_file, std::string script_file)
        : program_folder{std::move(build_folder)}, prelude_path{std::move(prelude_file)},
          script_path{std::move(script_file)} {}

    void invoke() const override { run_script(this->program_folder, this->prelude_path, this->script_path); }

  private:
    std::string program_folder;
    std::string prelude_path;
    std::string script_path;
};

void register_scripts(const std::string& program_folder, const std::filesystem::path& folder,
                      const std::string& prelude) {
    std::vector<std::filesystem::path> scripts;
    for (const auto& entry : std::filesystem::directory_iterator{folder}) {
        if (entry.path().extension() == ".lua" && entry.path().stem() != "lib") {
            scripts.push_back(entry.path());
        }
    }
    std::sort(scripts.begin(), scripts.end());
    for (const auto& script : scripts) {
        Catch::getMutableRegistryHub().registerTest(
            Catch::makeTestCase(new script_case{program_folder, prelude, script.string()}, "",
                                Catch::NameAndTags{script.stem().string()}, CATCH_INTERNAL_LINEINFO));
    }
}

} // namespace

} // namespace chervilturn::test

int main(int argc, char** argv) {
    chervilturn::test::register_scripts(PROGRAM_FOLDER, SCENARIO_FOLDER, SCENARIO_PRELUDE);
    return Catch::Session{}.run(argc, argv);
}
