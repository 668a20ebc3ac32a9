-- The home owner of idempotency keys changes with the settings while callers repeat calls: no key runs twice.
local f = fleet { seed = 24, data_centres = { ["capital-a"] = "capital", ["capital-b"] = "capital" },
  services = { transfers = { ["capital-a"] = 1, ["capital-b"] = 1 } },
  routes = { transfer = { service = "transfers" } } }
f:start()
f:wait_until_keys_accepted()
local old_home, new_home = f.nodes["transfers-capital-a-1"], f.nodes["transfers-capital-b-1"]
local function transfer(key) return { service = "transfers", key = key, deadline_ms = 3000 } end

-- Keys whose home owner is in data centre capital-a, which is then taken out of service.
local keys = {}
while #keys < 5 do
  local key = new_key()
  local response = f:call(new_home, transfer(key))
  check(response.outcome == "completed", "the first call with a key is " .. response.outcome)
  if response.owner == old_home.name then keys[#keys + 1] = key end
end
f:publish_data_centre("capital-a", "out")
for index, key in ipairs(keys) do
  wait_until("repeat " .. index .. " is answered by the new home owner", 10, function()
    local response = f:call(new_home, transfer(key))
    return response.outcome == "completed" and parse_json(response.body).runs == 1
  end)
  check(f:run_count(key) == 1, "no key runs again after the change of its home owner")
end

-- A key created after the change runs at the new home owner: it asks the old one, which reports that the key never ran
-- and fences it.
local later_key = new_key()
local response = f:call(new_home, transfer(later_key))
check(response.outcome == "completed" and response.owner == new_home.name,
  "a key created after the change runs at the new home owner: " .. response.outcome)

-- The data centre is back in service. A key that ran in the meantime does not run again.
f:publish_data_centre("capital-a", "in")
wait_until("calls run in the data centre again", settings_timeout, function()
  return f:call(new_home, transfer(new_key())).owner == old_home.name
end)
local late_repeat = f:call(old_home, transfer(later_key))
check(f:run_count(later_key) == 1, "no key runs again after the return of the data centre")
check(late_repeat.outcome ~= "not-run", "the repeat after the return of the data centre is " .. late_repeat.outcome)
