-- Every answer says what is known: completed, not-run or unknown. Answers are whole and reach their own caller.
local f = fleet { seed = 21, data_centres = { ["capital-a"] = "capital" }, relays = true,
  services = { passports = { ["capital-a"] = 1 }, transfers = { ["capital-a"] = 1 } },
  routes = { lookup = { service = "passports", idempotent = true }, transfer = { service = "transfers" } } }
f:start()
local entry = f.nodes["passports-capital-a-1"]
local owner = f.nodes["transfers-capital-a-1"]

-- A body of several megabytes arrives whole.
local large = f:call(entry, { service = "transfers", path = "/x?size=4000000", deadline_ms = 10000 })
check(large.outcome == "completed" and #parse(large.body).filler == 4000000, "large answer is whole")

-- Answers that come in another order than their calls reach their own callers.
local slow = f:begin(entry, { service = "transfers", path = "/x?ms=300", id = "slow" })
local fast = f:begin(entry, { service = "transfers", path = "/x?ms=1", id = "fast" })
check(parse(f:finish(fast).body).id == "fast", "the fast answer belongs to the fast call")
check(parse(f:finish(slow).body).id == "slow", "the slow answer belongs to the slow call")

-- An answer cut short is never passed on as an answer.
local cut = f:call(entry, { service = "transfers", path = "/x?cut=1", id = "cut" })
check(cut.outcome == "unknown", "cut answer is " .. cut.outcome)
check(f:runs("cut") == 1, "the cut call ran once")

-- The backend server's own refusal is a true not-run.
f:backend_set(owner, "shed=1")
local shed = f:call(entry, { service = "transfers", id = "shed" })
check(shed.outcome == "not-run" and f:runs("shed") == 0, "shed call is " .. shed.outcome)
f:backend_set(owner, "shed=0")

-- The owner is killed while the call runs: nobody can know.
local running = f:begin(entry, { service = "transfers", path = "/x?ms=500", id = "killed" })
wait_until("the call runs", 3, function() return f:runs("killed") == 1 end)
signal(owner.pid, "KILL")
local killed = f:finish(running)
check(killed.outcome == "unknown", "call at a killed owner is " .. killed.outcome)

-- The owner is gone before the call: it was never sent.
local gone = f:call(entry, { service = "transfers", id = "gone" })
check(gone.outcome ~= "completed" and f:runs("gone") == 0, "call without an owner did not run")

-- The owner freezes with the call on the way: not knowing is said, and it never runs more than once.
f:start_node(owner)
f:wait_ready(owner)
f:call_until("calls pass again", 10, entry, { service = "transfers" }, function(found) return found.outcome == "completed" end)
signal(owner.pid, "STOP")
local frozen = f:call(entry, { service = "transfers", id = "frozen", deadline_ms = 3000 })
check(frozen.outcome == "unknown", "call at a frozen owner is " .. frozen.outcome)
signal(owner.pid, "CONT")
f:call_until("the owner serves again", 10, entry, { service = "transfers" }, function(found) return found.outcome == "completed" end)
check(f:runs("frozen") == 0, "a call that waited through the owner's pause is not run afterwards")

-- The network cuts every connection to the owner while a call runs; a new connection tells the outcome.
local over_cut = f:begin(entry, { service = "transfers", path = "/x?ms=600", id = "over-cut", deadline_ms = 5000 })
wait_until("the call runs", 3, function() return f:runs("over-cut") == 1 end)
f:relay_mode(owner, "cut")
f:relay_mode(owner, "pass")
local resumed = f:finish(over_cut)
check(f:runs("over-cut") == 1, "one run across the cut")
check(resumed.outcome == "completed" or resumed.outcome == "unknown", "outcome across the cut is " .. resumed.outcome)
