// Runs each scenario script of a folder as one Catch2 test case; the scripts are Lua.
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

scenario_host& host_of(lua_State* lua) {
    return **static_cast<scenario_host**>(lua_getextraspace(lua));
}

std::string text_field(lua_State* lua, int table, const char* name, const std::string& fallback) {
    lua_getfield(lua, table, name);
    std::string value = lua_isnil(lua, -1) ? fallback : lua_tostring(lua, -1);
    lua_pop(lua, 1);
    return value;
}

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

int lua_port(lua_State* lua) {
    lua_pushinteger(lua, host_of(lua).reserve_port());
    return 1;
}

int lua_spawn(lua_State* lua) {
    std::vector<std::string> words;
    const auto count = luaL_len(lua, 2);
    for (lua_Integer index = 1; index <= count; ++index) {
        lua_geti(lua, 2, index);
        words.emplace_back(lua_tostring(lua, -1));
        lua_pop(lua, 1);
    }
    lua_pushinteger(lua, host_of(lua).spawn(words, luaL_checkstring(lua, 1)));
    return 1;
}

int lua_signal(lua_State* lua) {
    const std::map<std::string, int> numbers{
        {"KILL", SIGKILL}, {"TERM", SIGTERM}, {"STOP", SIGSTOP}, {"CONT", SIGCONT}, {"HUP", SIGHUP}};
    host_of(lua).signal(static_cast<pid_t>(luaL_checkinteger(lua, 1)), numbers.at(luaL_checkstring(lua, 2)));
    return 0;
}

int lua_exit_code(lua_State* lua) {
    lua_pushinteger(lua, host_of(lua).exit_code(static_cast<pid_t>(luaL_checkinteger(lua, 1))));
    return 1;
}

int lua_request(lua_State* lua) {
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
    const auto where = parse_address(text_field(lua, 1, "address", "")).value();
    const std::chrono::milliseconds timeout{std::stoll(text_field(lua, 1, "timeout_ms", "10000"))};
    lua_pushinteger(lua, static_cast<lua_Integer>(host_of(lua).start_request(where, request, timeout)));
    return 1;
}

int lua_outcome(lua_State* lua) {
    const auto* outcome = host_of(lua).outcome_of(static_cast<std::uint64_t>(luaL_checkinteger(lua, 1)));
    if (outcome == nullptr) {
        return 0;
    }
    nlohmann::json shown;
    if (const auto* response = std::get_if<http_response>(outcome)) {
        shown = {
            {"status", response->status}, {"body", response->body}, {"headers", nlohmann::json::object()}};
        for (const auto& item : response->headers) {
            shown["headers"][item.name] = item.value;
        }
    } else {
        shown = {{"failure", std::string{to_string(std::get<http_failure>(*outcome))}}};
    }
    push_json(lua, shown);
    return 1;
}

int lua_pump(lua_State* lua) {
    host_of(lua).pump(std::chrono::milliseconds{luaL_checkinteger(lua, 1)});
    return 0;
}

int lua_parse(lua_State* lua) {
    push_json(lua, nlohmann::json::parse(luaL_checkstring(lua, 1), nullptr, false));
    return 1;
}

int lua_write(lua_State* lua) {
    const auto file = host_of(lua).folder() + '/' + luaL_checkstring(lua, 1);
    std::ofstream{file} << luaL_checkstring(lua, 2);
    lua_pushstring(lua, file.c_str());
    return 1;
}

int lua_folder(lua_State* lua) {
    lua_pushstring(lua, host_of(lua).folder().c_str());
    return 1;
}

int lua_script_folder(lua_State* lua) {
    lua_pushstring(lua, SCENARIO_FOLDER);
    return 1;
}

int lua_now(lua_State* lua) {
    lua_pushnumber(lua, to_seconds(monotonic_clock::now().time_since_epoch()));
    return 1;
}

int lua_wall_ms(lua_State* lua) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    lua_pushinteger(lua, std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    return 1;
}

int lua_check(lua_State* lua) {
    INFO(luaL_checkstring(lua, 2));
    CHECK(lua_toboolean(lua, 1) == 1);
    return 0;
}

void register_functions(lua_State* lua) {
    const std::map<std::string, lua_CFunction> functions{
        {"port", lua_port},        {"spawn", lua_spawn},
        {"signal", lua_signal},    {"exit_code", lua_exit_code},
        {"request", lua_request},  {"outcome", lua_outcome},
        {"pump", lua_pump},        {"parse", lua_parse},
        {"write_file", lua_write}, {"now", lua_now},
        {"check", lua_check},      {"wall_ms", lua_wall_ms},
        {"folder", lua_folder},    {"script_folder", lua_script_folder}};
    for (const auto& [name, function] : functions) {
        lua_pushcfunction(lua, function);
        lua_setglobal(lua, name.c_str());
    }
}

void run_script(const std::string& programs, const std::string& prelude, const std::string& script) {
    scenario_host host{programs};
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

class script_case final : public Catch::ITestInvoker {
  public:
    script_case(std::string built, std::string common, std::string file)
        : programs{std::move(built)}, prelude{std::move(common)}, script{std::move(file)} {}

    void invoke() const override { run_script(this->programs, this->prelude, this->script); }

  private:
    std::string programs;
    std::string prelude;
    std::string script;
};

void register_scripts(const std::string& programs, const std::filesystem::path& folder,
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
            Catch::makeTestCase(new script_case{programs, prelude, script.string()}, "",
                                Catch::NameAndTags{script.stem().string()}, CATCH_INTERNAL_LINEINFO));
    }
}

} // namespace

} // namespace chervilturn::test

int main(int count, char** values) {
    chervilturn::test::register_scripts(PROGRAM_FOLDER, SCENARIO_FOLDER, SCENARIO_PRELUDE);
    return Catch::Session{}.run(count, values);
}
