-- Settings move the home of idempotency keys while callers repeat them.
local f = fleet { seed = 24, data_centres = { ["capital-a"] = "capital", ["capital-b"] = "capital" },
  services = { transfers = { ["capital-a"] = 1, ["capital-b"] = 1 } },
  routes = { transfer = { service = "transfers" } } }
f:start()
f:wait_for_keys()
local a, b = f.nodes["transfers-capital-a-1"], f.nodes["transfers-capital-b-1"]
local function transfer(key) return { service = "transfers", key = key, deadline_ms = 3000 } end

-- Keys whose home is in data centre a, which then leaves service.
local keys = {}
while #keys < 5 do
  local key = dated_key()
  local found = f:call(b, transfer(key))
  check(found.outcome == "completed", "first use is " .. found.outcome)
  if found.owner == a.name then keys[#keys + 1] = key end
end
f:publish_data_centre("capital-a", "out")
for index, key in ipairs(keys) do
  wait_until("repeat " .. index .. " is answered by the new home", 10, function()
    local found = f:call(b, transfer(key))
    return found.outcome == "completed" and parse(found.body).runs == 1
  end)
  check(f:runs(key) == 1, "no second run after the move")
end

-- A fresh key created after the move runs at the new home, since the old one is asked and fences it.
local fresh = dated_key()
local found = f:call(b, transfer(fresh))
check(found.outcome == "completed" and found.owner == b.name, "a fresh key runs at the new home: " .. found.outcome)

-- The data centre returns; keys that ran meanwhile are still known.
f:publish_data_centre("capital-a", "in")
wait_until("the data centre serves again", settings_bound, function()
  return f:call(b, transfer(dated_key())).owner == a.name
end)
local again = f:call(a, transfer(fresh))
check(f:runs(fresh) == 1, "no second run after the return")
check(again.outcome ~= "not-run", "the repeat after the return is " .. again.outcome)
