-- Service while a data centre is taken out and brought back, in a fleet like that of the team Pacific Newsdesk: the
-- service digests with 6 backend servers of 12 slots, in three regions with two data centres each. Prints the share of
-- calls that were answered in time, for each second.
dofile(script_folder() .. "/lib.lua")
local data_centre_regions = {
  ["main-a"] = "main", ["main-b"] = "main", ["north-a"] = "north", ["north-b"] = "north",
  ["south-a"] = "south", ["south-b"] = "south" }
local node_counts = {}
for name in pairs(data_centre_regions) do node_counts[name] = 1 end
local f = fleet { seed = 78, data_centres = data_centre_regions, services = { digests = node_counts }, slots = 12,
  service_settings = { digests = { cold_slots = 4, warm_up_answers = 20 } },
  backend_options = { latency_us = 40000, cold_slots = 4, warm_up_answers = 20 },
  routes = { browse = { service = "digests", idempotent = true } } }
f:start()
local moved_node = f.nodes["digests-main-a-1"]
local calls = { "workspace=market,path=/teranga/digests/x,deadline_ms=1000" }
wait_for_load(start_load(caller_addresses(f), { rate = 400, seconds = 6, seed = 1, calls = calls }))
local rate = 0.6 * 5 * 12 / 0.040 -- 60% of the capacity of the five data centres that remain
local load_run = start_load(caller_addresses(f), { rate = rate, seconds = 24, seed = 2, calls = calls })
local start = now()
wait_until("the load has run for 6 s", 10, function() return now() > start + 6 end)
f:publish_data_centre("main-a", "out")
local out_at = now()
wait_until("the data centre has been out for 3 s", 10, function() return now() > out_at + 3 end)
local runs_before = f:backend_stats(moved_node).total_runs
wait_until("the data centre has been out for 8 s", 15, function() return now() > out_at + 8 end)
printf("new work in the data centre from 3 s to 8 s after it was taken out: %d calls",
  f:backend_stats(moved_node).total_runs - runs_before)
f:publish_data_centre("main-a", "in")
local result = wait_for_load(load_run)
local share_texts = {}
for second, share in ipairs(result.on_time_share_by_second) do
  share_texts[#share_texts + 1] = string.format("%.3f", share)
end
printf("rate %d/s; out at 6 s, in again at 14 s; share on time by second: %s", rate, table.concat(share_texts, " "))
printf("all: p50 %.1f ms, p99 %.1f ms, p999 %.1f ms, attempts a call %.3f, on time %.4f, collapses %d",
  result.all.p50_us / 1000, result.all.p99_us / 1000, result.all.p999_us / 1000, result.all.attempts_per_call,
  result.all.on_time_share, f:backend_stats(moved_node).collapses)
