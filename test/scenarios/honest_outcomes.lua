-- The outcome of every call is true: completed, not-run, or unknown when it can't be determined. Answers are complete
-- and reach the caller of their call.
local f = fleet { seed = 21, data_centres = { ["capital-a"] = "capital" }, relays = true,
  services = { passports = { ["capital-a"] = 1 }, transfers = { ["capital-a"] = 1 } },
  routes = { lookup = { service = "passports", idempotent = true }, transfer = { service = "transfers" } } }
f:start()
local entry = f.nodes["passports-capital-a-1"]
local owner = f.nodes["transfers-capital-a-1"]

-- A body of 4 MB arrives completely.
local large_response = f:call(entry, { service = "transfers", path = "/x?size=4000000", deadline_ms = 10000 })
check(large_response.outcome == "completed" and #parse_json(large_response.body).filler == 4000000,
  "the large answer is complete")

-- Answers that arrive in another order than their calls were sent reach the right callers.
local slow_call = f:start_call(entry, { service = "transfers", path = "/x?ms=300", id = "slow" })
local fast_call = f:start_call(entry, { service = "transfers", path = "/x?ms=1", id = "fast" })
check(parse_json(f:wait_for_response(fast_call).body).id == "fast", "the fast answer belongs to the fast call")
check(parse_json(f:wait_for_response(slow_call).body).id == "slow", "the slow answer belongs to the slow call")

-- An incomplete answer of the backend server isn't passed on; the outcome is unknown.
local cut_response = f:call(entry, { service = "transfers", path = "/x?cut=1", id = "cut" })
check(cut_response.outcome == "unknown", "the call with the incomplete answer is " .. cut_response.outcome)
check(f:run_count("cut") == 1, "the call with the incomplete answer ran once")

-- A call that the backend server refuses is not-run.
f:set_backend(owner, "shed=1")
local shed_response = f:call(entry, { service = "transfers", id = "shed" })
check(shed_response.outcome == "not-run" and f:run_count("shed") == 0, "the refused call is " .. shed_response.outcome)
f:set_backend(owner, "shed=0")

-- The owner is killed while the call runs: the outcome is unknown.
local running_call = f:start_call(entry, { service = "transfers", path = "/x?ms=500", id = "killed" })
wait_until("the call runs", 3, function() return f:run_count("killed") == 1 end)
signal(owner.pid, "KILL")
local killed_response = f:wait_for_response(running_call)
check(killed_response.outcome == "unknown", "the call at the killed owner is " .. killed_response.outcome)

-- The owner is still down when the next call arrives: the call does not run.
local response_without_owner = f:call(entry, { service = "transfers", id = "gone" })
check(response_without_owner.outcome ~= "completed" and f:run_count("gone") == 0,
  "the call without an owner did not run")

-- The owner is paused before the call reaches it: the outcome is unknown, and the call does not run later.
f:start_node(owner)
f:wait_until_ready(owner)
f:call_until("calls are served again", 10, entry, { service = "transfers" }, function(response)
  return response.outcome == "completed"
end)
signal(owner.pid, "STOP")
local frozen_response = f:call(entry, { service = "transfers", id = "frozen", deadline_ms = 3000 })
check(frozen_response.outcome == "unknown", "the call at the paused owner is " .. frozen_response.outcome)
signal(owner.pid, "CONT")
f:call_until("the owner serves calls again", 10, entry, { service = "transfers" }, function(response)
  return response.outcome == "completed"
end)
check(f:run_count("frozen") == 0, "the call that waited during the owner's pause does not run afterwards")

-- The network cuts all connections to the owner while a call runs. The entry may get the outcome over a new
-- connection.
local call_over_cut = f:start_call(entry, { service = "transfers", path = "/x?ms=600", id = "over-cut",
  deadline_ms = 5000 })
wait_until("the call runs", 3, function() return f:run_count("over-cut") == 1 end)
f:set_relay_mode(owner, "cut")
f:set_relay_mode(owner, "pass")
local resumed_response = f:wait_for_response(call_over_cut)
check(f:run_count("over-cut") == 1, "the call ran once")
check(resumed_response.outcome == "completed" or resumed_response.outcome == "unknown",
  "the call whose connection was cut is " .. resumed_response.outcome)
