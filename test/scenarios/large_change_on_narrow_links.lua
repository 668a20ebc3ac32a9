-- Changes of 1,400 routes are on their way over narrow links: no node takes a connection for dead because of
-- them, and no node is sent one twice, also when the node that reads has lost the platform meanwhile.
local f = fleet { seed = 41, data_centres = { ["capital-a"] = "capital" }, relays = true,
  services = { passports = { ["capital-a"] = 5 } },
  routes = { lookup = { service = "passports", idempotent = true } },
  node_settings = { reading = { readers_per_data_centre = 1, wait_ms = 1000, pause_ms = 50 } } }
f:start()
local route_count = 1400
local link_rate = 60000 -- bytes a second

local function random_name()
  local letters = {}
  for index = 1, 24 do letters[index] = string.char(math.random(97, 122)) end
  return table.concat(letters)
end

local function team_revision(node)
  local page = f:status(node)
  local state = page and page.control.subtrees.teranga
  return state and state.revision or 0
end

local function publish_routes()
  for _ = 1, route_count do
    f:publish("teams/teranga/routes/" .. random_name(), { service = "passports",
      host = random_name() .. ".example", prefix = "/" .. random_name() .. "/", timeout_ms = 2000,
      max_attempts = 2 })
  end
end

local function large_reads_by(node)
  return f:log_line_count(node, "event=platform_read", "leaves=" .. route_count)
    + f:log_line_count(node, "event=platform_read", "leaves=" .. 2 * route_count)
end

-- Log lines of all nodes about a large update that a node is sent.
local function large_updates_to(node)
  local count = 0
  for _, sender in ipairs(f.node_list) do
    count = count + f:log_line_count(sender, "event=settings_sent",
      "peer=" .. address_of(node.reachable_port) .. " ", "leaves=" .. route_count)
  end
  return count
end

local function log_lines(...)
  local count = 0
  for _, node in ipairs(f.node_list) do count = count + f:log_line_count(node, ...) end
  return count
end

-- All routes in one change: the platform is away while they are written.
local function spread_change(wait_for_outage)
  f:set_platform_mode("down")
  wait_for_outage()
  publish_routes()
  local revision_before = team_revision(f.node_list[1])
  local parents_lost_before, updates_before, reads_before = {}, {}, {}
  for _, node in ipairs(f.node_list) do
    parents_lost_before[node] = f:log_line_count(node, "event=parent_lost")
    updates_before[node] = large_updates_to(node)
    reads_before[node] = large_reads_by(node)
    f:set_relay_rate(node, link_rate)
  end
  f:set_platform_mode("up")
  -- Every node makes calls meanwhile.
  wait_until("the change is accepted everywhere", settings_timeout, function()
    local accepted_everywhere = true
    for _, node in ipairs(f.node_list) do
      local response = f:call(node, { service = "passports" })
      check(response.status == 200, "a call during the change: " .. tostring(response.status))
      accepted_everywhere = accepted_everywhere and team_revision(node) >= revision_before + route_count
    end
    return accepted_everywhere
  end)
  local large_updates = 0
  for _, node in ipairs(f.node_list) do
    check(f:metric(node, "silent_connections_total") == 0, node.name .. " takes no connection for dead")
    check(f:log_line_count(node, "event=parent_lost") == parents_lost_before[node], node.name .. " loses no parent")
    local updates = large_updates_to(node) - updates_before[node]
    local reads_itself = large_reads_by(node) > reads_before[node]
    check(updates == 1 or (updates == 0 and reads_itself), "the change is sent once to " .. node.name .. ": " .. updates)
    large_updates = large_updates + updates
  end
  check(large_updates <= #f.node_list - 1, "one node has it from the platform alone: " .. large_updates)
end

spread_change(function() end)

local substitutes_before = log_lines("event=reading_instead")
spread_change(function()
  wait_until("two nodes read for the one that reads", settings_timeout, function()
    return log_lines("event=reading_instead") >= substitutes_before + 2
  end)
end)
