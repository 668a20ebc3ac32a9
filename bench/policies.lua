-- Selection policies in one run: Teranga Veau's passports service (6 backend servers of 6 slots) with 12 entries,
-- all healthy, then one backend server ten times slower, then one cold without warning. Same seeds for all.
dofile(script_folder() .. "/lib.lua")
local rate, seconds = 900, 12 -- half of what the six servers bear
local function measure_policy(policy)
  local f = fleet { seed = 77, data_centres = { ["capital-a"] = "capital" },
    services = { passports = { ["capital-a"] = 6 }, herd = { ["capital-a"] = 6 } }, slots = 6,
    service_settings = { passports = { cold_slots = 2, warm_up_answers = 20 } },
    backend = { latency_us = 20000, cold_slots = 2, warm_up_answers = 20 },
    routes = { lookup = { service = "passports", idempotent = true } }, node = { policy = policy } }
  f:start()
  local calls = { "workspace=market,path=/teranga/passports/x,deadline_ms=2000" }
  local function phase(name, seed)
    local result = load_result(run_load(callers_of(f), { rate = rate, seconds = seconds, seed = seed, calls = calls })).all
    show("%-18s %-14s %6d %8.1f %8.1f %8.1f %8.1f %8.4f %6.3f", policy, name, result.calls, result.p50_us / 1000,
      result.p90_us / 1000, result.p99_us / 1000, result.p999_us / 1000, result.on_time_share, result.attempts_per_call)
  end
  load_result(run_load(callers_of(f), { rate = 400, seconds = 5, seed = 1, calls = calls }))
  phase("healthy", 2)
  f:backend_set(f.nodes["passports-capital-a-1"], "factor=10")
  phase("one 10x slower", 3)
  f:backend_set(f.nodes["passports-capital-a-1"], "factor=1")
  load_result(run_load(callers_of(f), { rate = 400, seconds = 5, seed = 4, calls = calls }))
  f:backend_set(f.nodes["passports-capital-a-2"], "cold=1")
  phase("one cold", 5)
  for _, node in ipairs(f.order) do signal(node.pid, "KILL") signal(node.backend_pid, "KILL") end
end
show("%-18s %-14s %6s %8s %8s %8s %8s %8s %6s", "policy", "phase", "calls", "p50 ms", "p90 ms", "p99 ms", "p999 ms", "on time", "tries")
-- POLICIES="round_robin load_aware" measures only these.
for policy in (os.getenv("POLICIES") or "uniform_random round_robin least_outstanding two_choices load_aware"):gmatch("%S+") do
  measure_policy(policy)
end
