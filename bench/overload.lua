-- Goodput under overload. Three backend servers can serve 900 calls a second together; a quiet and a noisy workspace
-- send up to three times as many.
dofile(script_folder() .. "/lib.lua")
local f = fleet { seed = 79, data_centres = { ["capital-a"] = "capital" },
  services = { passports = { ["capital-a"] = 3 } },
  slots = 6, workspaces = { quiet = {}, noisy = {} },
  service_settings = { passports = { cold_slots = 6 } }, backend_options = { latency_us = 20000, cold_slots = 6 },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
printf("%-10s %-8s %8s %10s %8s %8s %8s", "offered/s", "series", "calls", "goodput/s", "on time", "p99 ms", "tries")
for _, rate in ipairs { 450, 900, 1800, 2700 } do
  local result = wait_for_load(start_load(caller_addresses(f), { rate = rate, seconds = 6, seed = rate, calls = {
    "workspace=quiet,path=/teranga/passports/x,deadline_ms=500,weight=150",
    "workspace=noisy,path=/teranga/passports/x,deadline_ms=500,weight=" .. rate - 150 } }))
  for _, name in ipairs { "quiet", "noisy" } do
    local series = result.series[name]
    printf("%-10d %-8s %8d %10.0f %8.3f %8.1f %8.2f", rate, name, series.calls, series.goodput_per_second,
      series.on_time_share, series.p99_us / 1000, series.attempts_per_call)
  end
end
