-- What settings of the size the product is designed for cost one node: 520 backend servers, 32 services, 9 data
-- centres.
dofile(script_folder() .. "/lib.lua")
local f = fleet { seed = 3, data_centres = { ["dc-1"] = "r-1" }, services = { s0 = { ["dc-1"] = 1 } },
  routes = { lookup = { service = "s0", idempotent = true } } }
f:start_platform()
for number = 2, 9 do
  f:publish("teams/fleet/data_centres/dc-" .. number, { region = "r-" .. (number - 1) // 3 + 1, state = "in" })
end
local servers, hosts = 0, {}
for service = 1, 31 do
  local leaf = { backend_servers = {} }
  for member = 1, service <= 23 and 17 or 16 do
    servers = servers + 1
    local data_centre, peer_address = "dc-" .. servers % 9 + 1,
      "127.1." .. servers // 250 .. "." .. servers % 250 + 1 .. ":7000"
    leaf.backend_servers[member] = { name = "s" .. service .. "-" .. member, node = peer_address,
      data_centre = data_centre, slots = 12 }
    hosts[data_centre] = hosts[data_centre] or {}
    table.insert(hosts[data_centre],
      { name = "h" .. servers, peers = peer_address, data_centre = data_centre, state = "live" })
  end
  f:publish("teams/team-" .. service % 8 .. "/services/s" .. service, leaf)
  for workspace = 1, 4 do
    f:publish("teams/team-" .. service % 8 .. "/workspaces/w" .. service .. "-" .. workspace, "{}")
  end
end
for data_centre, data_centre_hosts in pairs(hosts) do
  f:publish("hosts/" .. data_centre, { hosts = data_centre_hosts })
end
printf("published %d backend servers besides the node's own", servers)
local node = f.node_list[1]
f:start_backend(node)
f:start_node(node)
f:wait_until_ready(node)
local cpu_before, memory = process_usage(node.pid)
printf("start: %.2f s of processor time, resident %.1f MB", cpu_before, memory)
local reads = f:platform_read_count()
printf("platform calls of the start: %d", reads)
local changes = 20
for number = 1, changes do
  local accepted_before = f:metric(node, "settings_accepted_total")
  f:publish("teams/team-1/workspaces/w1-1", { weight = number })
  wait_until("the change is accepted", 19, function()
    return f:metric(node, "settings_accepted_total") > accepted_before
  end)
end
local cpu_after, resident = process_usage(node.pid)
printf("%d changes: %.1f ms of processor time each (upper bound, with polling), resident %.1f MB", changes,
  (cpu_after - cpu_before) / changes * 1000, resident)
local idle_start = now()
local cpu_before_idle = process_usage(node.pid)
wait_until("20 s without changes have passed", 25, function() return now() > idle_start + 20 end)
printf("idle with this settings size: %.2f%% of a core", (process_usage(node.pid) - cpu_before_idle) / 20 * 100)
