-- A node that gets SIGTERM, SIGINT and SIGHUP again and again until its process is gone ends with exit code 0.
local f = fleet { seed = 51, data_centres = { ["capital-a"] = "capital" },
  services = { passports = { ["capital-a"] = 2 } },
  routes = { lookup = { service = "passports", idempotent = true } },
  node_settings = { limits = { shutdown_grace_ms = 3000 } } }
f:start()
for _, node in ipairs(f.node_list) do
  local deadline, round = now() + start_timeout, 0
  while exit_code(node.pid) == -1000 and now() < deadline do
    round = round + 1
    signal(node.pid, round % 200 == 0 and "HUP" or round % 2 == 0 and "INT" or "TERM")
  end
  check(exit_code(node.pid) == 0, node.name .. " ends with exit code 0, not " .. exit_code(node.pid))
end
