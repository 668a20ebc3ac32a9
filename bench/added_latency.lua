-- Latency that nodes add: caller -> backend server against one node and two nodes, in one run, at rising rates.
dofile(script_folder() .. "/lib.lua")
local f = fleet { seed = 5, data_centres = { ["capital-a"] = "capital" },
  services = { passports = { ["capital-a"] = 1 }, herd = { ["capital-a"] = 1 } }, slots = 64,
  service_settings = { passports = { cold_slots = 64 }, herd = { cold_slots = 64 } },
  backend = { latency_us = 500, cold_slots = 64 },
  routes = { lookup = { service = "passports", idempotent = true }, herd = { service = "herd", idempotent = true } } }
f:start()
local one, two = f.nodes["passports-capital-a-1"], f.nodes["herd-capital-a-1"]
show("%-8s %-9s %8s %8s %8s %8s", "rate", "path", "calls", "p50_us", "p99_us", "p999_us")
for _, rate in ipairs { 100, 500, 1000, 2000 } do
  local paths = {
    { "direct", { address_of(one.backend) }, "workspace=market,path=/x?ms=0" },
    { "one hop", { address_of(one.callers) }, "workspace=market,path=/teranga/passports/x?ms=0" },
    { "two hops", { address_of(two.callers) }, "workspace=market,path=/teranga/passports/x?ms=0" },
  }
  for _, path in ipairs(paths) do
    local result = load_result(run_load(path[2], { rate = rate, seconds = 5, seed = rate, calls = { path[3] } }))
    show("%-8d %-9s %8d %8d %8d %8d", rate, path[1], result.all.calls, result.all.p50_us, result.all.p99_us,
      result.all.p999_us)
  end
end
for _, node in ipairs { one, two } do
  local cpu, memory = process_use(node.pid)
  show("%s: processor time %.2f s, resident %.1f MB", node.name, cpu, memory)
end
local before = process_use(two.pid)
local start = now()
wait_until("ten idle seconds passed", 11, function() return now() > start + 10 end)
show("idle node: %.2f%% of a core over 10 s", (process_use(two.pid) - before) / 10 * 100)
