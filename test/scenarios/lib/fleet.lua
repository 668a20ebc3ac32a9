-- The prelude of every scenario and measurement: a fleet of real processes, the actions of operators and callers,
-- and functions that wait for a condition. The functions in C++ that it uses are described in
-- test/support/scenario_main.cpp.

-- Time limits in seconds. The first two are requirements: "a few seconds" means 3 s, and published settings are in
-- force everywhere within 19 s.
few_seconds = 3
settings_timeout = 19
start_timeout = 15

-- A value as JSON text. A table with items at 1, 2, ... or with a field empty_list is an array, any other an object.
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

-- Handles events until a condition holds. Fails the test and ends the script when that takes longer than the
-- timeout, in seconds. The description says what is expected to happen.
function wait_until(description, timeout, condition)
  local deadline = now() + timeout
  while true do
    if condition() then return true end
    if now() > deadline then
      check(false, "did not happen within " .. timeout .. " s: " .. description)
      error("timed out")
    end
    run_event_loop(20)
  end
end

-- Sends an HTTP request and returns its result, a response or a failure.
function http(request)
  local number = start_request(request)
  local response = http_result(number)
  while not response do
    run_event_loop(1000)
    response = http_result(number)
  end
  return response
end
start_request = request -- the parameter of http() hides the global name

-- The most memory that a process has had, in MB; nil when it has ended.
function peak_memory(node)
  for line in io.lines("/proc/" .. node.pid .. "/status") do
    local kilobytes = line:match("^VmHWM:%s+(%d+)")
    if kilobytes then return kilobytes / 1024 end
  end
end

-- The loopback address with a port.
function address_of(port) return "127.0.0.1:" .. port end

-- A new idempotency key: a version 7 UUID dated now, or offset_ms later. Its random part follows from the fleet's
-- seed.
function new_key(offset_ms)
  local timestamp_ms = wall_clock_ms() + (offset_ms or 0)
  local timestamp_hex = string.format("%012x", timestamp_ms)
  return string.format("%s-%s-7%03x-8%03x-%012x", timestamp_hex:sub(1, 8), timestamp_hex:sub(9, 12),
    math.random(0, 4095), math.random(0, 4095), math.random(0, 0xffffffffffff))
end

local fleet_methods = {}
local fleet_class = { __index = fleet_methods }

-- Declares a fleet without starting it. Options:
--   seed, data_centres {name = region}, services {name = {data_centre = number of nodes}},
--   workspaces {name = settings} (default: one named market), routes {name = settings},
--   service_settings {service = settings}, node_settings, slots of each backend server (default 6),
--   backend_options (flags of the backend server stand-in), relays (whether peers reach each node through a relay).
-- Each node has its own backend server. nodes holds the nodes by name, node_list holds them sorted by service, data
-- centre and number.
function fleet(options)
  math.randomseed(options.seed)
  local instance = setmetatable({ options = options, nodes = {}, node_list = {}, team = "teranga" }, fleet_class)
  instance.platform = { port = reserve_port() }
  local service_names = {}
  for name in pairs(options.services) do service_names[#service_names + 1] = name end
  table.sort(service_names)
  for _, service in ipairs(service_names) do
    local sorted_data_centres = {}
    for data_centre in pairs(options.services[service]) do
      sorted_data_centres[#sorted_data_centres + 1] = data_centre
    end
    table.sort(sorted_data_centres)
    for _, data_centre in ipairs(sorted_data_centres) do
      for number = 1, options.services[service][data_centre] do
        local name = service .. "-" .. data_centre .. "-" .. number
        local node = { name = name, service = service, data_centre = data_centre, caller_port = reserve_port(),
          peer_port = reserve_port(), operator_port = reserve_port(), backend_port = reserve_port() }
        node.reachable_port = node.peer_port -- the port that peers connect to: the relay's, if there is one
        if options.relays then node.reachable_port, node.relay_control_port = reserve_port(), reserve_port() end
        instance.nodes[name] = node
        instance.node_list[#instance.node_list + 1] = node
      end
    end
  end
  return instance
end

-- The settings leaf of a service, with its backend servers.
function fleet_methods:service_leaf(service)
  local leaf = { backend_servers = {} }
  for key, value in pairs((self.options.service_settings or {})[service] or {}) do leaf[key] = value end
  for _, node in ipairs(self.node_list) do
    if node.service == service and not node.unlisted then
      leaf.backend_servers[#leaf.backend_servers + 1] = { name = node.name, node = address_of(node.reachable_port),
        data_centre = node.data_centre, slots = self.options.slots or 6 }
    end
  end
  return leaf
end

-- Writes a leaf of the settings tree: a table as JSON, a string as it is. No value removes the leaf.
function fleet_methods:publish(path, value)
  return http { method = value == nil and "DELETE" or "PUT", address = address_of(self.platform.port),
    target = "/control/leaf/" .. path, body = type(value) == "string" and value or value and encode(value) or "" }
end

function fleet_methods:publish_service(service)
  self:publish("teams/" .. self.team .. "/services/" .. service, self:service_leaf(service))
end

-- Publishes the state of a data centre: in or out.
function fleet_methods:publish_data_centre(name, state)
  self:publish("teams/fleet/data_centres/" .. name, { region = self.options.data_centres[name], state = state })
end

-- Publishes the state of a node's host: live or leaving.
function fleet_methods:publish_host(node, state)
  self:publish("hosts/" .. node.name, { hosts = { { name = node.name, peers = address_of(node.reachable_port),
    data_centre = node.data_centre, state = state } } })
end

-- Sets the mode of the platform; modes are described in stand_ins/platform.cpp.
function fleet_methods:set_platform_mode(mode)
  http { method = "POST", address = address_of(self.platform.port), target = "/control/mode?mode=" .. mode }
end

-- Requests that nodes have sent to the platform.
function fleet_methods:platform_read_count()
  return parse_json(http { address = address_of(self.platform.port), target = "/control/counts" }.body).reads
end

-- Starts the platform and publishes the declared settings and hosts.
function fleet_methods:start_platform()
  self.platform.pid = spawn("platform.log", { "stand_in_platform", "--listen", address_of(self.platform.port) })
  wait_until("the platform answers", start_timeout, function()
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
  for _, node in ipairs(self.node_list) do self:publish_host(node, "live") end
end

function fleet_methods:start_backend(node)
  local command = { "stand_in_backend_server", "--listen", address_of(node.backend_port), "--name", node.name,
    "--slots", tostring(self.options.slots or 6), "--seed", tostring(self.options.seed) }
  for key, value in pairs(self.options.backend_options or {}) do
    command[#command + 1] = "--" .. key:gsub("_", "-")
    command[#command + 1] = tostring(value)
  end
  node.backend_pid = spawn(node.name .. ".backend.log", command)
  wait_until(node.name .. "'s backend server answers", start_timeout, function()
    return http { address = address_of(node.backend_port), target = "/control/stats" }.status == 200
  end)
end

-- Starts the backend servers that have ended again, under their names; returns their number. A process that is ending
-- closes its sockets before it has an exit code, so one that doesn't answer is waited for.
function fleet_methods:restart_ended_backends()
  local ended = 0
  for _, node in ipairs(self.node_list) do
    if http { address = address_of(node.backend_port), target = "/control/stats" }.status ~= 200 then
      wait_until(node.name .. "'s backend server has ended", start_timeout, function()
        return exit_code(node.backend_pid) ~= -1000
      end)
      ended = ended + 1
      self:start_backend(node)
    end
  end
  return ended
end

-- Writes the settings file of a node, with changes to single settings if given; returns its path.
function fleet_methods:write_settings(node, changes)
  local settings = { host = node.name, data_centre = node.data_centre, callers = address_of(node.caller_port),
    peers = address_of(node.peer_port), reachable_at = address_of(node.reachable_port),
    operators = address_of(node.operator_port), backend_server = address_of(node.backend_port),
    platform = { address_of(self.platform.port) }, seed = self.options.seed }
  for key, value in pairs(self.options.node_settings or {}) do settings[key] = value end
  if node.seeds then settings.seeds = node.seeds end
  for key, value in pairs(changes or {}) do settings[key] = value end
  return write_file(node.name .. ".json", encode(settings))
end

function fleet_methods:start_node(node)
  node.pid = spawn(node.name .. ".log", { "chervilturn-node", "--config", self:write_settings(node) })
end

-- The number of lines in a node's log that contain all given texts.
function fleet_methods:log_line_count(node, ...)
  local count = 0
  for line in io.lines(output_folder() .. "/" .. node.name .. ".log") do
    local matches = true
    for _, text in ipairs { ... } do matches = matches and line:find(text, 1, true) ~= nil end
    count = count + (matches and 1 or 0)
  end
  return count
end

function fleet_methods:start_relay(node)
  node.relay_pid = spawn(node.name .. ".relay.log", { "stand_in_relay", "--listen", address_of(node.reachable_port),
    "--target", address_of(node.peer_port), "--control", address_of(node.relay_control_port) })
  wait_until("the relay answers", start_timeout, function()
    return http { address = address_of(node.relay_control_port), target = "/" }.status == 200
  end)
end

-- Sets the mode of a node's relay; modes are described in stand_ins/relay.hpp.
function fleet_methods:set_relay_mode(node, mode)
  http { method = "POST", address = address_of(node.relay_control_port), target = "/control/set?mode=" .. mode }
end

-- Sets the rate of a node's network link, in bytes a second in each direction; 0 for no limit.
function fleet_methods:set_relay_rate(node, rate)
  http { method = "POST", address = address_of(node.relay_control_port), target = "/control/set?rate=" .. rate }
end

-- Waits until a node has settings of the team and the hosts, confirmed by its peers or the platform.
function fleet_methods:wait_until_ready(node)
  wait_until(node.name .. " has settings and they are not stale", start_timeout, function()
    local result = self:status(node)
    return result and not result.control.in_doubt and result.control.subtrees.teranga ~= nil
      and result.control.subtrees.hosts ~= nil
  end)
end

-- Starts everything and waits until all nodes are ready.
function fleet_methods:start()
  self:start_platform()
  for _, node in ipairs(self.node_list) do
    self:start_backend(node)
    if node.relay_control_port then self:start_relay(node) end
    self:start_node(node)
  end
  for _, node in ipairs(self.node_list) do self:wait_until_ready(node) end
  -- A node answers keys as unknown when they are dated within the allowed clock skew (2 s) of its start.
  self.started_at_ms = wall_clock_ms()
end

-- Waits until all nodes accept new idempotency keys: until the allowed clock skew after the last start has passed.
function fleet_methods:wait_until_keys_accepted()
  wait_until("new keys are dated later than the start plus the clock skew", few_seconds, function()
    return wall_clock_ms() > self.started_at_ms + 2100
  end)
end

-- The status page of a node; nil when it does not answer within a second.
function fleet_methods:status(node)
  local result = http { address = address_of(node.operator_port), target = "/status", timeout_ms = 1000 }
  return result.status == 200 and parse_json(result.body) or nil
end

-- Sends load through all nodes until their owners regard every backend server as warm.
function fleet_methods:load_until_warm(call)
  self:load_until("all backend servers are warm", 15, self.node_list, call, 16, function()
    for _, node in ipairs(self.node_list) do
      if self:status(node).owner.state ~= "warm" then return false end
    end
    return true
  end)
end

-- The number of nodes that read the platform themselves.
function fleet_methods:reader_count()
  local readers = 0
  for _, node in ipairs(self.node_list) do readers = readers + (self:status(node).control.reader and 1 or 0) end
  return readers
end

-- The value of a metric, named without the prefix chervilturn_; nil when the node does not show it.
function fleet_methods:metric(node, name)
  local text = http { address = address_of(node.operator_port), target = "/metrics" }.body
  local value = (text or ""):match("\nchervilturn_" .. name:gsub("[%-{}=\"]", "%%%0") .. " (%S+)")
  return tonumber(value)
end

-- Changes the behaviour of a node's backend server; parameters are described in stand_ins/backend_server.cpp.
function fleet_methods:set_backend(node, parameters)
  http { method = "POST", address = address_of(node.backend_port), target = "/control/set?" .. parameters }
end

-- The counters of a node's backend server: the JSON object of GET /control/stats as a table.
function fleet_methods:backend_stats(node)
  return parse_json(http { address = address_of(node.backend_port), target = "/control/stats" }.body)
end

-- How often a call ran, over all backend servers that answer. The id is the call's idempotency key or, without one,
-- its field id.
function fleet_methods:run_count(id)
  local total = 0
  for _, node in ipairs(self.node_list) do
    local result = http { address = address_of(node.backend_port), target = "/control/runs?id=" .. id,
      timeout_ms = 1000 }
    if result.status == 200 then total = total + parse_json(result.body).runs end
  end
  return total
end

-- The number of runs of all calls at the backend servers of those nodes for which include(node) is true.
function fleet_methods:run_count_where(include)
  local total = 0
  for _, node in ipairs(self.node_list) do
    if include(node) then total = total + self:backend_stats(node).total_runs end
  end
  return total
end

-- Sends a call to an entry node; returns its number for wait_for_response(). A call is a table: service, path,
-- workspace (default market), method (default POST), key (idempotency key), id (name for run_count), body,
-- deadline_ms (default 2000), timeout_ms of the connection (default 15000).
function fleet_methods:start_call(entry, call)
  local headers = { ["chervilturn-workspace"] = call.workspace or "market",
    ["chervilturn-deadline-ms"] = tostring(call.deadline_ms or 2000) }
  if call.key then headers["idempotency-key"] = call.key end
  if call.id then headers["x-call-id"] = call.id end
  return request { method = call.method or "POST", address = address_of(entry.caller_port),
    target = "/" .. self.team .. "/" .. call.service .. (call.path or "/"), headers = headers,
    body = call.body or "", timeout_ms = call.timeout_ms or 15000 }
end

-- Waits for the response to a call and returns it with these fields from its headers: outcome ("none" when the header
-- is missing or the call failed), reason, owner and attempts.
function fleet_methods:wait_for_response(number)
  local response = http_result(number)
  while not response do
    run_event_loop(1000)
    response = http_result(number)
  end
  local headers = response.headers or {}
  response.outcome = headers["chervilturn-outcome"] or "none"
  response.reason = headers["chervilturn-reason"]
  response.owner = headers["chervilturn-owner"]
  response.attempts = tonumber(headers["chervilturn-attempts"] or "0")
  return response
end

-- Sends a call to an entry node and waits for the response.
function fleet_methods:call(entry, call) return self:wait_for_response(self:start_call(entry, call)) end

-- Sends calls one after another until the response to one satisfies the condition.
function fleet_methods:call_until(description, timeout, entry, call, condition)
  wait_until(description, timeout, function() return condition(self:call(entry, call)) end)
end

-- Keeps in_flight calls open, spread over the entries in turn, until the condition holds; returns the responses to
-- all of them. The condition gets the responses so far.
function fleet_methods:load_until(description, timeout, entries, call, in_flight, condition)
  local open_calls, responses, started_count = {}, {}, 0
  local deadline = now() + timeout
  while not condition(responses) do
    if now() > deadline then
      check(false, "did not happen within " .. timeout .. " s: " .. description)
      error("timed out")
    end
    while #open_calls < in_flight do
      started_count = started_count + 1
      open_calls[#open_calls + 1] = self:start_call(entries[started_count % #entries + 1], call)
    end
    run_event_loop(20)
    for index = #open_calls, 1, -1 do
      if http_result(open_calls[index]) then
        responses[#responses + 1] = self:wait_for_response(table.remove(open_calls, index))
      end
    end
  end
  for _, number in ipairs(open_calls) do responses[#responses + 1] = self:wait_for_response(number) end
  return responses
end

-- Sends a call and returns the node that was its owner, and the response.
function fleet_methods:home_of_key(entry, call)
  local response = self:call(entry, call)
  return self.nodes[response.owner], response
end
