-- Probing stays within its budget when the backend server hangs on probes and when all nodes restart at once.
local f = fleet { seed = 31, data_centres = { ["capital-a"] = "capital", ["coast-a"] = "coast" },
  services = { passports = { ["capital-a"] = 2, ["coast-a"] = 2 } },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
local rate, burst = 2, 2 -- probes a second, and at once, of one node
local function watch(what)
  local start, first = now(), {}
  for _, node in ipairs(f.order) do first[node] = f:metric(node, "probes_total") end
  wait_until("three seconds passed", 5, function() return now() > start + 3 end)
  for _, node in ipairs(f.order) do
    local probes = f:metric(node, "probes_total") - first[node]
    check(probes <= rate * (now() - start) + burst, what .. ": " .. probes .. " probes")
  end
end
watch("at rest")
signal(f.order[1].backend_pid, "STOP")
watch("while a backend server hangs")
signal(f.order[1].backend_pid, "CONT")
for _, node in ipairs(f.order) do signal(node.pid, "KILL") end
for _, node in ipairs(f.order) do
  wait_until(node.name .. " is gone", 5, function() return exit_code(node.pid) ~= -1000 end)
  f:start_node(node)
end
for _, node in ipairs(f.order) do f:wait_ready(node) end
watch("after all nodes restarted")
check(f:call(f.order[1], { service = "passports" }).outcome == "completed", "and calls pass")
