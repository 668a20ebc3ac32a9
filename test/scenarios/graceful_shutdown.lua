-- SIGTERM under load with long answers, sent twice: no call is cut off, and new ones go elsewhere.
local f = fleet { seed = 28, data_centres = { ["capital-a"] = "capital" }, relays = true,
  services = { passports = { ["capital-a"] = 3 } },
  routes = { lookup = { service = "passports" } } }
f:start()
local leaving, entry, third = f.order[1], f.order[2], f.order[3]

-- Long calls through the leaving node as entry, and at it as owner.
local open = {}
for number = 1, 4 do
  open[#open + 1] = f:begin(leaving, { service = "passports", path = "/x?ms=900", id = "entry-" .. number, deadline_ms = 8000 })
  open[#open + 1] = f:begin(entry, { service = "passports", path = "/x?ms=900", id = "owner-" .. number, deadline_ms = 8000 })
end
wait_until("calls run at the leaving node", 3, function() return f:backend_stats(leaving).in_use > 0 end)
signal(leaving.pid, "TERM")
signal(leaving.pid, "TERM")
for _, number in ipairs(open) do
  local found = f:finish(number)
  check(found.outcome == "completed", "a call in progress is " .. found.outcome .. " " .. tostring(found.reason))
end
wait_until("the leaving node stops by itself", 10, function() return exit_code(leaving.pid) ~= -1000 end)
check(exit_code(leaving.pid) == 0, "it exits cleanly")

-- New calls are served by the others; none is lost unseen.
for number = 1, 20 do
  local found = f:call(number % 2 == 0 and entry or third, { service = "passports", id = "after-" .. number })
  check(found.outcome == "completed", "a call after the shutdown is " .. found.outcome .. " " .. tostring(found.reason))
end
