-- Probes of backend servers stay within their budget, also while a backend server hangs and after all nodes restart at
-- the same time.
local f = fleet { seed = 31, data_centres = { ["capital-a"] = "capital", ["coast-a"] = "coast" },
  services = { passports = { ["capital-a"] = 2, ["coast-a"] = 2 } },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
local rate, burst = 2, 2 -- probe budget of one node: probes a second, and probes beyond that rate
local function check_probe_rate(phase)
  local start, probes_before = now(), {}
  for _, node in ipairs(f.node_list) do probes_before[node] = f:metric(node, "probes_total") end
  wait_until("three seconds passed", 5, function() return now() > start + 3 end)
  for _, node in ipairs(f.node_list) do
    local probes = f:metric(node, "probes_total") - probes_before[node]
    check(probes <= rate * (now() - start) + burst, phase .. ": " .. probes .. " probes")
  end
end
check_probe_rate("without faults")
signal(f.node_list[1].backend_pid, "STOP")
check_probe_rate("while a backend server hangs")
signal(f.node_list[1].backend_pid, "CONT")
for _, node in ipairs(f.node_list) do signal(node.pid, "KILL") end
for _, node in ipairs(f.node_list) do
  wait_until(node.name .. " has ended", 5, function() return exit_code(node.pid) ~= -1000 end)
  f:start_node(node)
end
for _, node in ipairs(f.node_list) do f:wait_until_ready(node) end
check_probe_rate("after all nodes restarted")
check(f:call(f.node_list[1], { service = "passports" }).outcome == "completed", "calls are served")
