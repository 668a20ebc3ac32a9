-- A call whose caller left before a node read it does not reach a backend server: not at the entry, which stood
-- still meanwhile, nor at the owner.
local f = fleet { seed = 43, data_centres = { ["capital-a"] = "capital" },
  services = { passports = { ["capital-a"] = 1 }, transfers = { ["capital-a"] = 1 } },
  routes = { lookup = { service = "passports", idempotent = true },
    transfer = { service = "transfers", idempotent = true } } }
f:start()
local entry = f.nodes["passports-capital-a-1"]
local owner = f.nodes["transfers-capital-a-1"]
check(f:call(entry, { service = "transfers" }).outcome == "completed", "calls are served")

signal(entry.pid, "STOP")
local unread = f:start_call(entry, { service = "passports", id = "unread", timeout_ms = 200 })
f:wait_for_response(unread)
signal(entry.pid, "CONT")
wait_until("the entry notices that the caller has left", few_seconds, function()
  return f:log_line_count(entry, "event=caller_left") == 1
end)
check(f:run_count("unread") == 0, "a call that was not read before its caller left does not run")

f:call_until("calls are served", 5, entry, { service = "transfers" }, function(response)
  return response.outcome == "completed"
end)
signal(owner.pid, "STOP")
local waiting = f:start_call(entry, { service = "transfers", id = "waiting", timeout_ms = 200 })
f:wait_for_response(waiting)
wait_until("the entry notices that the caller has left", few_seconds, function()
  return f:log_line_count(entry, "event=caller_left") == 2
end)
signal(owner.pid, "CONT")
f:call_until("calls are served", 5, entry, { service = "transfers" }, function(response)
  return response.outcome == "completed"
end)
check(f:run_count("waiting") == 0, "a call that an owner reads together with its cancellation does not run")
