-- After SIGTERM a node takes only calls whose deadline is inside the grace time: at the entry, and as the owner of calls
-- that came in elsewhere. None is cut off at the end.
local f = fleet { seed = 45, data_centres = { ["capital-a"] = "capital" },
  services = { passports = { ["capital-a"] = 2 }, transfers = { ["capital-a"] = 1 } },
  routes = { lookup = { service = "passports" }, transfer = { service = "transfers" } },
  node_settings = { limits = { shutdown_grace_ms = 3000, shutdown_notice_ms = 2500 } } }
f:start()
local stopping, entry = f.nodes["transfers-capital-a-1"], f.nodes["passports-capital-a-1"]
check(f:call(entry, { service = "transfers" }).outcome == "completed", "calls are served")
signal(stopping.pid, "TERM")
wait_until("the node is shutting down", few_seconds, function()
  return f:log_line_count(stopping, "event=shutdown_started") == 1
end)

local long_calls = {
  f:start_call(stopping, { service = "passports", path = "/x?ms=6000", id = "entry", deadline_ms = 9000 }),
  f:start_call(stopping, { service = "transfers", path = "/x?ms=6000", id = "both", deadline_ms = 9000 }),
  f:start_call(entry, { service = "transfers", path = "/x?ms=6000", id = "owner", deadline_ms = 9000 }) }
local short_calls = {
  f:start_call(stopping, { service = "passports", path = "/x?ms=100", id = "short entry", deadline_ms = 1000 }),
  f:start_call(entry, { service = "transfers", path = "/x?ms=100", id = "short owner", deadline_ms = 1000 }) }
for _, number in ipairs(short_calls) do
  check(f:wait_for_response(number).outcome == "completed", "a call that ends in time is served")
end
for index, number in ipairs(long_calls) do
  local response = f:wait_for_response(number)
  check(response.outcome == "not-run", "a call that may outlast the node is refused: " .. index .. " " ..
    response.outcome .. " " .. tostring(response.failure))
end
wait_until("the node has ended", 10, function() return exit_code(stopping.pid) ~= -1000 end)
for _, id in ipairs { "entry", "both", "owner" } do
  check(f:run_count(id) == 0, "what was refused did not run: " .. id)
end
