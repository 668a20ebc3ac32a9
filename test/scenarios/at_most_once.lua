-- A transfer with an idempotency key runs at most once, also when it is repeated through another entry.
local f = fleet { seed = 23, data_centres = { ["capital-a"] = "capital", ["coast-a"] = "coast" }, relays = true,
  services = { transfers = { ["capital-a"] = 2, ["coast-a"] = 1 } },
  routes = { transfer = { service = "transfers" } } }
f:start()
f:wait_for_keys()
local entries = f.order
local function transfer(key, ms) return { service = "transfers", path = "/x?ms=" .. (ms or 5), key = key, deadline_ms = 4000 } end

-- Repeats at the same time through every entry share one run and one answer.
local key = dated_key()
local open = {}
for _, entry in ipairs(entries) do open[#open + 1] = f:begin(entry, transfer(key, 200)) end
for _, number in ipairs(open) do check(f:finish(number).outcome == "completed", "each repeat is answered") end
check(f:runs(key) == 1, "one run for three calls at once")

-- A repeat long after gets the kept answer.
local later = f:call(entries[2], transfer(key))
check(later.outcome == "completed" and f:runs(key) == 1, "a later repeat is answered without a run")

-- The home owner is killed while the key runs and comes back with an empty record.
local lost_key = dated_key()
local running = f:begin(entries[1], transfer(lost_key, 400))
local home
wait_until("the transfer runs", 3, function() return f:runs(lost_key) == 1 end)
for _, node in ipairs(f.order) do
  if f:backend_stats(node).in_use > 0 then home = node end
end
signal(home.pid, "KILL")
f:finish(running)
f:start_node(home)
f:wait_ready(home)
for _, entry in ipairs(entries) do
  if entry ~= home then
    local found = f:call(entry, transfer(lost_key))
    check(found.outcome ~= "completed", "a repeat at a restarted home is " .. found.outcome)
  end
end
check(f:runs(lost_key) == 1, "the restarted home does not run the key again")

-- A paused home wakes with the call on the way, and the caller has repeated meanwhile.
local paused_key = dated_key()
signal(home.pid, "STOP")
local before = f:begin(entries[1] == home and entries[2] or entries[1], transfer(paused_key))
f:finish(before)
signal(home.pid, "CONT")
for _, entry in ipairs(entries) do f:call(entry, transfer(paused_key)) end
check(f:runs(paused_key) <= 1, "a key that met a paused home runs at most once")
