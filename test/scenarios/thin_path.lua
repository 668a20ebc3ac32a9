-- A call passes from the caller to an entry, to the owner in another process and to its backend server, and the answer
-- comes back the same way.
local f = fleet { seed = 11, data_centres = { ["capital-a"] = "capital" },
  services = { passports = { ["capital-a"] = 1 }, transfers = { ["capital-a"] = 1 } },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()

local entry = f.nodes["transfers-capital-a-1"]
local response = f:call(entry, { service = "passports", path = "/calf/1", id = "calf-1" })
check(response.status == 200, "the status is " .. tostring(response.status))
check(response.outcome == "completed", "the outcome is " .. response.outcome)
check(response.owner == "passports-capital-a-1", "the owner is " .. tostring(response.owner))
check(f:run_count("calf-1") == 1, "the call ran once")

local unknown_service = f:call(entry, { service = "weather" })
check(unknown_service.status == 404 and unknown_service.outcome == "not-run", "a call to an unknown service is refused")
local unknown_workspace = f:call(entry, { service = "passports", workspace = "nobody" })
check(unknown_workspace.status == 404 and unknown_workspace.body:find("nobody", 1, true),
  "the refusal names the unknown workspace")
local invalid_deadline = f:call(entry, { service = "passports", deadline_ms = -5 })
check(invalid_deadline.status == 400, "a negative deadline is refused")

for _, node in ipairs(f.node_list) do signal(node.pid, "TERM") end
wait_until("both nodes stop gracefully", 5, function()
  return exit_code(f.node_list[1].pid) == 0 and exit_code(f.node_list[2].pid) == 0
end)
