-- Latency that nodes add to a call: directly to the backend server, through one node, and through two nodes, in one
-- run, at rising rates.
dofile(script_folder() .. "/lib.lua")
local f = fleet { seed = 5, data_centres = { ["capital-a"] = "capital" },
  services = { passports = { ["capital-a"] = 1 }, herd = { ["capital-a"] = 1 } }, slots = 64,
  service_settings = { passports = { cold_slots = 64 }, herd = { cold_slots = 64 } },
  backend_options = { latency_us = 500, cold_slots = 64 },
  routes = { lookup = { service = "passports", idempotent = true }, herd = { service = "herd", idempotent = true } } }
f:start()
local owner, other_entry = f.nodes["passports-capital-a-1"], f.nodes["herd-capital-a-1"]
printf("%-8s %-9s %8s %8s %8s %8s", "rate", "path", "calls", "p50_us", "p99_us", "p999_us")
for _, rate in ipairs { 100, 500, 1000, 2000 } do
  local paths = {
    { "direct", { address_of(owner.backend_port) }, "workspace=market,path=/x?ms=0" },
    { "one hop", { address_of(owner.caller_port) }, "workspace=market,path=/teranga/passports/x?ms=0" },
    { "two hops", { address_of(other_entry.caller_port) }, "workspace=market,path=/teranga/passports/x?ms=0" },
  }
  for _, path in ipairs(paths) do
    local result = wait_for_load(start_load(path[2], { rate = rate, seconds = 5, seed = rate, calls = { path[3] } }))
    printf("%-8d %-9s %8d %8d %8d %8d", rate, path[1], result.all.calls, result.all.p50_us, result.all.p99_us,
      result.all.p999_us)
  end
end
for _, node in ipairs { owner, other_entry } do
  local cpu, memory = process_usage(node.pid)
  printf("%s: processor time %.2f s, resident %.1f MB", node.name, cpu, memory)
end
local cpu_before = process_usage(other_entry.pid)
local idle_start = now()
wait_until("10 s without calls have passed", 11, function() return now() > idle_start + 10 end)
printf("idle node: %.2f%% of a core over 10 s", (process_usage(other_entry.pid) - cpu_before) / 10 * 100)
