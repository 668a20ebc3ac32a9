-- A connection between two nodes stops forwarding data for good, while new connections to the same host work. The
-- entry replaces the connection and keeps using the host.
local f = fleet { seed = 22, data_centres = { ["capital-a"] = "capital" }, relays = true,
  services = { passports = { ["capital-a"] = 1 }, transfers = { ["capital-a"] = 1 } },
  routes = { lookup = { service = "passports", idempotent = true }, transfer = { service = "transfers" } } }
f:start()
local entry = f.nodes["passports-capital-a-1"]
local owner = f.nodes["transfers-capital-a-1"]
check(f:call(entry, { service = "transfers" }).outcome == "completed", "calls are served before the fault")

-- The answer to a running call is lost on the silent connection. The entry gets it over a new one.
local pending_call = f:start_call(entry, { service = "transfers", path = "/x?ms=200", id = "answered",
  deadline_ms = 6000 })
wait_until("the call runs", 3, function() return f:run_count("answered") == 1 end)
f:set_relay_mode(owner, "freeze_open")
local answered_response = f:wait_for_response(pending_call)
check(answered_response.outcome == "completed",
  "the entry gets the answer over a new connection: " .. answered_response.outcome)
check(f:run_count("answered") == 1, "the call ran once")

-- The call itself is lost on the silent connection. The owner fences it, so that a late delivery can't run it, and the
-- outcome not-run is true.
f:set_relay_mode(owner, "freeze_open")
local lost_response = f:call(entry, { service = "transfers", id = "lost", deadline_ms = 6000 })
check(lost_response.outcome == "completed" or lost_response.outcome == "not-run",
  "the lost call is " .. lost_response.outcome)
f:set_relay_mode(owner, "pass")
f:call_until("calls are served", 5, entry, { service = "transfers" }, function(response)
  return response.outcome == "completed"
end)
check(f:run_count("lost") == (lost_response.outcome == "completed" and 1 or 0),
  "the outcome is still true after the late delivery")
check(f:metric(entry, "silent_connections_total") >= 2, "silent connections are counted")
