-- A host that the host list shows as leaving gets no new calls after a few seconds. Publishing live and leaving in
-- quick succession does no harm.
local f = fleet { seed = 29, data_centres = { ["capital-a"] = "capital" },
  services = { passports = { ["capital-a"] = 2 } },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
local leaving_node, other_node = f.node_list[1], f.node_list[2]
local lookup = { service = "passports", deadline_ms = 2000 }

-- Both backend servers are warm before the change, so that calls go to both.
f:load_until_warm(lookup)
f:publish_host(leaving_node, "leaving")
local changed_at = now()
f:load_until("a few seconds passed", few_seconds + 1, f.node_list, lookup, 16, function()
  return now() > changed_at + few_seconds
end)
local run_count = f:backend_stats(leaving_node).total_runs
local responses = f:load_until("one more second passed", 5, f.node_list, lookup, 16, function()
  return now() > changed_at + few_seconds + 1
end)
check(f:backend_stats(leaving_node).total_runs == run_count, "no call runs at the leaving host after a few seconds")
for _, response in ipairs(responses) do
  check(response.outcome == "completed", "calls are served by the other host: " .. response.outcome)
end

-- The host is published as live, leaving and live without a pause. The last state applies.
f:publish_host(leaving_node, "live")
f:publish_host(leaving_node, "leaving")
f:publish_host(leaving_node, "live")
f:load_until("calls run at the host again", settings_timeout, f.node_list, lookup, 4, function()
  return f:backend_stats(leaving_node).total_runs > run_count
end)

-- The backend server drains: its owner sends it no calls after a few seconds, although the host list shows the host
-- as live.
f:set_backend(leaving_node, "drain=1")
changed_at = now()
f:load_until("a few seconds passed", few_seconds + 1, f.node_list, lookup, 4, function()
  return now() > changed_at + few_seconds
end)
local shed_count = f:backend_stats(leaving_node).shed
f:load_until("one more second passed", 5, f.node_list, lookup, 4, function()
  return now() > changed_at + few_seconds + 1
end)
check(f:backend_stats(leaving_node).shed == shed_count,
  "no call reaches the draining backend server after a few seconds")
