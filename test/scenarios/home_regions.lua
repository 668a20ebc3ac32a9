-- A call bound to home regions is served, sent and kept nowhere else.
local f = fleet { seed = 30, data_centres = { ["capital-a"] = "capital", ["coast-a"] = "coast" },
  services = { passports = { ["capital-a"] = 1, ["coast-a"] = 2 } }, slots = 1,
  workspaces = { market = {}, bureau = { home_regions = { "capital" } } },
  service_settings = { passports = { max_queue = 1 } },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
local home = f.nodes["passports-capital-a-1"]
local abroad = { f.nodes["passports-coast-a-1"], f.nodes["passports-coast-a-2"] }
local function runs_abroad() return f:total_runs(function(node) return node.data_centre == "coast-a" end) end
local bound = { service = "passports", workspace = "bureau", deadline_ms = 1500, id = "bound" }

check(f:call(home, bound).outcome == "completed", "served at home")
for _, entry in ipairs(abroad) do
  local found = f:call(entry, bound)
  check(found.outcome == "not-run" and found.reason == "outside_home_regions", "an entry abroad refuses")
  local text = http { address = address_of(entry.operators), target = "/metrics" }.body
  check(not text:find("bureau", 1, true), "no metric abroad names the workspace")
end

-- The home region is full: the calls fail rather than leave it.
local open = {}
for number = 1, 8 do
  open[#open + 1] = f:begin(home, { service = "passports", workspace = "bureau", path = "/x?ms=300", id = "full", deadline_ms = 1500 })
end
for _, number in ipairs(open) do f:finish(number) end
check(runs_abroad() == 0, "a full home region spills nothing")

-- The home region is down.
signal(home.backend_pid, "KILL")
for _ = 1, 5 do check(f:call(home, bound).outcome ~= "completed", "no answer from elsewhere") end
check(runs_abroad() == 0, "a home region that is down spills nothing")
f:start_backend(home)
f:call_until("home serves again", 10, home, bound, function(found) return found.outcome == "completed" end)

-- The binding moves abroad while a call waits at home: the owner refuses it before dispatch.
local first = f:begin(home, { service = "passports", workspace = "bureau", path = "/x?ms=2500", id = "first", deadline_ms = 8000 })
wait_until("the first call runs", 3, function() return f:runs("first") == 1 end)
local waiting = f:begin(home, { service = "passports", workspace = "bureau", id = "waiting", deadline_ms = 8000 })
wait_until("the second call waits", 2, function() return f:status(home).owner.queued == 1 end)
f:publish("teams/teranga/workspaces/bureau", { home_regions = { "coast" } })
local refused = f:finish(waiting)
check(refused.outcome == "not-run" and f:runs("waiting") == 0, "the waiting call is " .. refused.outcome)
check(f:finish(first).outcome == "completed", "the running call is finished")
for _, entry in ipairs(abroad) do
  f:call_until("the new home serves", settings_bound, entry, bound, function(found) return found.outcome == "completed" end)
end
