-- Service while a data centre leaves and returns, in Pacific Newsdesk's shape: digests, 6 backend servers of 12 slots
-- in three regions of two data centres. Prints the share of calls on time in each second.
dofile(script_folder() .. "/lib.lua")
local places = { ["main-a"] = "main", ["main-b"] = "main", ["north-a"] = "north", ["north-b"] = "north", ["south-a"] = "south", ["south-b"] = "south" }
local counts = {}
for name in pairs(places) do counts[name] = 1 end
local f = fleet { seed = 78, data_centres = places, services = { digests = counts }, slots = 12,
  service_settings = { digests = { cold_slots = 4, warm_up_answers = 20 } },
  backend = { latency_us = 40000, cold_slots = 4, warm_up_answers = 20 },
  routes = { browse = { service = "digests", idempotent = true } } }
f:start()
local leaving = f.nodes["digests-main-a-1"]
local calls = { "workspace=market,path=/teranga/digests/x,deadline_ms=1000" }
load_result(run_load(callers_of(f), { rate = 400, seconds = 6, seed = 1, calls = calls }))
local rate = 0.6 * 5 * 12 / 0.040 -- 60% of what remains
local run = run_load(callers_of(f), { rate = rate, seconds = 24, seed = 2, calls = calls })
local start = now()
wait_until("the load is steady", 10, function() return now() > start + 6 end)
f:publish_data_centre("main-a", "out")
local out_at = now()
wait_until("three seconds passed", 10, function() return now() > out_at + 3 end)
local runs = f:backend_stats(leaving).total_runs
wait_until("the data centre was out for a while", 15, function() return now() > out_at + 8 end)
show("new work in the data centre from 3 s to 8 s after it was taken out: %d calls", f:backend_stats(leaving).total_runs - runs)
f:publish_data_centre("main-a", "in")
local result = load_result(run)
local shares = {}
for second, share in ipairs(result.on_time_share_by_second) do shares[#shares + 1] = string.format("%.3f", share) end
show("rate %d/s; out at 6 s, in again at 14 s; share on time by second: %s", rate, table.concat(shares, " "))
show("all: p50 %.1f ms, p99 %.1f ms, p999 %.1f ms, attempts a call %.3f, on time %.4f, collapses %d", result.all.p50_us / 1000,
  result.all.p99_us / 1000, result.all.p999_us / 1000, result.all.attempts_per_call, result.all.on_time_share,
  f:backend_stats(leaving).collapses)
