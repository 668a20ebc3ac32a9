-- A backend server says in its responses that it is leaving, while all settings list it as ready. No further call
-- reaches it, also after a restart of the owner's node, until it no longer says so.
local f = fleet { seed = 32, data_centres = { ["capital-a"] = "capital" },
  services = { passports = { ["capital-a"] = 2 } },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
local leaving_node, other_node = f.node_list[1], f.node_list[2]
local lookup = { service = "passports", deadline_ms = 2000 }

f:load_until_warm(lookup)

f:set_backend(leaving_node, "leaving=1")
f:load_until("the owner knows that its backend server is leaving", few_seconds, f.node_list, lookup, 16, function()
  return f:metric(leaving_node, "server_leaving") == 1
end)
f:load_until("running calls ended", few_seconds, f.node_list, lookup, 16, function()
  return f:backend_stats(leaving_node).in_use == 0
end)
f:backend_stats(leaving_node) -- a call on its way to the backend server is counted before the next answer
local left_runs = f:backend_stats(leaving_node).total_runs
signal(leaving_node.pid, "KILL")
f:start_node(leaving_node)
f:load_until("the owner's node is back", start_timeout, { other_node }, lookup, 16, function()
  local status = f:status(leaving_node)
  return status and not status.owner.beliefs_in_doubt and f:metric(leaving_node, "server_leaving") == 1
end)
local restarted_at = now()
local responses = f:load_until("1 s passed", few_seconds, f.node_list, lookup, 16, function()
  return now() > restarted_at + 1
end)
check(f:backend_stats(leaving_node).total_runs == left_runs, "no call reaches the leaving backend server")
for _, response in ipairs(responses) do
  check(response.outcome == "completed", "calls are served by the other backend server: " .. response.outcome)
end

-- It stays after all.
f:set_backend(leaving_node, "leaving=0")
f:load_until("the backend server gets calls again", 15, f.node_list, lookup, 4, function()
  return f:backend_stats(leaving_node).total_runs > left_runs
end)
