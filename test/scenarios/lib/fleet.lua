-- The scenario language: a fleet of real processes, what operators and callers do to it, and waiting for events.
-- Bounds come from the brief: "a few seconds" is 3 s, settings are in force everywhere within 19 s.
few_seconds = 3
settings_bound = 19
start_bound = 15

local function encode(value)
  if type(value) == "table" then
    local parts = {}
    if #value > 0 or value.empty_list then
      for _, item in ipairs(value) do parts[#parts + 1] = encode(item) end
      return "[" .. table.concat(parts, ",") .. "]"
    end
    for key, item in pairs(value) do parts[#parts + 1] = string.format("%q:%s", key, encode(item)) end
    table.sort(parts)
    return "{" .. table.concat(parts, ",") .. "}"
  end
  return type(value) == "string" and string.format("%q", value) or tostring(value)
end

-- Handles events until a condition holds; fails when the bound passes first.
function wait_until(what, bound, condition)
  local limit = now() + bound
  while true do
    if condition() then return true end
    if now() > limit then
      check(false, "not within " .. bound .. " s: " .. what)
      error("gave up waiting")
    end
    pump(20)
  end
end

function http(request)
  local number = globals_request(request)
  local found = outcome(number)
  while not found do
    pump(1000)
    found = outcome(number)
  end
  return found
end
globals_request = request

function address_of(port) return "127.0.0.1:" .. port end

-- A version 7 UUID created now, or some milliseconds from now; the random part comes from the seed.
function dated_key(offset_ms)
  local millis = wall_ms() + (offset_ms or 0)
  local hex = string.format("%012x", millis)
  return string.format("%s-%s-7%03x-8%03x-%012x", hex:sub(1, 8), hex:sub(9, 12), math.random(0, 4095),
    math.random(0, 4095), math.random(0, 0xffffffffffff))
end

local fleet_methods = {}
local fleet_class = { __index = fleet_methods }

-- Declares a fleet: seed, data_centres {name = region}, services {name = {data_centre = count}},
-- workspaces, routes, and settings for services, nodes and backend servers.
function fleet(options)
  math.randomseed(options.seed)
  local made = setmetatable({ options = options, nodes = {}, order = {}, team = "teranga" }, fleet_class)
  made.platform = { port = port() }
  local names = {}
  for name in pairs(options.services) do names[#names + 1] = name end
  table.sort(names)
  for _, service in ipairs(names) do
    local places = {}
    for data_centre in pairs(options.services[service]) do places[#places + 1] = data_centre end
    table.sort(places)
    for _, data_centre in ipairs(places) do
      for number = 1, options.services[service][data_centre] do
        local name = service .. "-" .. data_centre .. "-" .. number
        local node = { name = name, service = service, data_centre = data_centre, callers = port(), peers = port(),
          operators = port(), backend = port() }
        node.reachable = node.peers
        if options.relays then node.reachable, node.relay_control = port(), port() end
        made.nodes[name] = node
        made.order[#made.order + 1] = node
      end
    end
  end
  return made
end

function fleet_methods:service_leaf(service)
  local leaf = { backend_servers = {} }
  for key, value in pairs((self.options.service_settings or {})[service] or {}) do leaf[key] = value end
  for _, node in ipairs(self.order) do
    if node.service == service and not node.unlisted then
      leaf.backend_servers[#leaf.backend_servers + 1] = { name = node.name, node = address_of(node.reachable),
        data_centre = node.data_centre, slots = self.options.slots or 6 }
    end
  end
  return leaf
end

function fleet_methods:publish(path, value)
  return http { method = value == nil and "DELETE" or "PUT", address = address_of(self.platform.port),
    target = "/control/leaf/" .. path, body = type(value) == "string" and value or value and encode(value) or "" }
end

function fleet_methods:publish_service(service)
  self:publish("teams/" .. self.team .. "/services/" .. service, self:service_leaf(service))
end

function fleet_methods:publish_data_centre(name, state)
  self:publish("teams/fleet/data_centres/" .. name, { region = self.options.data_centres[name], state = state })
end

function fleet_methods:publish_host(node, state)
  self:publish("hosts/" .. node.name, { hosts = { { name = node.name, peers = address_of(node.reachable),
    data_centre = node.data_centre, state = state } } })
end

function fleet_methods:platform_mode(mode)
  http { method = "POST", address = address_of(self.platform.port), target = "/control/mode?mode=" .. mode }
end

function fleet_methods:platform_reads()
  return parse(http { address = address_of(self.platform.port), target = "/control/counts" }.body).reads
end

function fleet_methods:start_platform()
  self.platform.pid = spawn("platform.log", { "stand_in_platform", "--listen", address_of(self.platform.port) })
  wait_until("the platform answers", start_bound, function()
    return http { address = address_of(self.platform.port), target = "/control/counts" }.status == 200
  end)
  for name in pairs(self.options.data_centres) do self:publish_data_centre(name, "in") end
  for name, value in pairs(self.options.workspaces or { market = {} }) do
    self:publish("teams/" .. self.team .. "/workspaces/" .. name, next(value) and value or "{}")
  end
  for service in pairs(self.options.services) do self:publish_service(service) end
  for name, value in pairs(self.options.routes) do
    self:publish("teams/" .. self.team .. "/routes/" .. name, value)
  end
  for _, node in ipairs(self.order) do self:publish_host(node, "live") end
end

function fleet_methods:start_backend(node)
  local words = { "stand_in_backend_server", "--listen", address_of(node.backend), "--name", node.name,
    "--slots", tostring(self.options.slots or 6), "--seed", tostring(self.options.seed) }
  for key, value in pairs(self.options.backend or {}) do
    words[#words + 1] = "--" .. key:gsub("_", "-")
    words[#words + 1] = tostring(value)
  end
  node.backend_pid = spawn(node.name .. ".backend.log", words)
  wait_until(node.name .. "'s backend server answers", start_bound, function()
    return http { address = address_of(node.backend), target = "/control/stats" }.status == 200
  end)
end

-- Writes the settings file of a node; returns its path.
function fleet_methods:write_settings(node, changes)
  local settings = { host = node.name, data_centre = node.data_centre, callers = address_of(node.callers),
    peers = address_of(node.peers), reachable_at = address_of(node.reachable),
    operators = address_of(node.operators), backend_server = address_of(node.backend),
    platform = { address_of(self.platform.port) }, seed = self.options.seed }
  for key, value in pairs(self.options.node or {}) do settings[key] = value end
  if node.seeds then settings.seeds = node.seeds end
  for key, value in pairs(changes or {}) do settings[key] = value end
  return write_file(node.name .. ".json", encode(settings))
end

function fleet_methods:start_node(node)
  node.pid = spawn(node.name .. ".log", { "chervilturn-node", "--config", self:write_settings(node) })
end

-- Lines of a node's log that hold all of some texts.
function fleet_methods:log_lines(node, ...)
  local count = 0
  for line in io.lines(folder() .. "/" .. node.name .. ".log") do
    local holds = true
    for _, text in ipairs { ... } do holds = holds and line:find(text, 1, true) ~= nil end
    count = count + (holds and 1 or 0)
  end
  return count
end

function fleet_methods:start_relay(node)
  node.relay_pid = spawn(node.name .. ".relay.log", { "stand_in_relay", "--listen", address_of(node.reachable),
    "--target", address_of(node.peers), "--control", address_of(node.relay_control) })
  wait_until("the relay answers", start_bound, function()
    return http { address = address_of(node.relay_control), target = "/" }.status == 200
  end)
end

function fleet_methods:relay_mode(node, mode)
  http { method = "POST", address = address_of(node.relay_control), target = "/control/set?mode=" .. mode }
end

function fleet_methods:wait_ready(node)
  wait_until(node.name .. " has settings and no doubts", start_bound, function()
    local page = self:status(node)
    return page and not page.control.in_doubt and page.control.subtrees.teranga ~= nil
      and page.control.subtrees.hosts ~= nil
  end)
end

function fleet_methods:start()
  self:start_platform()
  for _, node in ipairs(self.order) do
    self:start_backend(node)
    if node.relay_control then self:start_relay(node) end
    self:start_node(node)
  end
  for _, node in ipairs(self.order) do self:wait_ready(node) end
  -- Keys dated within the clock error of a start are unknown by design.
  self.started_ms = wall_ms()
end

-- Waits until new idempotency keys are dated after every start's clock error.
function fleet_methods:wait_for_keys()
  wait_until("keys are dated after the start", few_seconds, function() return wall_ms() > self.started_ms + 2100 end)
end

function fleet_methods:status(node)
  local page = http { address = address_of(node.operators), target = "/status", timeout_ms = 1000 }
  return page.status == 200 and parse(page.body) or nil
end

-- Nodes that read the platform themselves.
function fleet_methods:readers()
  local readers = 0
  for _, node in ipairs(self.order) do readers = readers + (self:status(node).control.reader and 1 or 0) end
  return readers
end

function fleet_methods:metric(node, name)
  local text = http { address = address_of(node.operators), target = "/metrics" }.body
  local value = text:match("\nchervilturn_" .. name:gsub("[%-{}=\"]", "%%%0") .. " (%S+)")
  return tonumber(value)
end

function fleet_methods:backend_set(node, parameters)
  http { method = "POST", address = address_of(node.backend), target = "/control/set?" .. parameters }
end

function fleet_methods:backend_stats(node)
  return parse(http { address = address_of(node.backend), target = "/control/stats" }.body)
end

-- Runs of a call over all backend servers that answer.
function fleet_methods:runs(id)
  local total = 0
  for _, node in ipairs(self.order) do
    local page = http { address = address_of(node.backend), target = "/control/runs?id=" .. id, timeout_ms = 1000 }
    if page.status == 200 then total = total + parse(page.body).runs end
  end
  return total
end

function fleet_methods:total_runs(accept)
  local total = 0
  for _, node in ipairs(self.order) do
    if accept(node) then total = total + self:backend_stats(node).total_runs end
  end
  return total
end

-- Starts a call at an entry node; returns its number for finish().
function fleet_methods:begin(entry, call)
  local headers = { ["chervilturn-workspace"] = call.workspace or "market",
    ["chervilturn-deadline-ms"] = tostring(call.deadline_ms or 2000) }
  if call.key then headers["idempotency-key"] = call.key end
  if call.id then headers["x-call-id"] = call.id end
  return request { method = call.method or "POST", address = address_of(entry.callers),
    target = "/" .. self.team .. "/" .. call.service .. (call.path or "/"), headers = headers,
    body = call.body or "", timeout_ms = call.timeout_ms or 15000 }
end

function fleet_methods:finish(number)
  local found = outcome(number)
  while not found do
    pump(1000)
    found = outcome(number)
  end
  local headers = found.headers or {}
  found.outcome = headers["chervilturn-outcome"] or "none"
  found.reason = headers["chervilturn-reason"]
  found.owner = headers["chervilturn-owner"]
  found.attempts = tonumber(headers["chervilturn-attempts"] or "0")
  return found
end

function fleet_methods:call(entry, call) return self:finish(self:begin(entry, call)) end

-- Sends calls one after the other until one satisfies the condition.
function fleet_methods:call_until(what, bound, entry, call, condition)
  wait_until(what, bound, function() return condition(self:call(entry, call)) end)
end

-- Keeps calls in flight at entries until a condition holds; returns all outcomes.
function fleet_methods:load_until(what, bound, entries, call, in_flight, condition)
  local open, ended, turn = {}, {}, 0
  local limit = now() + bound
  while not condition(ended) do
    if now() > limit then check(false, "not within " .. bound .. " s: " .. what) error("gave up waiting") end
    while #open < in_flight do
      turn = turn + 1
      open[#open + 1] = self:begin(entries[turn % #entries + 1], call)
    end
    pump(20)
    for index = #open, 1, -1 do
      if outcome(open[index]) then ended[#ended + 1] = self:finish(table.remove(open, index)) end
    end
  end
  for _, number in ipairs(open) do ended[#ended + 1] = self:finish(number) end
  return ended
end

function fleet_methods:home_of_key(entry, call)
  local found = self:call(entry, call)
  return self.nodes[found.owner], found
end
