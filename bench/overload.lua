-- Goodput under overload: three backend servers that bear 900 calls a second together, offered up to three times that
-- by a quiet and a noisy workspace.
dofile(script_folder() .. "/lib.lua")
local f = fleet { seed = 79, data_centres = { ["capital-a"] = "capital" }, services = { passports = { ["capital-a"] = 3 } },
  slots = 6, workspaces = { quiet = {}, noisy = {} },
  service_settings = { passports = { cold_slots = 6 } }, backend = { latency_us = 20000, cold_slots = 6 },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
show("%-10s %-8s %8s %10s %8s %8s %8s", "offered/s", "series", "calls", "goodput/s", "on time", "p99 ms", "tries")
for _, rate in ipairs { 450, 900, 1800, 2700 } do
  local result = load_result(run_load(callers_of(f), { rate = rate, seconds = 6, seed = rate, calls = {
    "workspace=quiet,path=/teranga/passports/x,deadline_ms=500,weight=150",
    "workspace=noisy,path=/teranga/passports/x,deadline_ms=500,weight=" .. rate - 150 } }))
  for _, name in ipairs { "quiet", "noisy" } do
    local series = result.series[name]
    show("%-10d %-8s %8d %10.0f %8.3f %8.1f %8.2f", rate, name, series.calls, series.goodput_per_second, series.on_time_share,
      series.p99_us / 1000, series.attempts_per_call)
  end
end
