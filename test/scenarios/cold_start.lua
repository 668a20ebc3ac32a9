-- A backend server is killed and restarted under full load, twice. While it is cold, its owner never sends it more
-- concurrent calls than cold_slots.
local f = fleet { seed = 25, data_centres = { ["capital-a"] = "capital" },
  services = { passports = { ["capital-a"] = 2 } }, slots = 6,
  service_settings = { passports = { cold_slots = 2, warm_up_answers = 50 } },
  backend_options = { latency_us = 5000, cold_slots = 2, warm_up_answers = 50 },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
local affected_node, other_node = f.node_list[1], f.node_list[2]
local lookup = { service = "passports", deadline_ms = 3000 }
local function is_warm(node) return f:backend_stats(node).warm end

f:load_until("both backend servers are warm", 15, f.node_list, lookup, 16, function()
  return is_warm(affected_node) and is_warm(other_node)
end)
for round = 1, 2 do
  signal(affected_node.backend_pid, "KILL")
  f:load_until("the owner reports its backend server as unreachable", 5, f.node_list, lookup, 16, function()
    return f:status(affected_node).owner.state == "unreachable"
  end)
  f:start_backend(affected_node)
  local responses = f:load_until("the backend server is warm again", 20, f.node_list, lookup, 16, function()
    return is_warm(affected_node)
  end)
  local stats = f:backend_stats(affected_node)
  check(stats.max_in_use_cold <= 2,
    "round " .. round .. ": at most two concurrent calls while cold, not " .. stats.max_in_use_cold)
  check(stats.collapses == 0, "round " .. round .. ": the cold backend server does not collapse")
  check(#responses > 0, "calls were answered during the restart")
end

-- The backend server turns cold while its connections stay open. The owner detects it by the next load report or
-- by slow answers.
f:set_backend(affected_node, "cold=1")
f:load_until("the owner no longer regards its backend server as warm", 10, f.node_list, lookup, 16, function()
  return f:status(affected_node).owner.state ~= "warm"
end)
