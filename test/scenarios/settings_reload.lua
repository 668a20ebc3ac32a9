-- A node reads its settings file again on SIGHUP and when the file changes; a faulty file changes nothing, and
-- calls go on all the while.
local f = fleet { seed = 33, data_centres = { ["capital-a"] = "capital" },
  services = { passports = { ["capital-a"] = 1 } },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
local node = f.nodes["passports-capital-a-1"]

local function served() return f:call(node, { service = "passports" }).outcome == "completed" end

check(f:call(node, { service = "passports" }).outcome == "completed", "the path works")

-- By signal.
f:write_settings(node, { log_level = "debug" })
signal(node.pid, "HUP")
wait_until("the settings are read", few_seconds, function() return f:log_lines(node, "event=settings_reloaded") >= 1 end)
check(f:log_lines(node, "event=settings_reloaded", "needs_restart=no") >= 1, "nothing needs a restart")

-- A fault changes nothing.
write_file(node.name .. ".json", "{ \"host\": 7,")
signal(node.pid, "HUP")
wait_until("the fault is logged", few_seconds, function()
  return f:log_lines(node, "event=settings_reload_failed") >= 1
end)
check(served(), "calls go on with a faulty file")
check(exit_code(node.pid) == -1000, "the node runs")

-- By a change of the file alone; what needs a restart is said.
f:write_settings(node, { policy = "round_robin" })
wait_until("the change is noticed", few_seconds, function()
  return f:log_lines(node, "event=settings_reloaded", "needs_restart=yes") >= 1
end)
check(served(), "calls go on after it")
