-- The two nodes of a data centre that read the platform are killed, and a change is published at that moment. All other
-- nodes get the change within the time limit.
local f = fleet { seed = 34, data_centres = { ["capital-a"] = "capital", ["coast-a"] = "coast" },
  services = { passports = { ["capital-a"] = 5, ["coast-a"] = 2 } },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
local survivors, killed_count = {}, 0
wait_until("two nodes of each data centre read the platform", settings_timeout, function()
  return f:reader_count() == 4
end)
for _, node in ipairs(f.node_list) do
  if node.data_centre == "capital-a" and f:status(node).control.reader then
    signal(node.pid, "KILL")
    killed_count = killed_count + 1
  else
    survivors[#survivors + 1] = node
  end
end
check(killed_count == 2, "two readers were killed")
f:publish("teams/teranga/workspaces/late", "{}")
wait_until("the change is in force at every node that still runs", settings_timeout, function()
  for _, node in ipairs(survivors) do
    if f:call(node, { service = "passports", workspace = "late", deadline_ms = 1000 }).status == 404 then
      return false
    end
  end
  return true
end)
