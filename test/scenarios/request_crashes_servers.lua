-- A request that crashes each backend server that runs it is held at every node after the third crash; requests that
-- ran beside it are served.
local f = fleet { seed = 44, data_centres = { ["capital-a"] = "capital", ["coast-a"] = "coast" },
  services = { passports = { ["capital-a"] = 4, ["coast-a"] = 3 } },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
local crashes = 0
local function deadly_call(entry)
  return f:call(entry, { service = "passports", path = "/x?crash=1", body = "deadly", deadline_ms = 3000 })
end
local function held_everywhere(count)
  for _, node in ipairs(f.node_list) do
    if f:metric(node, "requests_held") ~= count then return false end
  end
  return true
end

-- Calls that run beside the deadly one, at all servers.
local companions = {}
for index = 1, 5 do
  companions[index] = f:start_call(f.node_list[index % #f.node_list + 1],
    { service = "passports", path = "/slow?ms=1000", body = "companion " .. index, deadline_ms = 8000 })
end
wait_until("all companions run", few_seconds, function()
  return f:run_count_where(function() return true end) >= #companions
end)
local entry = 0
wait_until("the request is held everywhere", settings_timeout, function()
  entry = entry % #f.node_list + 1
  deadly_call(f.node_list[entry])
  crashes = crashes + f:restart_ended_backends()
  return held_everywhere(1)
end)
check(crashes >= 3, "no request is held before it crashed three servers: " .. crashes)
check(crashes <= 6, "three crashes, and three at most after them: " .. crashes)

-- From now on it ends nothing, wherever it comes; the caller is told so at once, without a time to try again.
local crashes_before = crashes
for _, node in ipairs(f.node_list) do
  local response = deadly_call(node)
  check(response.status == 502 and response.reason == "request_held",
    "the held request is refused: " .. tostring(response.status) .. " " .. tostring(response.reason))
  check((response.headers or {})["retry-after"] == nil, "no invitation to try again")
end
crashes = crashes + f:restart_ended_backends()
check(crashes == crashes_before, "no further server has crashed")

-- A node that restarts learns it from its peers.
local restarted = f.node_list[2]
signal(restarted.pid, "KILL")
wait_until("the node has ended", few_seconds, function() return exit_code(restarted.pid) ~= -1000 end)
f:start_node(restarted)
f:wait_until_ready(restarted)
wait_until("the restarted node holds the request", few_seconds, function()
  return f:metric(restarted, "requests_held") == 1
end)

-- The companions and others like the deadly request are served.
for index = 1, 5 do
  f:call_until("the companion is served", 10, f.node_list[index % #f.node_list + 1],
    { service = "passports", path = "/slow?ms=1", body = "companion " .. index, deadline_ms = 3000 },
    function(response) return response.status == 200 end)
end
f:call_until("another body is served", 10, f.node_list[1],
  { service = "passports", path = "/x", body = "deadly", deadline_ms = 3000 },
  function(response) return response.status == 200 end)

-- An operator lets it run again.
local held = f:status(f.node_list[1]).crashes.held
check(#held == 1 and held[1].crashes >= 3, "the status page shows the held request")
http { method = "POST", address = address_of(f.node_list[1].operator_port),
  target = "/release?fingerprint=" .. held[1].fingerprint }
wait_until("it is released everywhere", few_seconds, function() return held_everywhere(0) end)
