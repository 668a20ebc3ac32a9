-- A node gets SIGTERM twice while long calls run. All calls in progress are completed, and the other nodes serve new
-- ones.
local f = fleet { seed = 28, data_centres = { ["capital-a"] = "capital" }, relays = true,
  services = { passports = { ["capital-a"] = 3 } },
  routes = { lookup = { service = "passports" } } }
f:start()
local stopping_node, entry, third_node = f.node_list[1], f.node_list[2], f.node_list[3]

-- Long calls for which the stopping node is the entry, and calls for which it may be the owner.
local open_calls = {}
for number = 1, 4 do
  open_calls[#open_calls + 1] = f:start_call(stopping_node, { service = "passports", path = "/x?ms=900",
    id = "entry-" .. number, deadline_ms = 8000 })
  open_calls[#open_calls + 1] = f:start_call(entry, { service = "passports", path = "/x?ms=900",
    id = "owner-" .. number, deadline_ms = 8000 })
end
wait_until("calls run at the stopping node", 3, function() return f:backend_stats(stopping_node).in_use > 0 end)
signal(stopping_node.pid, "TERM")
signal(stopping_node.pid, "TERM")
for _, number in ipairs(open_calls) do
  local response = f:wait_for_response(number)
  check(response.outcome == "completed",
    "a call in progress during the shutdown is " .. response.outcome .. " " .. tostring(response.reason))
end
wait_until("the stopping node ends", 10, function() return exit_code(stopping_node.pid) ~= -1000 end)
check(exit_code(stopping_node.pid) == 0, "the stopped node has exit code 0")

-- The other nodes serve new calls.
for number = 1, 20 do
  local response = f:call(number % 2 == 0 and entry or third_node, { service = "passports", id = "after-" .. number })
  check(response.outcome == "completed",
    "a call after the shutdown is " .. response.outcome .. " " .. tostring(response.reason))
end
