-- A node reloads its settings file on SIGHUP and when the file changes. An invalid file changes nothing. Calls are
-- served during all of this.
local f = fleet { seed = 33, data_centres = { ["capital-a"] = "capital" },
  services = { passports = { ["capital-a"] = 1 } },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
local node = f.nodes["passports-capital-a-1"]

local function call_is_served() return f:call(node, { service = "passports" }).outcome == "completed" end

check(f:call(node, { service = "passports" }).outcome == "completed", "calls are served before the first reload")

-- Reload by signal.
f:write_settings(node, { log_level = "debug" })
signal(node.pid, "HUP")
wait_until("the settings are reloaded", few_seconds, function()
  return f:log_line_count(node, "event=settings_reloaded") >= 1
end)
check(f:log_line_count(node, "event=settings_reloaded", "needs_restart=no") >= 1, "no changed setting needs a restart")

-- Reload of an invalid file.
write_file(node.name .. ".json", "{ \"host\": 7,")
signal(node.pid, "HUP")
wait_until("the failed reload is logged", few_seconds, function()
  return f:log_line_count(node, "event=settings_reload_failed") >= 1
end)
check(call_is_served(), "calls are served after the failed reload")
check(exit_code(node.pid) == -1000, "the node still runs")

-- Reload because the file changed. The log says that the changed setting needs a restart.
f:write_settings(node, { policy = "round_robin" })
wait_until("the changed file is reloaded", few_seconds, function()
  return f:log_line_count(node, "event=settings_reloaded", "needs_restart=yes") >= 1
end)
check(call_is_served(), "calls are served after the reload")
