-- A data centre taken out gets no new work after a few seconds: with the platform down right after the change, a
-- node paused through it, and a node restarted on a stale platform. On its return load comes back.
local f = fleet { seed = 27, data_centres = { ["capital-a"] = "capital", ["capital-b"] = "capital" },
  services = { passports = { ["capital-a"] = 2, ["capital-b"] = 2 } },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
local lookup = { service = "passports", deadline_ms = 2000 }
local function inside(node) return node.data_centre == "capital-a" end
local paused, restarted = f.nodes["passports-capital-a-1"], f.nodes["passports-capital-b-1"]
for _, node in ipairs(f.order) do check(f:call(node, lookup).outcome == "completed", "the path works") end

signal(paused.pid, "STOP")
f:publish_data_centre("capital-a", "out")
local changed = now()
local runs_at_bound
local entries = { f.nodes["passports-capital-a-2"], f.nodes["passports-capital-b-1"], f.nodes["passports-capital-b-2"] }
f:load_until("a few seconds passed", few_seconds + 1, entries, lookup, 6, function() return now() > changed + few_seconds end)
f:platform_mode("down")
runs_at_bound = f:total_runs(inside)
local after = f:load_until("one more second passed", 5, entries, lookup, 6, function() return now() > changed + few_seconds + 1 end)
check(f:total_runs(inside) == runs_at_bound, "no new work in the data centre after a few seconds")
for _, found in ipairs(after) do check(found.outcome == "completed", "calls go on elsewhere: " .. found.outcome) end

-- The paused node wakes and believes that it is in service until it has compared with its peers.
signal(paused.pid, "CONT")
local woke = now()
f:load_until("the woken node was asked for a while", 5, { paused }, lookup, 6, function() return now() > woke + 1 end)
check(f:total_runs(inside) == runs_at_bound, "the woken node dispatches nothing in the data centre")

-- A node that restarts on a stale platform learns of the change from its peers before it serves.
f:platform_mode("up")
f:publish_data_centre("capital-a", "in")
wait_until("the data centre serves again", settings_bound, function()
  f:call(f.nodes["passports-capital-a-2"], lookup)
  return f:total_runs(inside) > runs_at_bound
end)
f:platform_mode("snapshot")
f:publish_data_centre("capital-a", "out")
wait_until("the change is in force", settings_bound, function()
  for _, node in ipairs(f.order) do
    local page = http { address = address_of(node.operators),
      target = "/explain?team=teranga&workspace=market&service=passports&path=/" }
    if not page.body:find("data_centre_out", 1, true) then return false end
  end
  return true
end)
f:platform_mode("stale")
local stale = f.nodes["passports-capital-a-2"]
signal(stale.pid, "KILL")
wait_until("the node is gone", 5, function() return exit_code(stale.pid) ~= -1000 end)
runs_at_bound = f:total_runs(inside)
f:start_node(stale)
f:wait_ready(stale)
local ready = now()
f:load_until("the restarted node was asked for a while", 5, { stale, restarted }, lookup, 6, function() return now() > ready + 1 end)
check(f:total_runs(inside) == runs_at_bound, "the restarted node dispatches nothing in the data centre")
