-- Compares selection policies in one run, with the same seeds for each. A fleet like that of the team Teranga Veau: the
-- service passports (6 backend servers of 6 slots) and 12 entries. Phases: all backend servers healthy; one ten times
-- slower; one turned cold while its connections stay open.
dofile(script_folder() .. "/lib.lua")
local rate, seconds = 900, 12 -- calls a second, half of what the six servers can serve
local function measure_policy(policy)
  local f = fleet { seed = 77, data_centres = { ["capital-a"] = "capital" },
    services = { passports = { ["capital-a"] = 6 }, herd = { ["capital-a"] = 6 } }, slots = 6,
    service_settings = { passports = { cold_slots = 2, warm_up_answers = 20 } },
    backend_options = { latency_us = 20000, cold_slots = 2, warm_up_answers = 20 },
    routes = { lookup = { service = "passports", idempotent = true } }, node_settings = { policy = policy } }
  f:start()
  local calls = { "workspace=market,path=/teranga/passports/x,deadline_ms=2000" }
  local function run_phase(name, seed)
    local result = wait_for_load(start_load(caller_addresses(f),
      { rate = rate, seconds = seconds, seed = seed, calls = calls })).all
    printf("%-18s %-14s %6d %8.1f %8.1f %8.1f %8.1f %8.4f %6.3f", policy, name, result.calls, result.p50_us / 1000,
      result.p90_us / 1000, result.p99_us / 1000, result.p999_us / 1000, result.on_time_share, result.attempts_per_call)
  end
  wait_for_load(start_load(caller_addresses(f), { rate = 400, seconds = 5, seed = 1, calls = calls }))
  run_phase("healthy", 2)
  f:set_backend(f.nodes["passports-capital-a-1"], "factor=10")
  run_phase("one 10x slower", 3)
  f:set_backend(f.nodes["passports-capital-a-1"], "factor=1")
  wait_for_load(start_load(caller_addresses(f), { rate = 400, seconds = 5, seed = 4, calls = calls }))
  f:set_backend(f.nodes["passports-capital-a-2"], "cold=1")
  run_phase("one cold", 5)
  for _, node in ipairs(f.node_list) do signal(node.pid, "KILL") signal(node.backend_pid, "KILL") end
end
printf("%-18s %-14s %6s %8s %8s %8s %8s %8s %6s", "policy", "phase", "calls", "p50 ms", "p90 ms", "p99 ms",
  "p999 ms", "on time", "tries")
-- The environment variable POLICIES limits the run to the policies it names, separated by spaces.
for policy in (os.getenv("POLICIES") or
  "uniform_random round_robin least_outstanding two_choices load_aware"):gmatch("%S+") do
  measure_policy(policy)
end
