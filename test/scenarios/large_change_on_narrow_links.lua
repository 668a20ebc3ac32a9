-- A change of 1,400 routes is on its way over narrow links: no node takes a connection for dead because of it.
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

-- All routes in one change: the platform is away while they are written.
f:set_platform_mode("down")
local last_route
for _ = 1, route_count do
  last_route = { service = "passports", host = random_name() .. ".example", prefix = "/" .. random_name() .. "/",
    timeout_ms = 2000, max_attempts = 2 }
  f:publish("teams/teranga/routes/" .. random_name(), last_route)
end
local function team_revision(node)
  local page = f:status(node)
  local state = page and page.control.subtrees.teranga
  return state and state.revision or 0
end
local revision_before = team_revision(f.node_list[1])
local parents_lost_before = {}
for _, node in ipairs(f.node_list) do
  parents_lost_before[node] = f:log_line_count(node, "event=parent_lost")
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
  large_updates = large_updates + f:log_line_count(node, "event=settings_sent", "leaves=1400")
end
check(large_updates == #f.node_list - 1, "the change is sent once to each node: " .. large_updates)
