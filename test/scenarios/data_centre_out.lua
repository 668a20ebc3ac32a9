-- A data centre that is taken out of service gets no new calls after a few seconds. That also holds while the platform
-- is down after the change, for a node that was paused during the change, and for a node that restarts while the
-- platform serves stale settings. When the data centre is back in service, it gets calls again.
local f = fleet { seed = 27, data_centres = { ["capital-a"] = "capital", ["capital-b"] = "capital" },
  services = { passports = { ["capital-a"] = 2, ["capital-b"] = 2 } },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
local lookup = { service = "passports", deadline_ms = 2000 }
local function in_capital_a(node) return node.data_centre == "capital-a" end
local paused_node, other_node = f.nodes["passports-capital-a-1"], f.nodes["passports-capital-b-1"]
for _, node in ipairs(f.node_list) do
  check(f:call(node, lookup).outcome == "completed", "calls are served before the change")
end

signal(paused_node.pid, "STOP")
f:publish_data_centre("capital-a", "out")
local changed_at = now()
local runs_at_limit
local entries = { f.nodes["passports-capital-a-2"], f.nodes["passports-capital-b-1"], f.nodes["passports-capital-b-2"] }
f:load_until("a few seconds passed", few_seconds + 1, entries, lookup, 6, function()
  return now() > changed_at + few_seconds
end)
f:set_platform_mode("down")
runs_at_limit = f:run_count_where(in_capital_a)
local late_responses = f:load_until("one more second passed", 5, entries, lookup, 6, function()
  return now() > changed_at + few_seconds + 1
end)
check(f:run_count_where(in_capital_a) == runs_at_limit, "no call runs in the data centre after a few seconds")
for _, response in ipairs(late_responses) do
  check(response.outcome == "completed", "calls are served in the other data centre: " .. response.outcome)
end

-- The paused node continues. Its settings say that its data centre is in service until it has compared their revision
-- with its peers.
signal(paused_node.pid, "CONT")
local continued_at = now()
f:load_until("the continued node got calls for one second", 5, { paused_node }, lookup, 6, function()
  return now() > continued_at + 1
end)
check(f:run_count_where(in_capital_a) == runs_at_limit, "the continued node dispatches no call in the data centre")

-- A node restarts while the platform serves stale settings. It gets the change from its peers before it serves calls.
f:set_platform_mode("up")
f:publish_data_centre("capital-a", "in")
wait_until("calls run in the data centre again", settings_timeout, function()
  f:call(f.nodes["passports-capital-a-2"], lookup)
  return f:run_count_where(in_capital_a) > runs_at_limit
end)
f:set_platform_mode("snapshot")
f:publish_data_centre("capital-a", "out")
wait_until("the change is in force at all nodes", settings_timeout, function()
  for _, node in ipairs(f.node_list) do
    local explanation = http { address = address_of(node.operator_port),
      target = "/explain?team=teranga&workspace=market&service=passports&path=/" }
    if not explanation.body:find("data_centre_out", 1, true) then return false end
  end
  return true
end)
f:set_platform_mode("stale")
local restarted_node = f.nodes["passports-capital-a-2"]
signal(restarted_node.pid, "KILL")
wait_until("the killed node has ended", 5, function() return exit_code(restarted_node.pid) ~= -1000 end)
runs_at_limit = f:run_count_where(in_capital_a)
f:start_node(restarted_node)
f:wait_until_ready(restarted_node)
local ready_at = now()
f:load_until("the restarted node got calls for one second", 5, { restarted_node, other_node }, lookup, 6, function()
  return now() > ready_at + 1
end)
check(f:run_count_where(in_capital_a) == runs_at_limit, "the restarted node dispatches no call in the data centre")
