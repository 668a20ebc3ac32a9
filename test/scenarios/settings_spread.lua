-- Accepted settings take effect everywhere and never revert: platform down, stale or talking nonsense, nodes
-- replaced one by one, one team's subtree broken.
local f = fleet { seed = 26, data_centres = { ["capital-a"] = "capital", ["coast-a"] = "coast" },
  services = { passports = { ["capital-a"] = 4, ["coast-a"] = 2 } },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
local function revision(node, subtree)
  local page = f:status(node)
  local entry = page and page.control.subtrees[subtree]
  return entry and entry.revision or 0
end
local function all_at(subtree, wanted)
  for _, node in ipairs(f.order) do
    if revision(node, subtree) < wanted then return false end
  end
  return true
end

-- A change is in force everywhere within seconds, though most nodes do not read the platform.
f:publish("teams/teranga/workspaces/second", "{}")
wait_until("the new workspace is known everywhere", settings_bound, function()
  for _, node in ipairs(f.order) do
    if f:call(node, { service = "passports", workspace = "second" }).status ~= 200 then return false end
  end
  return true
end)
local readers = f:readers()
check(readers == 4, "two readers in each data centre, not " .. readers)

-- A broken subtree keeps its last accepted revision and disturbs nobody.
local good = revision(f.order[1], "teranga")
f:publish("teams/teranga/routes/lookup", { service = "weather" })
f:publish("teams/pacific/workspaces/desk", "{}")
wait_until("the other team's subtree is accepted everywhere", settings_bound, function() return all_at("pacific", 1) end)
-- Which nodes read depends on their ports, so every reader is asked.
wait_until("every reader shows the refusal", settings_bound, function()
  local shown = 0
  for _, node in ipairs(f.order) do
    local control = f:status(node).control
    if control.reader then
      if control.subtrees.teranga.rejected_because == nil then return false end
      shown = shown + 1
    end
  end
  return shown > 0
end)
for _, node in ipairs(f.order) do
  check(revision(node, "teranga") == good, "the broken subtree keeps its revision")
  check(f:call(node, { service = "passports" }).status == 200, "calls go on")
end
f:publish("teams/teranga/routes/lookup", { service = "passports", idempotent = true })
wait_until("the mended subtree is accepted everywhere", settings_bound, function() return all_at("teranga", good + 1) end)

-- Nonsense from the platform changes nothing.
local before = revision(f.order[1], "teranga")
local function failures()
  local total = 0
  for _, node in ipairs(f.order) do total = total + f:metric(node, "platform_failures_total") end
  return total
end
local failures_before = failures()
f:platform_mode("garbage")
f:publish("teams/teranga/workspaces/unseen", "{}")
wait_until("readers notice", 25, function() return failures() > failures_before end)
check(revision(f.order[1], "teranga") == before, "nonsense is not accepted")

-- The platform is stale, then down, while all nodes are replaced one by one: the newest settings survive in their peers.
f:platform_mode("up")
f:platform_mode("snapshot")
f:publish("teams/teranga/workspaces/third", "{}")
local newest
wait_until("the third workspace is accepted everywhere", settings_bound, function()
  newest = revision(f.order[1], "teranga")
  return newest > before and all_at("teranga", newest)
end)
f:platform_mode("stale")
for index, node in ipairs(f.order) do
  if index == 4 then f:platform_mode("down") end
  signal(node.pid, "KILL")
  wait_until(node.name .. " is gone", 5, function() return exit_code(node.pid) ~= -1000 end)
  node.seeds = { address_of(f.order[index % #f.order + 1].reachable) }
  f:start_node(node)
  wait_until(node.name .. " learnt the newest settings from its peers", settings_bound, function()
    return revision(node, "teranga") >= newest
  end)
  check(f:call(node, { service = "passports", workspace = "third" }).status == 200, "the replaced node serves them")
end
