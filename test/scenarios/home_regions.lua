-- Calls of a workspace with home regions run only there, and nodes in other regions don't name the workspace in their
-- metrics.
local f = fleet { seed = 30, data_centres = { ["capital-a"] = "capital", ["coast-a"] = "coast" },
  services = { passports = { ["capital-a"] = 1, ["coast-a"] = 2 } }, slots = 1,
  workspaces = { market = {}, bureau = { home_regions = { "capital" } } },
  service_settings = { passports = { max_queue = 1 } },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
local home_node = f.nodes["passports-capital-a-1"]
local outside_entries = { f.nodes["passports-coast-a-1"], f.nodes["passports-coast-a-2"] }
local function runs_outside() return f:run_count_where(function(node) return node.data_centre == "coast-a" end) end
local bound_call = { service = "passports", workspace = "bureau", deadline_ms = 1500, id = "bound" }

check(f:call(home_node, bound_call).outcome == "completed", "an entry in the home region serves the call")
for _, entry in ipairs(outside_entries) do
  local response = f:call(entry, bound_call)
  check(response.outcome == "not-run" and response.reason == "outside_home_regions",
    "an entry outside the home region refuses the call")
  local text = http { address = address_of(entry.operator_port), target = "/metrics" }.body
  check(not text:find("bureau", 1, true), "no metric outside the home region names the workspace")
end

-- The home region is full: its calls fail and are not sent to another region.
local open_calls = {}
for number = 1, 8 do
  open_calls[#open_calls + 1] = f:start_call(home_node,
    { service = "passports", workspace = "bureau", path = "/x?ms=300", id = "full", deadline_ms = 1500 })
end
for _, number in ipairs(open_calls) do f:wait_for_response(number) end
check(runs_outside() == 0, "no call runs outside a full home region")

-- The backend server in the home region is down.
signal(home_node.backend_pid, "KILL")
for _ = 1, 5 do
  check(f:call(home_node, bound_call).outcome ~= "completed", "no call is completed while the home region is down")
end
check(runs_outside() == 0, "no call runs outside a home region that is down")
f:start_backend(home_node)
f:call_until("the home region serves calls again", 10, home_node, bound_call, function(response)
  return response.outcome == "completed"
end)

-- The home region changes while a call waits in the old one: the owner refuses the call before its dispatch.
local first_call = f:start_call(home_node, { service = "passports", workspace = "bureau", path = "/x?ms=2500",
  id = "first", deadline_ms = 8000 })
wait_until("the first call runs", 3, function() return f:run_count("first") == 1 end)
local waiting_call = f:start_call(home_node, { service = "passports", workspace = "bureau", id = "waiting",
  deadline_ms = 8000 })
wait_until("the second call waits in the queue of its owner", 2, function()
  return f:status(home_node).owner.queued == 1
end)
f:publish("teams/teranga/workspaces/bureau", { home_regions = { "coast" } })
local refused_response = f:wait_for_response(waiting_call)
check(refused_response.outcome == "not-run" and f:run_count("waiting") == 0,
  "the waiting call is " .. refused_response.outcome)
check(f:wait_for_response(first_call).outcome == "completed", "the running call is completed")
for _, entry in ipairs(outside_entries) do
  f:call_until("the new home region serves calls", settings_timeout, entry, bound_call, function(response)
    return response.outcome == "completed"
  end)
end
