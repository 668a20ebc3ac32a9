-- Figures for docs/CAPACITY.md: what control traffic, changes of settings and calls cost at 6, 12, 24 and 48 nodes.
dofile(script_folder() .. "/lib.lua")

local function sleep(seconds)
  local start = now()
  wait_until("the pause is over", seconds + 5, function() return now() > start + seconds end)
end

-- The sum of a metric over all nodes.
local function sum(f, name)
  local total = 0
  for _, node in ipairs(f.node_list) do total = total + f:metric(node, name) end
  return total
end

-- Processor time of all nodes in seconds, and the largest resident memory of one node in MB.
local function processor_time(f)
  local total, memory = 0, 0
  for _, node in ipairs(f.node_list) do
    local cpu_seconds, resident = process_usage(node.pid)
    total, memory = total + cpu_seconds, math.max(memory, resident)
  end
  return total, memory
end

local function control_bytes(f) return sum(f, "control_sent_bytes_total") + sum(f, "control_received_bytes_total") end

-- Measures a fleet of count nodes: two services, each with nodes in three regions.
local function measure_fleet(count)
  local nodes_per_group = count // 6 -- of each service in each region
  local f = fleet { seed = 100 + count,
    data_centres = { ["capital-a"] = "capital", ["coast-a"] = "coast", ["hills-a"] = "hills" },
    services = { passports = { ["capital-a"] = nodes_per_group, ["coast-a"] = nodes_per_group,
      ["hills-a"] = nodes_per_group },
      transfers = { ["capital-a"] = nodes_per_group, ["coast-a"] = nodes_per_group,
        ["hills-a"] = nodes_per_group } },
    slots = 12, service_settings = { passports = { cold_slots = 12 }, transfers = { cold_slots = 12 } },
    backend_options = { latency_us = 1000, cold_slots = 12 },
    routes = { lookup = { service = "passports", idempotent = true }, transfer = { service = "transfers" } } }
  f:start()
  sleep(3)
  local seconds = 12
  local cpu, bytes, reads = processor_time(f), control_bytes(f), f:platform_read_count()
  sleep(seconds)
  local idle_cpu, idle_bytes = processor_time(f) - cpu, control_bytes(f) - bytes
  local idle_reads = f:platform_read_count() - reads
  printf("%2d nodes, idle %d s: %.2f%% of a core and %.0f control bytes/s a node, %.2f platform calls/s",
    count, seconds, idle_cpu / seconds / count * 100, idle_bytes / seconds / count, idle_reads / seconds)

  local changes, slowest_seconds, last_revision = 10, 0, 0
  bytes, reads, cpu = control_bytes(f), f:platform_read_count(), processor_time(f)
  for number = 1, changes do
    f:publish("teams/pacific/workspaces/desk-" .. number % 3,
      "{ \"weight\": " .. number .. " /*" .. string.rep("x", 1000) .. "*/ }")
    local start = now()
    local function accepted_everywhere()
      local previous_revision = last_revision
      for _, node in ipairs(f.node_list) do
        local state = f:status(node).control.subtrees.pacific
        if not state or state.revision <= previous_revision then return false end
      end
      return true
    end
    wait_until("the change is accepted everywhere", 19, accepted_everywhere)
    last_revision = f:status(f.node_list[1]).control.subtrees.pacific.revision
    slowest_seconds = math.max(slowest_seconds, now() - start)
  end
  printf("%2d nodes, %d changes of 1 KB: %.0f control bytes a node and change, %.1f platform calls a change, slowest seen %.2f s",
    count, changes, (control_bytes(f) - bytes) / changes / count,
    (f:platform_read_count() - reads) / changes, slowest_seconds)

  for _, rate in ipairs { 20, 60 } do
    cpu = processor_time(f)
    local result = wait_for_load(start_load(caller_addresses(f), { rate = rate * count, seconds = 6, seed = count,
      calls = { "workspace=market,path=/teranga/passports/x",
        "workspace=market,path=/teranga/transfers/x,method=POST" } }))
    local cpu_after, memory = processor_time(f)
    printf("%2d nodes, %d calls/s a node: %.0f us of processor time a call (entry and owner), p50 %d p99 %d us, completed %d of %d, resident %.1f MB at most",
      count, rate, (cpu_after - cpu) / result.all.calls * 1e6, result.all.p50_us, result.all.p99_us,
      result.all.outcomes.completed or 0, result.all.calls, memory)
  end
  end_fleet(f)
end

for _, count in ipairs { 6, 12, 24, 48 } do measure_fleet(count) end
