-- Figures for docs/CAPACITY.md: time until a change is in force everywhere, control bytes and processor time a node, by
-- the size of the change and the number of nodes.
dofile(script_folder() .. "/lib.lua")

local function random_name(length)
  local letters = {}
  for index = 1, length do letters[index] = string.char(math.random(97, 122)) end
  return table.concat(letters)
end

-- Totals over all nodes: control bytes sent, processor time in seconds.
local function totals(f)
  local bytes, cpu = 0, 0
  for _, node in ipairs(f.node_list) do
    bytes = bytes + f:metric(node, "control_sent_bytes_total")
    cpu = cpu + process_usage(node.pid)
  end
  return bytes, cpu
end

local function accepted_everywhere(f, revision)
  for _, node in ipairs(f.node_list) do
    local page = f:status(node)
    local state = page and page.control.subtrees.teranga
    if not state or state.revision < revision then return false end
  end
  return true
end

local function measure_fleet(nodes_per_data_centre)
  local f = fleet { seed = 300 + nodes_per_data_centre,
    data_centres = { ["capital-a"] = "capital", ["coast-a"] = "coast", ["hills-a"] = "hills" },
    services = { passports = { ["capital-a"] = nodes_per_data_centre, ["coast-a"] = nodes_per_data_centre,
      ["hills-a"] = nodes_per_data_centre } },
    routes = { lookup = { service = "passports", idempotent = true } } }
  f:start()
  local revision = 0
  for _, node in ipairs(f.node_list) do
    revision = math.max(revision, f:status(node).control.subtrees.hosts.revision)
  end
  -- All routes of one step in one change: the platform is away while they are written.
  for _, route_count in ipairs { 1, 100, 1400, 5000 } do
    f:set_platform_mode("down")
    local content_bytes = 0
    for _ = 1, route_count do
      local name, host, prefix = random_name(8), random_name(10) .. ".example", "/" .. random_name(8) .. "/"
      content_bytes = content_bytes + #name + #host + #prefix
      f:publish("teams/teranga/routes/" .. name, { service = "passports", host = host, prefix = prefix,
        timeout_ms = 2000, target_latency_ms = 300, max_attempts = 2, urgent = true, idempotent = true })
    end
    revision = revision + route_count
    local target = revision
    local bytes, cpu = totals(f)
    f:set_platform_mode("up")
    local start = now()
    local first_accepted
    wait_until("the change is accepted everywhere", 60, function()
      if not first_accepted then
        for _, node in ipairs(f.node_list) do
          local state = f:status(node).control.subtrees.teranga
          if state and state.revision >= target then first_accepted = now() end
        end
      end
      return accepted_everywhere(f, target)
    end)
    local spread = now() - (first_accepted or start)
    local bytes_after, cpu_after = totals(f)
    local count = #f.node_list
    printf("%2d nodes, %4d routes (%d random bytes): everywhere %.2f s after the first node, %.0f control bytes and %.0f ms of processor time a node",
      count, route_count, content_bytes, spread, (bytes_after - bytes) / count, (cpu_after - cpu) / count * 1e3)
  end
  end_fleet(f)
end

for _, nodes_per_data_centre in ipairs { 2, 8, 16 } do measure_fleet(nodes_per_data_centre) end
