-- A backend server restarts without a word under full load, twice: it never gets more than it bears while cold.
local f = fleet { seed = 25, data_centres = { ["capital-a"] = "capital" },
  services = { passports = { ["capital-a"] = 2 } }, slots = 6,
  service_settings = { passports = { cold_slots = 2, warm_up_answers = 50 } },
  backend = { latency_us = 5000, cold_slots = 2, warm_up_answers = 50 },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
local struck, other = f.order[1], f.order[2]
local lookup = { service = "passports", deadline_ms = 3000 }
local function warm(node) return f:backend_stats(node).warm end

f:load_until("both backend servers are warm", 15, f.order, lookup, 16, function() return warm(struck) and warm(other) end)
for round = 1, 2 do
  signal(struck.backend_pid, "KILL")
  f:load_until("the owner notices", 5, f.order, lookup, 16, function()
    return f:status(struck).owner.state == "unreachable"
  end)
  f:start_backend(struck)
  local ended = f:load_until("the backend server is warm again", 20, f.order, lookup, 16, function() return warm(struck) end)
  local stats = f:backend_stats(struck)
  check(stats.max_in_use_cold <= 2, "round " .. round .. ": at most two calls at once while cold, not " .. stats.max_in_use_cold)
  check(stats.collapses == 0, "round " .. round .. ": no collapse")
  check(#ended > 0, "calls were answered meanwhile")
end

-- It turns cold without losing a connection: the next load report gives it away, or its slow answers do.
f:backend_set(struck, "cold=1")
f:load_until("the owner holds back", 10, f.order, lookup, 16, function() return f:status(struck).owner.state ~= "warm" end)
