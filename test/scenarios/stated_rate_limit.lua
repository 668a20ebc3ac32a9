-- A backend server states how many calls a second it can take. Its owner keeps to that, also after a restart of the
-- owner's node, until the backend server no longer says so.
local f = fleet { seed = 31, data_centres = { ["capital-a"] = "capital" },
  services = { passports = { ["capital-a"] = 2 } },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
local limited_node, other_node = f.node_list[1], f.node_list[2]
local lookup = { service = "passports", deadline_ms = 2000 }
local rate = 5
local burst = 1 -- calls that may start at once under the limit

f:load_until_warm(lookup)

-- Runs of the limited backend server while both nodes, or one, pass on load for some seconds.
local function runs_under_load(entries, seconds)
  f:backend_stats(limited_node) -- a call on its way to the backend server is counted before the next answer
  local started_at = now()
  local runs_before = f:backend_stats(limited_node).total_runs
  f:load_until(seconds .. " s passed", seconds + 3, entries, lookup, 16, function()
    return now() > started_at + seconds
  end)
  return f:backend_stats(limited_node).total_runs - runs_before, now() - started_at
end

f:set_backend(limited_node, "rate=" .. rate)
f:load_until("the owner knows the limit", few_seconds, f.node_list, lookup, 16, function()
  return f:metric(limited_node, "server_rate_limit") == rate
end)
local runs, duration = runs_under_load(f.node_list, 4)
check(runs <= rate * duration + burst, "the backend server gets no more calls than it stated, not " .. runs)
check(runs > 0, "the limited backend server still gets calls")

-- The owner's node is killed and starts again while the other node goes on.
signal(limited_node.pid, "KILL")
f:start_node(limited_node)
f:load_until("the owner takes calls again", start_timeout, { other_node }, lookup, 16, function()
  return f:metric(limited_node, "server_rate_limit") == rate
end)
local restarted_at = now()
local stats_before = f:backend_stats(limited_node).total_runs
f:load_until("4 s passed", 7, { other_node }, lookup, 16, function() return now() > restarted_at + 4 end)
runs = f:backend_stats(limited_node).total_runs - stats_before
check(runs <= rate * (now() - restarted_at) + burst, "the limit holds after a restart of the node, not " .. runs)

-- A limit below one call a second, and one of zero.
f:set_backend(limited_node, "rate=0.5")
f:load_until("the owner knows the lower limit", few_seconds, f.node_list, lookup, 16, function()
  return f:metric(limited_node, "server_rate_limit") == 0.5
end)
runs, duration = runs_under_load(f.node_list, 3)
check(runs <= 0.5 * duration + burst, "one call in two seconds, not " .. runs)
f:set_backend(limited_node, "rate=0")
f:load_until("the owner knows the limit of zero", few_seconds, f.node_list, lookup, 16, function()
  return f:metric(limited_node, "server_rate_limit") == 0
end)
runs = runs_under_load(f.node_list, 2)
check(runs == 0, "no call while the limit is zero, not " .. runs)

-- Without a limit the backend server gets its share again.
f:set_backend(limited_node, "rate=")
local runs_at_end = f:backend_stats(limited_node).total_runs
f:load_until("the backend server gets calls without a limit", 10, f.node_list, lookup, 16, function()
  return f:backend_stats(limited_node).total_runs > runs_at_end + 100
end)
