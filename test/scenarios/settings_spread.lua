-- Accepted settings take effect at all nodes and never revert: while the platform is down, serves stale settings or
-- malformed responses, while the nodes are restarted one by one, and while the subtree of one team is invalid.
local f = fleet { seed = 26, data_centres = { ["capital-a"] = "capital", ["coast-a"] = "coast" },
  services = { passports = { ["capital-a"] = 4, ["coast-a"] = 2 } },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()
local function revision(node, subtree)
  local status_page = f:status(node)
  local state = status_page and status_page.control.subtrees[subtree]
  return state and state.revision or 0
end
local function all_at(subtree, min_revision)
  for _, node in ipairs(f.node_list) do
    if revision(node, subtree) < min_revision then return false end
  end
  return true
end

-- A change is in force everywhere within the time limit, although most nodes do not read the platform themselves.
f:publish("teams/teranga/workspaces/second", "{}")
wait_until("the new workspace is known everywhere", settings_timeout, function()
  for _, node in ipairs(f.node_list) do
    if f:call(node, { service = "passports", workspace = "second" }).status ~= 200 then return false end
  end
  return true
end)
local readers = f:reader_count()
check(readers == 4, "two nodes of each data centre read the platform, four in all, not " .. readers)

-- An invalid subtree is refused: its last accepted revision stays in force, and other teams get their changes.
local accepted_revision = revision(f.node_list[1], "teranga")
f:publish("teams/teranga/routes/lookup", { service = "weather" })
f:publish("teams/pacific/workspaces/desk", "{}")
wait_until("the other team's subtree is accepted everywhere", settings_timeout, function()
  return all_at("pacific", 1)
end)
-- Which nodes read the platform depends on their ports, so the status of all nodes is read.
wait_until("every node that reads the platform shows why it refused the subtree", settings_timeout, function()
  local shown_count = 0
  for _, node in ipairs(f.node_list) do
    local control = f:status(node).control
    if control.reader then
      if control.subtrees.teranga.rejected_because == nil then return false end
      shown_count = shown_count + 1
    end
  end
  return shown_count > 0
end)
for _, node in ipairs(f.node_list) do
  check(revision(node, "teranga") == accepted_revision, "the invalid subtree keeps its last accepted revision")
  check(f:call(node, { service = "passports" }).status == 200, "calls are served with the last accepted settings")
end
f:publish("teams/teranga/routes/lookup", { service = "passports", idempotent = true })
wait_until("the corrected subtree is accepted everywhere", settings_timeout, function()
  return all_at("teranga", accepted_revision + 1)
end)

-- Malformed responses of the platform change nothing.
local revision_before = revision(f.node_list[1], "teranga")
local function failures()
  local total = 0
  for _, node in ipairs(f.node_list) do total = total + f:metric(node, "platform_failures_total") end
  return total
end
local failures_before = failures()
f:set_platform_mode("garbage")
f:publish("teams/teranga/workspaces/unseen", "{}")
wait_until("the nodes that read the platform count a failure", 25, function() return failures() > failures_before end)
check(revision(f.node_list[1], "teranga") == revision_before, "the malformed response changes no revision")

-- All nodes are restarted one by one while the platform serves stale settings and later is down. Each gets the newest
-- settings from its peers.
f:set_platform_mode("up")
f:set_platform_mode("snapshot")
f:publish("teams/teranga/workspaces/third", "{}")
local newest_revision
wait_until("the third workspace is accepted everywhere", settings_timeout, function()
  newest_revision = revision(f.node_list[1], "teranga")
  return newest_revision > revision_before and all_at("teranga", newest_revision)
end)
f:set_platform_mode("stale")
for index, node in ipairs(f.node_list) do
  if index == 4 then f:set_platform_mode("down") end
  signal(node.pid, "KILL")
  wait_until(node.name .. " has ended", 5, function() return exit_code(node.pid) ~= -1000 end)
  node.seeds = { address_of(f.node_list[index % #f.node_list + 1].reachable_port) }
  f:start_node(node)
  wait_until(node.name .. " has the newest settings from its peers", settings_timeout, function()
    return revision(node, "teranga") >= newest_revision
  end)
  check(f:call(node, { service = "passports", workspace = "third" }).status == 200,
    "the restarted node serves calls with the newest settings")
end
