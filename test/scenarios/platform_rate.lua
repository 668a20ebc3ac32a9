-- The number of reads of the platform depends on the number of data centres, not on the number of nodes.
local function reads_after_change(count)
  local f = fleet { seed = 33 + count, data_centres = { ["capital-a"] = "capital" },
    services = { passports = { ["capital-a"] = count } },
    routes = { lookup = { service = "passports", idempotent = true } } }
  f:start()
  wait_until("exactly two nodes read the platform", settings_timeout, function() return f:reader_count() == 2 end)
  local reads_before = f:platform_read_count()
  f:publish("teams/teranga/workspaces/extra", "{}")
  wait_until("the change is known everywhere", settings_timeout, function()
    for _, node in ipairs(f.node_list) do
      if f:call(node, { service = "passports", workspace = "extra" }).status ~= 200 then return false end
    end
    return true
  end)
  local reads = f:platform_read_count() - reads_before
  for _, node in ipairs(f.node_list) do
    signal(node.pid, "KILL")
    signal(node.backend_pid, "KILL")
  end
  return reads
end
local reads_of_few, reads_of_many = reads_after_change(5), reads_after_change(15)
check(reads_of_few <= 8, "two readers need at most 8 reads for one change, not " .. reads_of_few)
check(reads_of_many <= reads_of_few + 2,
  "three times as many nodes need at most 2 reads more: " .. reads_of_few .. " and " .. reads_of_many)
