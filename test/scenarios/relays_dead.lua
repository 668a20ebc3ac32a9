-- Both readers of a data centre die, and a change is published at that moment: the others learn it in time.
local f = fleet { seed = 34, data_centres = { ["capital-a"] = "capital", ["coast-a"] = "coast" },
  services = { passports = { ["capital-a"] = 5, ["coast-a"] = 2 } },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
local survivors, dead = {}, 0
wait_until("two nodes of each data centre read the platform", settings_bound, function() return f:readers() == 4 end)
for _, node in ipairs(f.order) do
  if node.data_centre == "capital-a" and f:status(node).control.reader then
    signal(node.pid, "KILL")
    dead = dead + 1
  else
    survivors[#survivors + 1] = node
  end
end
check(dead == 2, "two readers were killed")
f:publish("teams/teranga/workspaces/late", "{}")
wait_until("the change is in force at every survivor", settings_bound, function()
  for _, node in ipairs(survivors) do
    if f:call(node, { service = "passports", workspace = "late", deadline_ms = 1000 }).status == 404 then return false end
  end
  return true
end)
