-- A connection goes silent for good while new ones work: the connection is replaced, the host is not condemned.
local f = fleet { seed = 22, data_centres = { ["capital-a"] = "capital" }, relays = true,
  services = { passports = { ["capital-a"] = 1 }, transfers = { ["capital-a"] = 1 } },
  routes = { lookup = { service = "passports", idempotent = true }, transfer = { service = "transfers" } } }
f:start()
local entry = f.nodes["passports-capital-a-1"]
local owner = f.nodes["transfers-capital-a-1"]
check(f:call(entry, { service = "transfers" }).outcome == "completed", "the path works")

-- The call runs, and its answer is lost on the silent connection: asking over a new one brings it.
local waiting = f:begin(entry, { service = "transfers", path = "/x?ms=200", id = "answered", deadline_ms = 6000 })
wait_until("the call runs", 3, function() return f:runs("answered") == 1 end)
f:relay_mode(owner, "freeze_open")
local answered = f:finish(waiting)
check(answered.outcome == "completed", "the answer came over a new connection: " .. answered.outcome)
check(f:runs("answered") == 1, "one run")

-- The call itself is lost on the silent connection: the owner fences it, so it is a true not-run.
f:relay_mode(owner, "freeze_open")
local lost = f:call(entry, { service = "transfers", id = "lost", deadline_ms = 6000 })
check(lost.outcome == "completed" or lost.outcome == "not-run", "the lost call is " .. lost.outcome)
f:relay_mode(owner, "pass")
f:call_until("calls pass", 5, entry, { service = "transfers" }, function(found) return found.outcome == "completed" end)
check(f:runs("lost") == (lost.outcome == "completed" and 1 or 0), "the outcome is true after late delivery")
check(f:metric(entry, "silent_connections_total") >= 2, "silent connections are counted")
