-- A cancellation that is lost with its connection, or overtakes its call, still ends the work.
local f = fleet { seed = 42, data_centres = { ["capital-a"] = "capital" }, relays = true,
  services = { passports = { ["capital-a"] = 1 }, transfers = { ["capital-a"] = 1 } },
  routes = { lookup = { service = "passports", idempotent = true },
    transfer = { service = "transfers", idempotent = true } } }
f:start()
local entry = f.nodes["passports-capital-a-1"]
local owner = f.nodes["transfers-capital-a-1"]
check(f:call(entry, { service = "transfers" }).outcome == "completed", "calls are served before the fault")

-- The caller leaves while the connection to the owner forwards nothing: the cancellation goes out on the next one.
f:start_call(entry, { service = "transfers", path = "/x?ms=20000", id = "running", deadline_ms = 25000,
  timeout_ms = 400 })
wait_until("the call runs", few_seconds, function() return f:run_count("running") == 1 end)
f:set_relay_mode(owner, "freeze_open")
wait_until("the caller has left", few_seconds, function() return f:log_line_count(entry, "event=caller_left") == 1 end)
wait_until("the owner stops the work", few_seconds, function()
  return f:log_line_count(owner, "event=call_cancelled", "stopped=yes") == 1
end)

-- The call itself is held back on the old connection and arrives after its cancellation.
f:set_relay_mode(owner, "pass")
f:call_until("calls are served", 5, entry, { service = "transfers" }, function(response)
  return response.outcome == "completed"
end)
f:set_relay_mode(owner, "freeze_open")
local replaced_before = f:log_line_count(entry, "event=connection_replaced")
f:start_call(entry, { service = "transfers", id = "overtaken", deadline_ms = 25000, timeout_ms = 200 })
wait_until("the connection is replaced", few_seconds, function()
  return f:log_line_count(entry, "event=connection_replaced") > replaced_before
end)
wait_until("the owner knows that the attempt must not run", few_seconds, function()
  return f:log_line_count(owner, "event=attempt_fenced") == 1
end)
f:set_relay_mode(owner, "pass")
wait_until("the late call arrives", few_seconds, function()
  return f:metric(owner, "repeated_attempts_total") >= 1
end)
check(f:run_count("overtaken") == 0, "a call that was cancelled before it arrived does not run")
