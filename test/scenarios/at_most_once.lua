-- A call with an idempotency key runs at most once, also when the caller repeats it through other entries.
local f = fleet { seed = 23, data_centres = { ["capital-a"] = "capital", ["coast-a"] = "coast" }, relays = true,
  services = { transfers = { ["capital-a"] = 2, ["coast-a"] = 1 } },
  routes = { transfer = { service = "transfers" } } }
f:start()
f:wait_until_keys_accepted()
local entries = f.node_list
local function transfer(key, ms)
  return { service = "transfers", path = "/x?ms=" .. (ms or 5), key = key, deadline_ms = 4000 }
end

-- The same key is sent through every entry at the same time: one run, and every caller gets its answer.
local key = new_key()
local open_calls = {}
for _, entry in ipairs(entries) do open_calls[#open_calls + 1] = f:start_call(entry, transfer(key, 200)) end
for _, number in ipairs(open_calls) do
  check(f:wait_for_response(number).outcome == "completed", "each call with the same key is completed")
end
check(f:run_count(key) == 1, "one run for three calls at once")

-- A repeat after the run gets the cached answer.
local late_repeat = f:call(entries[2], transfer(key))
check(late_repeat.outcome == "completed" and f:run_count(key) == 1, "a later repeat is answered without a run")

-- The owner that is the home of the key is killed while the call runs. After its restart its key record is empty.
local lost_key = new_key()
local running_call = f:start_call(entries[1], transfer(lost_key, 400))
local home_owner
wait_until("the transfer runs", 3, function() return f:run_count(lost_key) == 1 end)
for _, node in ipairs(f.node_list) do
  if f:backend_stats(node).in_use > 0 then home_owner = node end
end
signal(home_owner.pid, "KILL")
f:wait_for_response(running_call)
f:start_node(home_owner)
f:wait_until_ready(home_owner)
for _, entry in ipairs(entries) do
  if entry ~= home_owner then
    local response = f:call(entry, transfer(lost_key))
    check(response.outcome ~= "completed", "a repeat at the restarted home owner is " .. response.outcome)
  end
end
check(f:run_count(lost_key) == 1, "the restarted home owner does not run the key again")

-- The home owner is paused while a call is sent to it. It continues, and the caller repeats the call.
local paused_key = new_key()
signal(home_owner.pid, "STOP")
local pending_call = f:start_call(entries[1] == home_owner and entries[2] or entries[1], transfer(paused_key))
f:wait_for_response(pending_call)
signal(home_owner.pid, "CONT")
for _, entry in ipairs(entries) do f:call(entry, transfer(paused_key)) end
check(f:run_count(paused_key) <= 1, "a key sent to a paused home owner runs at most once")
